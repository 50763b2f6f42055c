import type { RandomSource } from '../../shared/random-source.js'

/**
 * Least time after which a refused client should retry. With the jitter it returns after 1.5 s on average: a replica that
 * lost a member is open again after about 1.6 s, and most clients retry only once.
 */
export const minRetryAfterMs = 1000
/** Jitter that spreads clients that were refused at the same time. */
export const retryAfterSpreadMs = 1000

/**
 * Least time after which a client should retry when all replicas are in service and full: reports of the streams that took the
 * room are up to 0.6 s old.
 */
export const minRoomRetryAfterMs = 600
/** The jitter of such clients, as a fraction of their time: they were refused in a burst, and a second one would follow. */
const roomSpreadFraction = 0.6

/**
 * Returns the time in ms after which a client should retry when no replica took its request. `unavailableMs` is the time
 * for which it is known that none will; `roomAfterMs` the time after which room is expected, when no replica is missing.
 */
export function chooseRetryAfterMs (random: RandomSource, unavailableMs = 0, roomAfterMs?: number): number {
  if (roomAfterMs === undefined) return Math.round(Math.max(minRetryAfterMs, unavailableMs) + retryAfterSpreadMs * random.nextFloat())
  const waitMs = Math.max(unavailableMs, Math.min(minRetryAfterMs, Math.max(minRoomRetryAfterMs, roomAfterMs)))
  return Math.round(waitMs * (1 + roomSpreadFraction * random.nextFloat()))
}
