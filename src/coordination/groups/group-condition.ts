import type { GroupAssignment } from '../../state/domain-record.js'
import { assessMembers, MemberStatus, type MemberCondition, type MemberContext } from './member-condition.js'

/** Measures how long conditions have held without interruption. */
export interface ConditionDurations {
  /** Records whether a condition holds now. Returns how long it has held, in milliseconds, or 0. */
  track (key: string, isHolding: boolean, nowMs: number): number
  /** Removes the conditions whose last `track` call had another `nowMs`. Call it after all `track` calls of a round. */
  prune (nowMs: number): void
}

/**
 * Creates a tracker without conditions. A condition that was not tracked for longer than `maxGapMs`
 * restarts from zero: it may not have held during a pause of the process, or between the loss of a
 * domain and its return to this node.
 */
export function createConditionDurations (maxGapMs: number): ConditionDurations {
  const spans = new Map<string, { sinceMs: number, trackedAtMs: number }>()
  return {
    track (key, isHolding, nowMs) {
      if (!isHolding) {
        spans.delete(key)
        return 0
      }
      const span = spans.get(key)
      const isContinued = span !== undefined && nowMs - span.trackedAtMs <= maxGapMs
      const sinceMs = isContinued ? span.sinceMs : nowMs
      spans.set(key, { sinceMs, trackedAtMs: nowMs })
      return nowMs - sinceMs
    },
    prune (nowMs) {
      for (const [key, span] of spans) {
        if (span.trackedAtMs !== nowMs) spans.delete(key)
      }
    }
  }
}

/**
 * A group of a record with the conditions of its members, and how long it has had lost members, had leaving
 * members or been retiring; 0 if it has not.
 */
export interface GroupCondition {
  readonly group: GroupAssignment
  readonly memberConditions: readonly MemberCondition[]
  readonly lostForMs: number
  readonly leavingForMs: number
  readonly retiringForMs: number
  /** True when no ready member has active or queued streams. Other members' reports are not about this group. */
  readonly isIdle: boolean
}

/** Assesses a group and tracks how long it has had lost members, had leaving members or been retiring. */
export function assessGroup (group: GroupAssignment, context: MemberContext, holdTimes: ConditionDurations): GroupCondition {
  const memberConditions = assessMembers(group, context)
  const key = `${group.groupId}@${group.epoch}`
  const hasLost = memberConditions.some(isLost)
  const hasLeaving = memberConditions.some(condition => condition.isLeaving)
  return {
    group,
    memberConditions,
    lostForMs: holdTimes.track(`${key}/lost`, hasLost, context.nowMs),
    leavingForMs: holdTimes.track(`${key}/leaving`, hasLeaving, context.nowMs),
    retiringForMs: holdTimes.track(`${key}/retiring`, group.isRetiring === true, context.nowMs),
    isIdle: memberConditions.every(isMemberIdle)
  }
}

/** True when the member has no fresh report and its probes fail. */
export function isLost (condition: MemberCondition): boolean {
  return condition.status === MemberStatus.Missing && condition.isFailing
}

function isMemberIdle (condition: MemberCondition): boolean {
  const state = condition.observation?.state
  if (state === undefined || condition.status !== MemberStatus.Ready) return true
  return state.activeStreamCount === 0 && state.queuedStreamCount === 0
}
