import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { createDecayingCounter } from '../../shared/decaying-counter.js'

export interface RetryAfterSettings {
  readonly minRetryAfterMs: number
  readonly maxRetryAfterMs: number
  /** Decay time of refusals: a refused client counts as expected back for about this time. */
  readonly refusalWindowMs: number
}

export const defaultRetryAfterSettings: RetryAfterSettings = {
  minRetryAfterMs: 200,
  maxRetryAfterMs: 30_000,
  refusalWindowMs: 5000
}

/** Computes when refused clients should retry, spread over the time that the backlog takes to clear. */
export interface RetryAfterEstimator {
  /**
   * Records a refusal. Returns the time after which the client should retry, in milliseconds, above zero.
   * `queueWaitMs` is the time that the queue needs to clear; `meanStartIntervalMs` the mean time between
   * two starts of requests.
   */
  recordRefusal (queueWaitMs: number, meanStartIntervalMs: number): number
}

/** Creates an estimator without refusals. */
export function createRetryAfterEstimator (timers: TimerService, random: RandomSource, settings: RetryAfterSettings): RetryAfterEstimator {
  const refusals = createDecayingCounter(timers, settings.refusalWindowMs)
  return {
    recordRefusal (queueWaitMs, meanStartIntervalMs) {
      refusals.increment()
      const backlogMs = queueWaitMs + refusals.getCount() * meanStartIntervalMs
      const maxSpreadMs = settings.maxRetryAfterMs - settings.minRetryAfterMs
      // At least `minRetryAfterMs`, so that retries are spread also without a backlog.
      const spreadMs = Math.min(maxSpreadMs, Math.max(settings.minRetryAfterMs, backlogMs))
      return Math.ceil(settings.minRetryAfterMs + spreadMs * random.nextFloat())
    }
  }
}
