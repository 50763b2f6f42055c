/** Why no replica takes a stream, in words and as an event. */
import { ReplicaChoiceKind, type FullChoice, type ReplicaChoice } from '../coordination/dispatch/replica-choice.js'
import { AdmissionLimit } from '../coordination/scarcity/admission.js'
import { MetricEvent } from '../observability/metrics.js'

type NoChoice = Exclude<ReplicaChoice, { readonly kind: ReplicaChoiceKind.Chosen }>

/** Describes why there is no replica for the first attempt or a further one. */
export function describeRefusal (choice: NoChoice, isFirst: boolean): string {
  switch (choice.kind) {
    case ReplicaChoiceKind.Full: return `${describeFull(choice)}; the least loaded has ${choice.streamCount} streams`
    case ReplicaChoiceKind.Held: return `all replicas want no requests; the first for ${Math.round(choice.holdMs)} ms more`
    case ReplicaChoiceKind.Evacuated: return 'all replicas are in zones that are being evacuated'
    case ReplicaChoiceKind.Limited: return 'all replicas with free slots have got the requests that their limits allow'
    case ReplicaChoiceKind.Absent: return `no ${isFirst ? '' : 'other '}replica of the service serves the model`
  }
}

function describeFull ({ limit, isForObjective }: FullChoice): string {
  switch (limit) {
    case AdmissionLimit.Priority: return 'the model is scarce, and more urgent calls come first'
    case AdmissionLimit.Team: return 'the model is scarce, and the team asks for more than its share'
    case AdmissionLimit.Room: return 'the model is scarce'
    case AdmissionLimit.None: return isForObjective ? 'all replicas are too full to begin the stream within its objective' : 'all replicas are full'
  }
}

/** The event that the refusal of a call counts as; undefined for one that has none of its own. */
export function findRefusalEvent (choice: NoChoice): MetricEvent | undefined {
  if (choice.kind !== ReplicaChoiceKind.Full) return undefined
  switch (choice.limit) {
    case AdmissionLimit.Priority: return MetricEvent.PriorityRefused
    case AdmissionLimit.Team: return MetricEvent.TeamRefused
    case AdmissionLimit.Room:
    case AdmissionLimit.None: return choice.isForObjective ? MetricEvent.LateRefused : undefined
  }
}
