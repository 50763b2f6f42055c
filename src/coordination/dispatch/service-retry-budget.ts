import type { TimerService } from '../../shared/timer-service.js'

/** Limit on the second attempts of all gateways together, in any window. */
export interface ServiceRetryBudgetSettings {
  /** Second attempts allowed per request. */
  readonly ratio: number
  /** Second attempts allowed in a window regardless of the number of requests. */
  readonly slackCount: number
  readonly windowMs: number
}

/** This gateway's share of the retry budget of one service. */
export interface ServiceRetryBudget {
  recordRequest (): void
  /** Whether the budget allows a second attempt now. */
  canSpend (): boolean
  /** Spends one second attempt; false when none is left. */
  trySpend (): boolean
  /** Second attempts that the budget allows now. */
  getAvailableCount (): number
}

/** Fraction of the limit that gateways use. Servers count requests and attempts at slightly other times, so a margin is needed. */
const usableFraction = 0.8
/** A shorter list of gateways counts after this time: longer than outages of the store, after which the list may be short. */
const gatewayRetentionMs = 600_000
/** Resolution of the request count. */
const bucketsPerWindow = 20

interface RequestBucket {
  readonly startMs: number
  count: number
}

/**
 * Creates the budget of one gateway. Each request earns half of the usable `ratio`, and earned attempts can be saved for
 * one window. The attempts of a window come from the requests of that window and the one before, so they stay below
 * `ratio` times the larger of both. Each gateway gets an equal part of the usable `slackCount`: half of it can be saved
 * up, the other half is refilled over one window. A process begins with nothing saved, since the one before it may have
 * spent its part. A gateway that is no longer listed may still run: the parts grow when it has been gone for long.
 */
export function createServiceRetryBudget (timers: TimerService, getSettings: () => ServiceRetryBudgetSettings, getGatewayCount: () => number, processStartedAtMs = timers.nowMs()): ServiceRetryBudget {
  let availableCount = 0
  let highestGatewayCount = 1
  let highestAtMs = timers.nowMs()
  let refilledAtMs = processStartedAtMs
  let buckets: RequestBucket[] = []

  function getEarnedCount (requestCount: number): number {
    return requestCount * getSettings().ratio * usableFraction / 2
  }

  /** The highest recent number of gateways. */
  function countSharers (): number {
    const count = getGatewayCount()
    if (count >= highestGatewayCount || timers.nowMs() - highestAtMs > gatewayRetentionMs) {
      highestGatewayCount = Math.max(1, count)
      highestAtMs = timers.nowMs()
    }
    return highestGatewayCount
  }

  function getHalfSlackCount (): number {
    return getSettings().slackCount * usableFraction / 2 / countSharers()
  }

  function countRecentRequests (): number {
    buckets = buckets.filter(bucket => timers.nowMs() - bucket.startMs < getSettings().windowMs)
    return buckets.reduce((sum, bucket) => sum + bucket.count, 0)
  }

  function refill (): void {
    const elapsedMs = timers.nowMs() - refilledAtMs
    refilledAtMs = timers.nowMs()
    const halfSlackCount = getHalfSlackCount()
    const limit = halfSlackCount + getEarnedCount(countRecentRequests())
    availableCount = Math.min(limit, availableCount + halfSlackCount * elapsedMs / getSettings().windowMs)
  }

  return {
    recordRequest () {
      refill()
      const last = buckets.at(-1)
      const bucketMs = getSettings().windowMs / bucketsPerWindow
      if (last !== undefined && timers.nowMs() - last.startMs < bucketMs) last.count += 1
      else buckets.push({ startMs: timers.nowMs(), count: 1 })
      availableCount += getEarnedCount(1)
    },
    canSpend () {
      refill()
      return availableCount >= 1
    },
    getAvailableCount () {
      refill()
      return availableCount
    },
    trySpend () {
      refill()
      if (availableCount < 1) return false
      availableCount -= 1
      return true
    }
  }
}
