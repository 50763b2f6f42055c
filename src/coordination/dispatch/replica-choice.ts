import type { RandomSource } from '../../shared/random-source.js'
import { ServerState, type BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import { needsPermit, type ServerCheck } from '../servers/server-admission.js'
import { computeQueueLimit, type ExpectedTimes } from './queue-limit.js'
import type { ReplicaLoads } from './replica-loads.js'

/** What the choice of a replica for one stream depends on. */
export interface ReplicaChoiceInput {
  readonly replicas: readonly Replica[]
  readonly model: string
  readonly slotCount: number
  readonly zone: string
  /** Number of gateways that choose among the same replicas. */
  readonly gatewayCount: number
  /** Most streams that this gateway may have on one replica. */
  readonly maxLocalStreamCount: number
  /** Replicas on which this request was attempted already. */
  readonly excludedIds: ReadonlySet<string>
  /** Whether a replica that is marked as stalled may be chosen; false when undefined. */
  readonly mayBeStalled?: boolean
  /** What is expected of the call in a replica whose slots are in use; undefined for a call that may queue whatever its objective. */
  readonly expected?: ExpectedTimes | undefined
  /** Whether a request may go to the server now; called once for each candidate. */
  check (server: BackendServer): ServerCheck
  /** Streams of all gateways up to which the replica may get new ones now; `slotCount` for no limit of its own. */
  readonly getStreamLimit?: ((replica: Replica, slotCount: number) => number) | undefined
  /** Time that the replica takes over the usual one of its model. */
  readonly getPaceFactor?: ((replica: Replica) => number) | undefined
}

/** Result of the choice. */
export enum ReplicaChoiceKind {
  Chosen = 'chosen',
  /** Every replica of the model has reached its stream limit, which depends on the call's objective. */
  Full = 'full',
  /** Every replica that could serve the model wants no requests for some time. */
  Held = 'held',
  /** Every replica that could serve the model is in a zone that is being evacuated. */
  Evacuated = 'evacuated',
  /** Every replica that could take the stream has a leader whose limit lets no request be sent now. */
  Limited = 'limited',
  /** No usable replica serves the model. */
  Absent = 'absent'
}

/** A chosen replica with its current stream count, or why there is none. Streams of all gateways are counted. */
export type ReplicaChoice =
  /** `isHealthy`: the replica has a free slot and is not quiet. */
  | { readonly kind: ReplicaChoiceKind.Chosen, readonly replica: Replica, readonly streamCount: number, readonly isHealthy: boolean, readonly limitedLeaders: readonly BackendServer[] }
  /** `limitedLeaders`: the leaders with free slots that may be sent no request now, the one with the lowest cost first. */
  | { readonly kind: ReplicaChoiceKind.Limited, readonly limitedLeaders: readonly BackendServer[] }
  /** `isForObjective`: a replica would take the stream if it could begin after its objective. */
  | { readonly kind: ReplicaChoiceKind.Full, readonly streamCount: number, readonly isForObjective: boolean }
  /** `holdMs`: the time after which the first of them takes requests. */
  | { readonly kind: ReplicaChoiceKind.Held, readonly holdMs: number }
  | { readonly kind: ReplicaChoiceKind.Absent | ReplicaChoiceKind.Evacuated }

/** Cost of a replica in another zone, in streams, for the latency and traffic between zones. */
const crossZonePenaltyStreamCount = 2.5
/** Cost, in streams, of a replica that is quiet or about to be replaced; it counts only when no steady replica has a free slot. */
const unsteadyPenaltyStreamCount = 9
/** Each replica is in the samples of about this many gateways; `npm run bench -- placing` compares policies. */
const expectedSamplerCount = 3
const minSampleCount = 2
/** A gateway stays in its zone while a replica there uses less than this fraction of its slots. */
const sameZoneFillFraction = 0.8
/** A replica whose stream limit is rising is preferred up to this fraction of the limit; up to all of it, gateways with old reports overfill it. */
const preferredFillFraction = 0.5

interface RatedReplica {
  readonly replica: Replica
  readonly streamCount: number
  /** Streams plus penalties, in streams. */
  readonly cost: number
  readonly isInSameZone: boolean
  /** Is not quiet, and none of its servers is leaving. */
  readonly isSteady: boolean
  readonly streamLimit: number
  readonly paceFactor: number
}

/**
 * Chooses the replica with the lowest cost in a random sample. If all gateways picked the least loaded replica, they would
 * fill it before the load reports show it. The more gateways there are, the smaller the sample of each.
 */
export function chooseReplica (input: ReplicaChoiceInput, loads: ReplicaLoads, random: RandomSource): ReplicaChoice {
  const candidates = input.replicas.filter(replica => replica.model?.name === input.model && replica.isOpen &&
    !input.excludedIds.has(replica.id) && (input.mayBeStalled === true || !loads.isStalled(replica.id)) && hasAllMembersAndReadyLeader(replica))
  if (candidates.length === 0) return { kind: ReplicaChoiceKind.Absent }
  const checks = new Map(candidates.map(replica => [replica.id, replica.leader === undefined ? undefined : input.check(replica.leader)]))
  const usable = candidates.filter(replica => mayTakeWithPermit(checks.get(replica.id)))
  if (usable.length === 0) {
    const holdMs = Math.min(...candidates.map(replica => getWaitMs(checks.get(replica.id))))
    return holdMs === Infinity ? { kind: ReplicaChoiceKind.Evacuated } : { kind: ReplicaChoiceKind.Held, holdMs }
  }
  const rated = usable.map(replica => rate(replica, input, loads, random))
  const isPaced = (candidate: RatedReplica) => candidate.streamLimit < input.slotCount
  // Where all replicas are paced, none is known to be better, and a refusal would serve nobody.
  const withinPace = rated.every(isPaced) ? rated : rated.filter(candidate => !isPaced(candidate) || candidate.streamCount < candidate.streamLimit)
  const connectable = withinPace.filter(({ replica }) => loads.getLocalStreamCount(replica.id) < input.maxLocalStreamCount)
  const free = connectable.filter(candidate => candidate.streamCount < getMaxStreamCount(input, candidate, input.expected))
  if (free.length === 0) {
    const isForObjective = connectable.some(candidate => candidate.streamCount < getMaxStreamCount(input, candidate, undefined))
    return { kind: ReplicaChoiceKind.Full, streamCount: Math.min(...rated.map(candidate => candidate.streamCount)), isForObjective }
  }
  const permitted = free.filter(({ replica }) => checks.get(replica.id)?.isAllowed !== false)
  const limitedLeaders = permitted.length === free.length ? [] : listLeaders(free.filter(candidate => !permitted.includes(candidate)))
  if (permitted.length === 0) return { kind: ReplicaChoiceKind.Limited, limitedLeaders }
  const steady = permitted.filter(candidate => candidate.isSteady && candidate.streamCount < input.slotCount)
  // Few gateways may send to a replica that has yet to prove itself, and those prefer it, or it would stay idle.
  const rising = steady.filter(candidate => isPaced(candidate) && candidate.streamCount < candidate.streamLimit * preferredFillFraction && candidate.paceFactor === 1)
  const inSameZone = steady.filter(candidate => candidate.isInSameZone && candidate.streamCount < input.slotCount * sameZoneFillFraction)
  const preferred = [rising, inSameZone, steady].find(candidates => candidates.length > 0) ?? []
  const { replica, streamCount } = preferred.length > 0 ? pickFromSample(preferred, input.gatewayCount, random) : pickCheapest(permitted)
  const isHealthy = streamCount < input.slotCount && !loads.isQuiet(replica.id)
  return { kind: ReplicaChoiceKind.Chosen, replica, streamCount, isHealthy, limitedLeaders }
}

/** The replica takes a stream while it has fewer than this many. One that is not at its full pace gets no queue. */
function getMaxStreamCount ({ slotCount }: ReplicaChoiceInput, { streamLimit, paceFactor }: RatedReplica, expected: ExpectedTimes | undefined): number {
  return streamLimit < slotCount ? slotCount : slotCount + computeQueueLimit(slotCount, expected, paceFactor)
}

/** Whether the server of the check takes requests now, or as soon as there is a permit. */
function mayTakeWithPermit (check: ServerCheck | undefined): boolean {
  return check === undefined || check.isAllowed || needsPermit(check.reason)
}

function getWaitMs (check: ServerCheck | undefined): number {
  return check === undefined || check.isAllowed ? 0 : check.waitMs
}

function listLeaders (candidates: readonly RatedReplica[]): BackendServer[] {
  return [...candidates].sort((left, right) => left.cost - right.cost).flatMap(({ replica: { leader } }) => leader ?? [])
}

function rate (replica: Replica, input: ReplicaChoiceInput, loads: ReplicaLoads, random: RandomSource): RatedReplica {
  const streamCount = loads.getStreamCount(replica.id)
  const isInSameZone = replica.leader?.zone === input.zone
  const isSteady = replica.isComplete && !loads.isQuiet(replica.id)
  const streamLimit = input.getStreamLimit?.(replica, input.slotCount) ?? input.slotCount
  const paceFactor = input.getPaceFactor?.(replica) ?? 1
  // A stream takes the time of those that are there, and its own, as many times longer as the replica is slower.
  const cost = (streamCount + 1) * paceFactor - 1 + (isInSameZone ? 0 : crossZonePenaltyStreamCount) + (isSteady ? 0 : unsteadyPenaltyStreamCount) + random.nextFloat()
  return { replica, streamCount, cost, isInSameZone, isSteady, streamLimit, paceFactor }
}

function pickFromSample (candidates: readonly RatedReplica[], gatewayCount: number, random: RandomSource): RatedReplica {
  const sampleCount = Math.max(minSampleCount, Math.ceil(candidates.length * expectedSamplerCount / gatewayCount))
  const sampled = Array.from({ length: sampleCount }, () => candidates[random.nextInt(candidates.length)] as RatedReplica)
  return pickCheapest(sampled)
}

function pickCheapest (candidates: readonly RatedReplica[]): RatedReplica {
  return candidates.reduce((best, candidate) => candidate.cost < best.cost ? candidate : best)
}

/** Whether all members are listed and the leader is ready. Unlike in `Replica.isComplete`, other members may be draining. */
export function hasAllMembersAndReadyLeader (replica: Replica): boolean {
  return replica.members.length === replica.model?.groupSize && replica.leader?.state === ServerState.Ready
}
