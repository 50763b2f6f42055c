import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { createDecayingCounter } from '../../shared/decaying-counter.js'

export interface RetryAfterSettings {
  readonly minRetryAfterMs: number
  readonly maxRetryAfterMs: number
  /** Time over which refusals count as callers that will come back. */
  readonly refusalWindowMs: number
}

export const defaultRetryAfterSettings: RetryAfterSettings = {
  minRetryAfterMs: 200,
  maxRetryAfterMs: 30_000,
  refusalWindowMs: 5000
}

/** Tells refused callers when to come back, spread over the time that the backlog takes to clear. */
export interface RetryAfter {
  /** Notes a refusal and returns a time above zero. `queueWaitMs` is what the queue needs to clear; `meanSlotMs` the mean time between two starts. */
  refuse (queueWaitMs: number, meanSlotMs: number): number
}

/** Creates a source of retry times with no refusals yet. */
export function createRetryAfter (timers: TimerService, random: RandomSource, settings: RetryAfterSettings): RetryAfter {
  const refusals = createDecayingCounter(timers, settings.refusalWindowMs)
  return {
    refuse (queueWaitMs, meanSlotMs) {
      refusals.increment()
      const backlogMs = queueWaitMs + refusals.getCount() * meanSlotMs
      const longestSpreadMs = settings.maxRetryAfterMs - settings.minRetryAfterMs
      const spreadMs = Math.min(longestSpreadMs, Math.max(settings.minRetryAfterMs, backlogMs))
      return Math.ceil(settings.minRetryAfterMs + spreadMs * random.nextFloat())
    }
  }
}
