import type { RandomSource } from '../../shared/random-source.js'

/** A group that lost a member is open again after about 1.6 s, and most callers come back only once. */
export const minRetryAfterMs = 1000
/** Spreads the callers that were refused together. */
export const retryAfterSpreadMs = 1000

/** Returns when a caller that found no place on a group is to come back. */
export function chooseRetryAfterMs (random: RandomSource): number {
  return Math.round(minRetryAfterMs + retryAfterSpreadMs * random.nextFloat())
}
