import type { Stream } from 'most'

import type { GroupEvidence } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createChannel } from '../../shared/channel.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { GroupSettings } from './group-settings.js'

export enum EvidenceLossReason {
  /** An owner learned that a member does not serve the group. */
  Refuted = 'refuted',
  /** The group was re-formed under a higher epoch. */
  Superseded = 'superseded',
  /** The newest evidence of completeness is older than the maximum age. */
  Expired = 'expired'
}

/** Reports that streams in flight on a group can no longer rely on it. */
export interface EvidenceLoss {
  readonly groupId: string
  readonly epoch: number
  readonly reason: EvidenceLossReason
}

/**
 * A group that may receive new requests, with the load that its owner last reported. The entry node adds slots and
 * credits (`RoutableGroup`).
 */
export interface FreshGroup {
  readonly groupId: string
  readonly epoch: number
  readonly deployment: string
  readonly leaderAddress: string
  readonly availabilityZone: string
  /** Age of the oldest member report used. */
  readonly ageMs: number
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  /** Time between tokens of the slowest member. */
  readonly tokenIntervalMs: number
}

/** Evidence that a router holds about the groups it can route requests to. */
export interface EvidenceCache {
  /** Applies the response to a poll that was sent at the given monotonic time. */
  applyResponse (groups: readonly GroupEvidence[], pollSentAtMs: number): void
  getFreshGroups (deployment: string, nowMs: number): FreshGroup[]
  /** Whether a request may be sent to the group. Call it immediately before sending, with the current monotonic time. */
  canRouteTo (groupId: string, epoch: number, nowMs: number): boolean
  /** Whether evidence of the group is valid, so streams in flight on it may go on. */
  hasValidEvidence (groupId: string, epoch: number, nowMs: number): boolean
  /** Highest epoch seen for a group; undefined for an unknown group. */
  getEpoch (groupId: string): number | undefined
  /** One loss each time a group's evidence becomes invalid or its epoch is superseded. */
  readonly losses: Stream<EvidenceLoss>
  stop (): void
}

interface CachedGroup {
  readonly epoch: number
  readonly evidence: GroupEvidence
  /** Latest time at which all members are known to have served; -Infinity without evidence. */
  readonly evidenceAtMs: number
  /** Evidence from this time or earlier is invalid. */
  readonly refutedAtMs: number
  /** The group receives no new requests before this time. */
  readonly leavingUntilMs: number
  readonly lastResponseAtMs: number
  /** Whether the evidence was valid at the last update; a change to false is reported as a loss. */
  readonly hadValidEvidence: boolean
}

/** Time between two checks for expired evidence; limits the delay of a loss for that reason. */
const sweepIntervalMs = 250
/** Time after the last response about a group at which it is removed. */
const groupRetentionMs = 60_000

/**
 * Creates an empty cache. Responses may arrive late and in any order: ages count from the send time of the poll, so a
 * late response never extends evidence.
 */
export function createEvidenceCache (timers: TimerService, settings: GroupSettings): EvidenceCache {
  const groups = new Map<string, CachedGroup>()
  const losses = createChannel<EvidenceLoss>()
  const sweepSubscription: TimerSubscription = timers.subscribeEvery(sweepIntervalMs, sweep)

  function hasValidEvidence (group: CachedGroup, nowMs: number): boolean {
    return group.evidenceAtMs > group.refutedAtMs && nowMs - group.evidenceAtMs <= settings.evidenceMaxAgeMs
  }

  function canRouteToGroup (group: CachedGroup, nowMs: number): boolean {
    return hasValidEvidence(group, nowMs) && nowMs >= group.leavingUntilMs
  }

  function updateGroup (groupId: string, group: CachedGroup): void {
    const nowMs = timers.nowMs()
    const hasValidEvidenceNow = hasValidEvidence(group, nowMs)
    groups.set(groupId, { ...group, hadValidEvidence: hasValidEvidenceNow })
    if (group.hadValidEvidence && !hasValidEvidenceNow) {
      const reason = group.refutedAtMs >= group.evidenceAtMs ? EvidenceLossReason.Refuted : EvidenceLossReason.Expired
      losses.send({ groupId, epoch: group.epoch, reason })
    }
  }

  function applyEvidence (evidence: GroupEvidence, pollSentAtMs: number): void {
    const previous = groups.get(evidence.groupId)
    if (previous !== undefined && evidence.epoch < previous.epoch) return
    const isNewEpoch = previous === undefined || evidence.epoch > previous.epoch
    if (isNewEpoch && previous?.hadValidEvidence === true) {
      losses.send({ groupId: evidence.groupId, epoch: previous.epoch, reason: EvidenceLossReason.Superseded })
    }
    const base = isNewEpoch ? createCachedGroup(evidence) : previous
    updateGroup(evidence.groupId, mergeEvidence(base, evidence, pollSentAtMs, settings.leavingHoldMs))
  }

  function sweep (): void {
    const nowMs = timers.nowMs()
    for (const [groupId, group] of groups) {
      updateGroup(groupId, group)
      if (nowMs - group.lastResponseAtMs > groupRetentionMs) groups.delete(groupId)
    }
  }

  return {
    applyResponse (groupEvidence, pollSentAtMs) {
      for (const evidence of groupEvidence) applyEvidence(evidence, pollSentAtMs)
    },
    getFreshGroups (deployment, nowMs) {
      return [...groups.values()]
        .filter(group => group.evidence.deployment === deployment && canRouteToGroup(group, nowMs))
        .map(group => toFreshGroup(group, nowMs))
    },
    canRouteTo (groupId, epoch, nowMs) {
      const group = groups.get(groupId)
      return group !== undefined && group.epoch === epoch && canRouteToGroup(group, nowMs)
    },
    hasValidEvidence (groupId, epoch, nowMs) {
      const group = groups.get(groupId)
      return group !== undefined && group.epoch === epoch && hasValidEvidence(group, nowMs)
    },
    getEpoch: groupId => groups.get(groupId)?.epoch,
    losses: losses.messages,
    stop: () => sweepSubscription.cancel()
  }
}

function createCachedGroup (evidence: GroupEvidence): CachedGroup {
  return {
    epoch: evidence.epoch,
    evidence,
    evidenceAtMs: -Infinity,
    refutedAtMs: -Infinity,
    leavingUntilMs: -Infinity,
    lastResponseAtMs: -Infinity,
    hadValidEvidence: false
  }
}

function mergeEvidence (group: CachedGroup, evidence: GroupEvidence, pollSentAtMs: number, leavingHoldMs: number): CachedGroup {
  const isLeaving = evidence.isLeaving === true
  const isRefuted = !evidence.isComplete && evidence.isRefuted === true
  // All members of a leaving group still serve, so its streams in flight may rely on it.
  const evidenceAtMs = evidence.isComplete || isLeaving ? pollSentAtMs - evidence.ageMs : -Infinity
  return {
    ...group,
    evidence: pollSentAtMs >= group.lastResponseAtMs ? evidence : group.evidence,
    evidenceAtMs: Math.max(group.evidenceAtMs, evidenceAtMs),
    refutedAtMs: isRefuted ? Math.max(group.refutedAtMs, pollSentAtMs) : group.refutedAtMs,
    leavingUntilMs: isLeaving ? Math.max(group.leavingUntilMs, pollSentAtMs + leavingHoldMs) : group.leavingUntilMs,
    lastResponseAtMs: Math.max(group.lastResponseAtMs, pollSentAtMs)
  }
}

function toFreshGroup (group: CachedGroup, nowMs: number): FreshGroup {
  const { evidence } = group
  return {
    groupId: evidence.groupId,
    epoch: group.epoch,
    deployment: evidence.deployment,
    leaderAddress: evidence.leaderAddress,
    availabilityZone: evidence.availabilityZone,
    ageMs: nowMs - group.evidenceAtMs,
    activeStreamCount: evidence.activeStreamCount,
    queuedStreamCount: evidence.queuedStreamCount,
    tokenIntervalMs: evidence.tokenIntervalUs / 1000
  }
}
