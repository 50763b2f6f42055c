import type { RandomSource } from '../../shared/random-source.js'
import { OrderOutcomeKind, type EarlierAttempts, type NotRunOutcome, type RunningOutcome } from './order-outcome.js'
import type { OrderSettings } from './order-settings.js'

/** Builds outcomes that ask the caller to come back, at times that spread the callers. */
export interface OrderReplies {
  spreadRetry (minMs?: number): number
  notRun (reason: string, earlierAttempts: EarlierAttempts): NotRunOutcome
  /** `overdueInMs` shortens the wait for a claim that becomes overdue soon. */
  running (overdueInMs?: number): RunningOutcome
}

/** Creates the replies of one node. */
export function createOrderReplies (random: RandomSource, settings: OrderSettings): OrderReplies {
  function spreadRetry (minMs: number = settings.minRetryAfterMs): number {
    return Math.round(minMs + random.nextFloat() * settings.retryAfterSpreadMs)
  }
  return {
    spreadRetry,
    notRun: (reason, earlierAttempts) => ({ kind: OrderOutcomeKind.NotRun, reason, retryAfterMs: spreadRetry(), earlierAttempts }),
    running: (overdueInMs = settings.minRetryAfterMs) => ({
      kind: OrderOutcomeKind.Running,
      retryAfterMs: spreadRetry(Math.min(overdueInMs, settings.minRetryAfterMs))
    })
  }
}
