import type { RandomSource } from '../../shared/random-source.js'
import { ServerState } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicaLoads } from './replica-loads.js'

export interface ReplicaChoiceInput {
  readonly replicas: readonly Replica[]
  readonly model: string
  readonly slotCount: number
  readonly zone: string
  /** Gateways that choose among the same groups. */
  readonly gatewayCount: number
  /** Streams that this gateway may have on one group. */
  readonly maxOwnStreamCount: number
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
  | { readonly kind: ReplicaChoiceKind.Chosen, readonly replica: Replica, readonly streamCount: number, readonly isHealthy: boolean }
  | { readonly kind: ReplicaChoiceKind.Full, readonly streamCount: number }
  | { readonly kind: ReplicaChoiceKind.Absent }

/** Streams above the slots that a group may have, as a part of the slots; they wait in the engine. */
const overfillPart = 0.25
/** Streams that a group in another zone must have fewer, for the way there and the bytes between zones. */
const crossZoneStreamCount = 2.5
/** With no slot free in calm groups, one that gives no events or will be replaced soon counts as this much fuller. */
const restlessStreamCount = 9
/** Gateways that may all take the group that their reports show as the emptiest; `npm run bench -- placing`. */
const maxAgreeingGatewayCount = 3
const minSampleCount = 2
/** A gateway keeps to its zone while one of the groups there has fewer streams than this part of its slots. */
const nearFillPart = 0.8

interface RatedReplica {
  readonly replica: Replica
  readonly streamCount: number
  /** Streams, and penalties in streams. */
  readonly cost: number
  readonly isNear: boolean
  /** Gives events, and none of its servers is leaving. */
  readonly isCalm: boolean
}

/**
 * Chooses the group with the lowest cost among a random few. Gateways that all took the emptiest group would
 * fill it before the reports show it, so that the more of them there are, the fewer groups each compares.
 */
export function chooseReplica (input: ReplicaChoiceInput, loads: ReplicaLoads, random: RandomSource): ReplicaChoice {
  const usable = input.replicas.filter(replica => replica.model?.name === input.model && replica.isOpen &&
    !input.excludedIds.has(replica.id) && !loads.isStalled(replica.id) && hasAllMembers(replica))
  if (usable.length === 0) return { kind: ReplicaChoiceKind.Absent }
  const rated = usable.map(replica => rate(replica, input.zone, loads, random))
  const free = rated.filter(candidate => candidate.streamCount < input.slotCount * (1 + overfillPart) &&
    loads.getLocalStreamCount(candidate.replica.id) < input.maxOwnStreamCount)
  if (free.length === 0) return { kind: ReplicaChoiceKind.Full, streamCount: Math.min(...rated.map(candidate => candidate.streamCount)) }
  const calm = free.filter(candidate => candidate.isCalm && candidate.streamCount < input.slotCount)
  const near = calm.filter(candidate => candidate.isNear && candidate.streamCount < input.slotCount * nearFillPart)
  const preferred = near.length > 0 ? near : calm
  const { replica, streamCount } = preferred.length > 0 ? pickOfSample(preferred, input.gatewayCount, random) : pickCheapest(free)
  const isSound = streamCount < input.slotCount && !loads.isQuiet(replica.id)
  return { kind: ReplicaChoiceKind.Chosen, replica, streamCount, isHealthy: isSound }
}

function rate (replica: Replica, zone: string, loads: ReplicaLoads, random: RandomSource): RatedReplica {
  const streamCount = loads.getStreamCount(replica.id)
  const isNear = replica.leader?.zone === zone
  const isCalm = replica.isComplete && !loads.isQuiet(replica.id)
  const cost = streamCount + (isNear ? 0 : crossZoneStreamCount) + (isCalm ? 0 : restlessStreamCount) + random.nextFloat()
  return { replica, streamCount, cost, isNear, isCalm }
}

function pickOfSample (candidates: readonly RatedReplica[], gatewayCount: number, random: RandomSource): RatedReplica {
  const sampleCount = Math.max(minSampleCount, Math.ceil(candidates.length * maxAgreeingGatewayCount / gatewayCount))
  const sampled = Array.from({ length: sampleCount }, () => candidates[random.nextInt(candidates.length)] as RatedReplica)
  return pickCheapest(sampled)
}

function pickCheapest (candidates: readonly RatedReplica[]): RatedReplica {
  return candidates.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best)
}

/** Whether no member has vanished and the leader stays. */
export function hasAllMembers (replica: Replica): boolean {
  return replica.members.length === replica.model?.groupSize && replica.leader?.state === ServerState.Ready
}
