import type { TimerService } from '../../shared/timer-service.js'

export interface ServiceRetryBudgetSettings {
  /** Second attempts that each request earns. */
  readonly ratio: number
  /** Second attempts in a window on top of that, of all gateways together. */
  readonly slackCount: number
  readonly windowMs: number
}

/** This gateway's part of the second attempts that a service may get. */
export interface ServiceRetryBudget {
  recordRequest (): void
  /** Whether a second attempt is left. */
  canSpend (): boolean
  /** Takes one second attempt; false when none is left. */
  trySpend (): boolean
}

/** Keeps a margin to the bound, since requests and attempts are counted at servers and at slightly other times. */
const usedPart = 0.8
/** Requests are remembered by parts of the window. */
const bucketsPerWindow = 20

interface RequestBucket {
  readonly startMs: number
  count: number
}

/**
 * Creates a share. What a window's requests earn may be saved for one window, and so may half of an equal part of
 * the slack, whose other half returns within a window. Each request earns half of the ratio: attempts in a window
 * come from what that window and the one before have earned, and stay below the ratio of the larger of both.
 */
export function createServiceRetryBudget (timers: TimerService, getSettings: () => ServiceRetryBudgetSettings, getGatewayCount: () => number): ServiceRetryBudget {
  let savedCount = Infinity
  let filledAtMs = timers.nowMs()
  let buckets: RequestBucket[] = []

  function getEarned (requestCount: number): number {
    return requestCount * getSettings().ratio * usedPart / 2
  }

  function getHalfSlack (): number {
    return getSettings().slackCount * usedPart / 2 / Math.max(1, getGatewayCount())
  }

  function countRecentRequests (): number {
    buckets = buckets.filter(bucket => timers.nowMs() - bucket.startMs < getSettings().windowMs)
    return buckets.reduce((sum, bucket) => sum + bucket.count, 0)
  }

  function fill (): void {
    const elapsedMs = timers.nowMs() - filledAtMs
    filledAtMs = timers.nowMs()
    const halfSlackCount = getHalfSlack()
    const limit = halfSlackCount + getEarned(countRecentRequests())
    savedCount = Math.min(limit, savedCount + halfSlackCount * elapsedMs / getSettings().windowMs)
  }

  return {
    recordRequest () {
      fill()
      const last = buckets.at(-1)
      const bucketMs = getSettings().windowMs / bucketsPerWindow
      if (last !== undefined && timers.nowMs() - last.startMs < bucketMs) last.count += 1
      else buckets.push({ startMs: timers.nowMs(), count: 1 })
      savedCount += getEarned(1)
    },
    canSpend () {
      fill()
      return savedCount >= 1
    },
    trySpend () {
      fill()
      if (savedCount < 1) return false
      savedCount -= 1
      return true
    }
  }
}
