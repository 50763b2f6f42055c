/** What is expected of a call in a replica whose slots are in use. */
export interface ExpectedTimes {
  /** From the start in a free slot to the first event. */
  readonly firstEventMs: number
  /** Time for which a stream of the model holds its slot. */
  readonly slotTimeMs: number
  /** What is left of the call's latency objective. */
  readonly objectiveLeftMs: number
}

/**
 * Streams that may queue in a replica's engine beyond its slots, as a fraction of the slots. Counts are up to 0.6 s old, and a
 * queue of this length was bearable on the deployments before objectives were looked at.
 */
export const maxQueuedFraction = 0.25

/** Expected wait of the stream at this place of a replica's queue; 1 is the next to get a slot. */
export function getQueueWaitMs (place: number, slotCount: number, slotTimeMs: number): number {
  return place * slotTimeMs / slotCount
}

/**
 * Number of streams that may queue in a replica when the last of them is to begin within its objective. Without expected
 * times, and at most, a fraction of the slots. `paceFactor`: how many times slower than its model the replica is.
 */
export function computeQueueLimit (slotCount: number, expected: ExpectedTimes | undefined, paceFactor = 1): number {
  const maxCount = slotCount * maxQueuedFraction
  if (expected === undefined || expected.slotTimeMs <= 0) return maxCount
  const waitMs = expected.objectiveLeftMs - expected.firstEventMs * paceFactor
  const placeMs = getQueueWaitMs(1, slotCount, expected.slotTimeMs * paceFactor)
  return Math.min(maxCount, Math.max(0, Math.floor(waitMs / placeMs)))
}
