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

/** A group that may receive new requests, with the load that its owner last reported. */
export interface FreshGroup {
  readonly groupId: string
  readonly epoch: number
  readonly deployment: string
  readonly leaderAddress: string
  readonly availabilityZone: string
  readonly ageMs: number
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  readonly tokenIntervalMs: number
}

/** Evidence that a router holds about the groups it can route requests to. */
export interface EvidenceCache {
  /** Applies the response to a poll that was sent at the given monotonic time. */
  applyResponse (groups: readonly GroupEvidence[], pollSentAtMs: number): void
  getFreshGroups (deployment: string, nowMs: number): FreshGroup[]
  /** Whether a request may be sent to the group. Call it immediately before sending, with the current monotonic time. */
  canRouteTo (groupId: string, epoch: number, nowMs: number): boolean
  /** Whether streams in flight on the group may rely on it. */
  isProven (groupId: string, epoch: number, nowMs: number): boolean
  /** Highest epoch seen for a group; undefined for an unknown group. */
  getEpoch (groupId: string): number | undefined
  readonly losses: Stream<EvidenceLoss>
  stop (): void
}

interface CachedGroup {
  readonly epoch: number
  readonly evidence: GroupEvidence
  /** Latest time at which all members are known to have served; -Infinity without evidence. */
  readonly provenAtMs: number
  /** Evidence from this time or earlier is invalid. */
  readonly refutedAtMs: number
  /** The group receives no new requests before this time. */
  readonly leavingUntilMs: number
  readonly lastResponseAtMs: number
  /** Whether evidence was valid at the last update; a change to false is reported as a loss. */
  readonly wasProven: boolean
}

const sweepIntervalMs = 250
const groupRetentionMs = 60_000

/** Creates an empty cache. Responses may arrive late and in any order; none makes evidence look newer than it is. */
export function createEvidenceCache (timers: TimerService, settings: GroupSettings): EvidenceCache {
  const groups = new Map<string, CachedGroup>()
  const losses = createChannel<EvidenceLoss>()
  const sweepSubscription: TimerSubscription = timers.subscribeEvery(sweepIntervalMs, sweep)

  function isProven (group: CachedGroup, nowMs: number): boolean {
    return group.provenAtMs > group.refutedAtMs && nowMs - group.provenAtMs <= settings.evidenceMaxAgeMs
  }

  function acceptsNewWork (group: CachedGroup, nowMs: number): boolean {
    return isProven(group, nowMs) && nowMs >= group.leavingUntilMs
  }

  function updateGroup (groupId: string, group: CachedGroup): void {
    const nowMs = timers.nowMs()
    const isProvenNow = isProven(group, nowMs)
    groups.set(groupId, { ...group, wasProven: isProvenNow })
    if (group.wasProven && !isProvenNow) {
      const reason = group.refutedAtMs >= group.provenAtMs ? EvidenceLossReason.Refuted : EvidenceLossReason.Expired
      losses.send({ groupId, epoch: group.epoch, reason })
    }
  }

  function applyEvidence (evidence: GroupEvidence, pollSentAtMs: number): void {
    const previous = groups.get(evidence.groupId)
    if (previous !== undefined && evidence.epoch < previous.epoch) return
    const isNewEpoch = previous === undefined || evidence.epoch > previous.epoch
    if (isNewEpoch && previous?.wasProven === true) {
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
        .filter(group => group.evidence.deployment === deployment && acceptsNewWork(group, nowMs))
        .map(group => toFreshGroup(group, nowMs))
    },
    canRouteTo (groupId, epoch, nowMs) {
      const group = groups.get(groupId)
      return group !== undefined && group.epoch === epoch && acceptsNewWork(group, nowMs)
    },
    isProven (groupId, epoch, nowMs) {
      const group = groups.get(groupId)
      return group !== undefined && group.epoch === epoch && isProven(group, nowMs)
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
    provenAtMs: -Infinity,
    refutedAtMs: -Infinity,
    leavingUntilMs: -Infinity,
    lastResponseAtMs: -Infinity,
    wasProven: false
  }
}

function mergeEvidence (group: CachedGroup, evidence: GroupEvidence, pollSentAtMs: number, leavingHoldMs: number): CachedGroup {
  const isLeaving = evidence.isLeaving === true
  const isRefuted = !evidence.isComplete && evidence.isRefuted === true
  const provenAtMs = evidence.isComplete || isLeaving ? pollSentAtMs - evidence.ageMs : -Infinity
  return {
    ...group,
    evidence: pollSentAtMs >= group.lastResponseAtMs ? evidence : group.evidence,
    provenAtMs: Math.max(group.provenAtMs, provenAtMs),
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
    ageMs: nowMs - group.provenAtMs,
    activeStreamCount: evidence.activeStreamCount,
    queuedStreamCount: evidence.queuedStreamCount,
    tokenIntervalMs: evidence.tokenIntervalUs / 1000
  }
}
