import type { RandomSource } from '../../shared/random-source.js'
import { ServerState, type BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import { needsPermit, type ServerCheck } from '../servers/server-admission.js'
import { AdmissionLimit } from '../scarcity/admission.js'
import { getRoomSlotCount, maxQueuedFraction, type ExpectedTimes } from './stream-limit.js'
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
  /** What is expected of the call; undefined for a call that may queue whatever its objective. */
  readonly expected?: ExpectedTimes | undefined
  /** Whether the call is among those that are admitted when the model has so much room; all are when undefined. */
  admit? (roomSlotCount: number): { readonly limit: AdmissionLimit, readonly roomAfterMs: number }
  /** Mean number of slots that the calls of one of so many zones ask for; 0 when undefined. */
  getZoneDemandSlotCount? (zoneCount: number): number
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

/** All replicas have as many streams as the call allows, or the call is not among those that are admitted. */
export interface FullChoice {
  readonly kind: ReplicaChoiceKind.Full
  /** Streams of the least loaded replica. */
  readonly streamCount: number
  /** A replica would take the stream if it could begin after its objective. */
  readonly isForObjective: boolean
  readonly limit: AdmissionLimit
  /** Time after which room is expected; undefined when it is not known, or a replica of the model is not in service. */
  readonly roomAfterMs: number | undefined
}

/** A chosen replica with its current stream count, or why there is none. Streams of all gateways are counted. */
export type ReplicaChoice =
  /** `isHealthy`: the replica has a free slot and is not quiet. */
  | { readonly kind: ReplicaChoiceKind.Chosen, readonly replica: Replica, readonly streamCount: number, readonly isHealthy: boolean, readonly limitedLeaders: readonly BackendServer[] }
  /** `limitedLeaders`: the leaders with free slots that may be sent no request now, the one with the lowest cost first. */
  | { readonly kind: ReplicaChoiceKind.Limited, readonly limitedLeaders: readonly BackendServer[] }
  | FullChoice
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
  /** Slots that new streams may take up; Infinity for a call without expected times while the replica takes streams. */
  readonly roomSlotCount: number
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
  const isPaced = (replica: Replica) => (input.getStreamLimit?.(replica, input.slotCount) ?? input.slotCount) < input.slotCount
  // Where all replicas are paced, none is known to be better, and a refusal would serve nobody.
  const ratingInput = usable.every(isPaced) ? { ...input, getStreamLimit: undefined } : input
  const rated = usable.map(replica => rate(replica, ratingInput, loads, random))
  const connectable = rated.filter(({ replica }) => loads.getLocalStreamCount(replica.id) < input.maxLocalStreamCount)
  const free = connectable.filter(candidate => candidate.roomSlotCount > 0)
  const admission = free.length === 0 ? undefined : input.admit?.(free.reduce((sum, { roomSlotCount }) => sum + roomSlotCount, 0))
  const limit = admission?.limit ?? AdmissionLimit.None
  if (free.length === 0 || limit !== AdmissionLimit.None) {
    const isForObjective = limit === AdmissionLimit.Room || (limit === AdmissionLimit.None && connectable.some(({ streamCount }) => streamCount < input.slotCount * (1 + maxQueuedFraction)))
    const isComplete = input.replicas.every(replica => replica.model?.name !== input.model || (replica.isOpen && replica.isComplete && !loads.isStalled(replica.id)))
    const roomAfterMs = isComplete ? admission?.roomAfterMs ?? input.expected?.slotTimeMs : undefined
    return { kind: ReplicaChoiceKind.Full, streamCount: Math.min(...rated.map(candidate => candidate.streamCount)), isForObjective, limit, roomAfterMs }
  }
  const permitted = free.filter(({ replica }) => checks.get(replica.id)?.isAllowed !== false)
  const limitedLeaders = permitted.length === free.length ? [] : listLeaders(free.filter(candidate => !permitted.includes(candidate)))
  if (permitted.length === 0) return { kind: ReplicaChoiceKind.Limited, limitedLeaders }
  // Few gateways may send to a replica that has yet to prove itself, and those prefer it, or it would stay idle.
  const rising = permitted.filter(({ isSteady, streamLimit, streamCount, paceFactor }) => isSteady && streamLimit < input.slotCount && streamCount < streamLimit * preferredFillFraction && paceFactor === 1)
  const { replica, streamCount } = rising.length > 0 ? pickFromSample(rising, input.gatewayCount, random) : pick(permitted, input, random)
  const isHealthy = streamCount < input.slotCount && !loads.isQuiet(replica.id)
  return { kind: ReplicaChoiceKind.Chosen, replica, streamCount, isHealthy, limitedLeaders }
}

/** Picks by the room of the replicas where it is known for the call, else by their streams. */
function pick (permitted: readonly RatedReplica[], input: ReplicaChoiceInput, random: RandomSource): RatedReplica {
  return input.expected === undefined ? pickByCount(permitted, input, random) : pickByRoom(permitted, input, random)
}

/** Picks the least loaded of a sample, in the gateway's zone while a replica there is not nearly full. */
function pickByCount (permitted: readonly RatedReplica[], input: ReplicaChoiceInput, random: RandomSource): RatedReplica {
  const steady = permitted.filter(candidate => candidate.isSteady && candidate.streamCount < input.slotCount)
  const inSameZone = steady.filter(candidate => candidate.isInSameZone && candidate.streamCount < input.slotCount * sameZoneFillFraction)
  const preferred = inSameZone.length > 0 ? inSameZone : steady
  return preferred.length > 0 ? pickFromSample(preferred, input.gatewayCount, random) : pickCheapest(permitted)
}

/**
 * Picks a replica with a probability in proportion to its room. Counts are out of date under load: the few replicas that look
 * empty would get the streams of all gateways. A gateway stays in its zone with the probability that the zone has room for its calls.
 */
function pickByRoom (permitted: readonly RatedReplica[], { getZoneDemandSlotCount }: ReplicaChoiceInput, random: RandomSource): RatedReplica {
  const steady = permitted.filter(candidate => candidate.isSteady)
  const usable = steady.length > 0 ? steady : permitted
  const near = usable.filter(candidate => candidate.isInSameZone)
  const far = usable.filter(candidate => !candidate.isInSameZone)
  if (near.length === 0 || far.length === 0) return pickWeighted(usable, random)
  const nearRoom = near.reduce((sum, { roomSlotCount }) => sum + roomSlotCount, 0)
  const zoneCount = new Set(usable.map(({ replica }) => replica.leader?.zone)).size
  const demand = getZoneDemandSlotCount?.(zoneCount) ?? 0
  return pickWeighted(random.nextFloat() * demand < nearRoom ? near : far, random)
}

function pickWeighted (candidates: readonly RatedReplica[], random: RandomSource): RatedReplica {
  let left = random.nextFloat() * candidates.reduce((sum, { roomSlotCount }) => sum + roomSlotCount, 0)
  for (const candidate of candidates) {
    left -= candidate.roomSlotCount
    if (left <= 0) return candidate
  }
  return candidates.at(-1) as RatedReplica
}

/** Slots that new streams may take up on the replica, see `getRoomSlotCount`. There is no queue on one whose streams are limited. */
function getRoom ({ slotCount, gatewayCount, expected }: ReplicaChoiceInput, replica: Replica, streamCount: number, pacedLimit: number, paceFactor: number): number {
  const isPaced = pacedLimit < slotCount
  if (isPaced && streamCount >= pacedLimit) return 0
  if (expected === undefined) return streamCount < slotCount * (1 + maxQueuedFraction) ? Infinity : 0
  const streamLimit = Math.min(expected.getStreamLimit(paceFactor, replica.leader?.zone), isPaced ? pacedLimit : Infinity)
  return getRoomSlotCount(streamCount, streamLimit, slotCount, expected.slotTimeMs * paceFactor, gatewayCount)
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
  return { replica, streamCount, roomSlotCount: getRoom(input, replica, streamCount, streamLimit, paceFactor), cost, isInSameZone, isSteady, streamLimit, paceFactor }
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
