import type { Stream } from 'most'

import type { GroupEvidence } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createChannel } from '../../shared/channel.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { GroupSettings } from './group-settings.js'

export enum EvidenceLossReason {
  /** An owner heard from a member that it does not serve the group. */
  Refuted = 'refuted',
  /** The group was re-formed under a higher epoch. */
  Superseded = 'superseded',
  /** No proof that is young enough is left. */
  Expired = 'expired'
}

/** Tells that a group's streams in flight can no longer rely on the group. */
export interface EvidenceLoss {
  readonly groupId: string
  readonly epoch: number
  readonly reason: EvidenceLossReason
}

/** A group that may take new work, with the load that its owner last reported. */
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

/** What a router knows about the groups that it may hand requests to. */
export interface EvidenceCache {
  /** Takes the answer to a poll that was sent at the given monotonic time. */
  applyResponse (groups: readonly GroupEvidence[], pollSentAtMs: number): void
  getFreshGroups (deployment: string, nowMs: number): FreshGroup[]
  /** To be asked right before a hand-over, with the time read at that moment. */
  canRouteTo (groupId: string, epoch: number, nowMs: number): boolean
  /** Whether streams in flight on the group may rely on it. */
  isProven (groupId: string, epoch: number, nowMs: number): boolean
  /** Highest epoch seen for a group; undefined for an unknown one. */
  getEpoch (groupId: string): number | undefined
  readonly losses: Stream<EvidenceLoss>
  stop (): void
}

interface CachedGroup {
  readonly epoch: number
  readonly evidence: GroupEvidence
  /** Moment at which all members were known to serve; -Infinity without proof. */
  readonly provenAtMs: number
  /** Proof up to this moment is void. */
  readonly refutedAtMs: number
  /** No new work before this moment. */
  readonly leavingUntilMs: number
  readonly lastAnswerAtMs: number
  /** True while streams in flight may rely on the group. */
  readonly isHeld: boolean
}

const sweepIntervalMs = 250
const forgetAfterMs = 60_000

/** Creates an empty cache. Answers may arrive late and in any order; none makes proof look younger than it is. */
export function createEvidenceCache (timers: TimerService, settings: GroupSettings): EvidenceCache {
  const groups = new Map<string, CachedGroup>()
  const losses = createChannel<EvidenceLoss>()
  const sweepSubscription: TimerSubscription = timers.subscribeEvery(sweepIntervalMs, sweep)

  function isProven (group: CachedGroup, nowMs: number): boolean {
    return group.provenAtMs > group.refutedAtMs && nowMs - group.provenAtMs <= settings.evidenceMaxAgeMs
  }

  function isOpen (group: CachedGroup, nowMs: number): boolean {
    return isProven(group, nowMs) && nowMs >= group.leavingUntilMs
  }

  function store (groupId: string, group: CachedGroup): void {
    const nowMs = timers.nowMs()
    const isHeld = isProven(group, nowMs)
    groups.set(groupId, { ...group, isHeld })
    if (group.isHeld && !isHeld) {
      const reason = group.refutedAtMs >= group.provenAtMs ? EvidenceLossReason.Refuted : EvidenceLossReason.Expired
      losses.send({ groupId, epoch: group.epoch, reason })
    }
  }

  function takeOne (evidence: GroupEvidence, pollSentAtMs: number): void {
    const previous = groups.get(evidence.groupId)
    if (previous !== undefined && evidence.epoch < previous.epoch) return
    const isNewEpoch = previous === undefined || evidence.epoch > previous.epoch
    if (isNewEpoch && previous?.isHeld === true) {
      losses.send({ groupId: evidence.groupId, epoch: previous.epoch, reason: EvidenceLossReason.Superseded })
    }
    const base = isNewEpoch ? createCachedGroup(evidence) : previous
    store(evidence.groupId, mergeEvidence(base, evidence, pollSentAtMs, settings.leavingHoldMs))
  }

  function sweep (): void {
    const nowMs = timers.nowMs()
    for (const [groupId, group] of groups) {
      store(groupId, group)
      if (nowMs - group.lastAnswerAtMs > forgetAfterMs) groups.delete(groupId)
    }
  }

  return {
    applyResponse (answer, pollSentAtMs) {
      for (const evidence of answer) takeOne(evidence, pollSentAtMs)
    },
    getFreshGroups (deployment, nowMs) {
      return [...groups.values()]
        .filter(group => group.evidence.deployment === deployment && isOpen(group, nowMs))
        .map(group => toFreshGroup(group, nowMs))
    },
    canRouteTo (groupId, epoch, nowMs) {
      const group = groups.get(groupId)
      return group !== undefined && group.epoch === epoch && isOpen(group, nowMs)
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
    lastAnswerAtMs: -Infinity,
    isHeld: false
  }
}

function mergeEvidence (group: CachedGroup, evidence: GroupEvidence, pollSentAtMs: number, leavingHoldMs: number): CachedGroup {
  const isLeaving = evidence.isLeaving === true
  const isRefuted = !evidence.isComplete && evidence.isRefuted === true
  const proof = evidence.isComplete || isLeaving ? pollSentAtMs - evidence.ageMs : -Infinity
  return {
    ...group,
    evidence: pollSentAtMs >= group.lastAnswerAtMs ? evidence : group.evidence,
    provenAtMs: Math.max(group.provenAtMs, proof),
    refutedAtMs: isRefuted ? Math.max(group.refutedAtMs, pollSentAtMs) : group.refutedAtMs,
    leavingUntilMs: isLeaving ? Math.max(group.leavingUntilMs, pollSentAtMs + leavingHoldMs) : group.leavingUntilMs,
    lastAnswerAtMs: Math.max(group.lastAnswerAtMs, pollSentAtMs)
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
