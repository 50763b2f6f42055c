import type { RandomSource } from '../../shared/random-source.js'
import { OrderOutcomeKind, type EarlierAttempts, type NotRunOutcome, type RunningOutcome } from './order-outcome.js'
import type { OrderSettings } from './order-settings.js'

/** Creates outcomes with a retry time, with jitter so that clients do not all retry at once. */
export interface RetryOutcomeFactory {
  /** Returns a retry time in milliseconds: at least `minMs`, plus jitter. */
  pickRetryAfterMs (minMs?: number): number
  notRun (reason: string, earlierAttempts: EarlierAttempts): NotRunOutcome
  /** `overdueInMs`, the time until the claim is overdue, shortens the minimum retry time. */
  running (overdueInMs?: number): RunningOutcome
}

/** Creates the retry outcomes of one node. */
export function createRetryOutcomeFactory (random: RandomSource, settings: OrderSettings): RetryOutcomeFactory {
  function pickRetryAfterMs (minMs: number = settings.minRetryAfterMs): number {
    return Math.round(minMs + random.nextFloat() * settings.retryAfterSpreadMs)
  }
  return {
    pickRetryAfterMs,
    notRun: (reason, earlierAttempts) => ({ kind: OrderOutcomeKind.NotRun, reason, retryAfterMs: pickRetryAfterMs(), earlierAttempts }),
    running: (overdueInMs = settings.minRetryAfterMs) => ({
      kind: OrderOutcomeKind.Running,
      retryAfterMs: pickRetryAfterMs(Math.min(overdueInMs, settings.minRetryAfterMs))
    })
  }
}
