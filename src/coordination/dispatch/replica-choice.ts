import type { RandomSource } from '../../shared/random-source.js'
import { ServerState } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicaLoads } from './replica-loads.js'

export interface ReplicaChoiceInput {
  readonly replicas: readonly Replica[]
  readonly model: string
  readonly slotCount: number
  readonly zone: string
  /** Groups that this request was on already. */
  readonly excludedIds: ReadonlySet<string>
}

export enum ReplicaChoiceKind {
  Chosen = 'chosen',
  /** All groups of the model have as many streams as they take. */
  Full = 'full',
  /** No group serves the model. */
  Absent = 'absent'
}

export type ReplicaChoice =
  /** A sound group has a free slot and gives events. */
  | { readonly kind: ReplicaChoiceKind.Chosen, readonly replica: Replica, readonly streamCount: number, readonly isSound: boolean }
  | { readonly kind: ReplicaChoiceKind.Full, readonly streamCount: number }
  | { readonly kind: ReplicaChoiceKind.Absent }

/** Streams above the slots that a group may have, as a part of the slots; they wait in the engine. */
const overfillPart = 0.25
/** Streams that a group in another zone must have fewer, for the way there and the bytes between zones. */
const crossZoneStreamCount = 1.5
/** A group that gives no events or will be replaced soon gets streams only when the others are this much fuller. */
const leavingStreamCount = 9

/** Chooses the group with the fewest streams, a near one first. */
export function chooseReplica (input: ReplicaChoiceInput, loads: ReplicaLoads, random: RandomSource): ReplicaChoice {
  const usable = input.replicas.filter(replica => replica.model?.name === input.model && replica.isOpen &&
    !input.excludedIds.has(replica.id) && !loads.isStalled(replica.id) && hasAllMembers(replica))
  if (usable.length === 0) return { kind: ReplicaChoiceKind.Absent }
  const limit = input.slotCount * (1 + overfillPart)
  const rated = usable.map(replica => {
    const streamCount = loads.getCount(replica.id)
    const quietPenalty = loads.isQuiet(replica.id) ? leavingStreamCount : 0
    return { replica, streamCount, cost: streamCount + getPenalty(replica, input.zone) + quietPenalty + random.nextFloat() }
  })
  rated.sort((left, right) => left.cost - right.cost)
  const best = rated.find(candidate => candidate.streamCount < limit)
  if (best === undefined) return { kind: ReplicaChoiceKind.Full, streamCount: rated[0]?.streamCount ?? 0 }
  const isSound = best.streamCount < input.slotCount && !loads.isQuiet(best.replica.id)
  return { kind: ReplicaChoiceKind.Chosen, replica: best.replica, streamCount: best.streamCount, isSound }
}

/** Whether no member has vanished and the leader stays. */
export function hasAllMembers (replica: Replica): boolean {
  return replica.members.length === replica.model?.groupSize && replica.leader?.state === ServerState.Ready
}

function getPenalty (replica: Replica, zone: string): number {
  const zonePenalty = replica.leader?.zone === zone ? 0 : crossZoneStreamCount
  return zonePenalty + (replica.isComplete ? 0 : leavingStreamCount)
}
