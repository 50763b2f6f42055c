import type { RandomSource } from '../../shared/random-source.js'

/**
 * Least time after which a refused client should retry. With the jitter it returns after 1.5 s on average: a replica that
 * lost a member is open again after about 1.6 s, and most clients retry only once.
 */
export const minRetryAfterMs = 1000
/** Jitter that spreads clients that were refused at the same time. */
export const retryAfterSpreadMs = 1000

/**
 * Returns the time in ms after which a client should retry when no replica took its request. `unavailableMs` is the time
 * for which it is known that none will.
 */
export function chooseRetryAfterMs (random: RandomSource, unavailableMs = 0): number {
  return Math.round(Math.max(minRetryAfterMs, unavailableMs) + retryAfterSpreadMs * random.nextFloat())
}
