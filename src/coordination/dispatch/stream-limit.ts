/** What is expected of a call. */
export interface ExpectedTimes {
  /** From the start in the last free slot of a replica to the first event. */
  readonly firstEventMs: number
  /** Time for which a stream of the model holds its slot. */
  readonly slotTimeMs: number
  /** Time for which the call itself is expected to hold its slot. */
  readonly ownSlotTimeMs: number
  /** Streams that a replica in the zone may have, with this one, while it begins within its objective. `paceFactor`: how many times slower than its model the replica is. */
  getStreamLimit (paceFactor: number, zone: string | undefined): number
}

export interface StreamLimitInput {
  readonly slotCount: number
  /** What is left of the call's latency objective. */
  readonly objectiveLeftMs: number
  /** Time for which a stream of the model holds its slot. */
  readonly slotTimeMs: number
  /** Streams that a replica may have beyond those that are known, see `estimateUnknownStreamCount`. */
  readonly unknownStreamCount: number
  /** Expected time to the first event, without a wait for a slot, beside so many streams. */
  getFirstEventMs (otherCount: number): number
}

/**
 * Streams that may queue in a replica's engine beyond its slots, as a fraction of the slots. Engines refuse above two per slot; a
 * quarter was bearable on the deployments before objectives were looked at.
 */
export const maxQueuedFraction = 0.25
/** An objective that is met only while fewer than this fraction of the slots is in use counts as one that can't be met. */
const minStreamFraction = 0.5
/**
 * Time in which the gateways together fill up the room of a replica, above the mean age of reports: a faster reaction to what is
 * already out of date fills the replica that looks empty far beyond its slots.
 */
const fillTimeMs = 500
/** With one gateway counts are exact, and room may be filled at once. */
const minFillTimeMs = 20
/** Mean age of what is known of the other gateways' streams: reports are 100 to 600 ms old. */
const reportAgeMs = 350
/** Standard deviations that about 0.8 of normally distributed values stay below. */
const deviationFactor = 0.84

/**
 * Number of streams that a replica in full use may have beyond the known ones: streams start and end at the other gateways since
 * their last reports, both as Poisson processes. About 0.8 of the replicas have fewer.
 */
export function estimateUnknownStreamCount (slotCount: number, slotTimeMs: number, gatewayCount: number): number {
  if (slotTimeMs <= 0) return 0
  const changeCount = 2 * slotCount * reportAgeMs / slotTimeMs * (1 - 1 / Math.max(1, gatewayCount))
  return deviationFactor * Math.sqrt(changeCount)
}

/** Expected wait of the stream at this place of a replica's queue; 1 is the next to get a slot. */
export function getQueueWaitMs (place: number, slotCount: number, slotTimeMs: number): number {
  return Math.max(0, place) * slotTimeMs / slotCount
}

/**
 * Number of streams that a replica may have, with the new one, while the new one is expected to begin within its objective: other
 * streams make every pass longer, and one beyond the slots waits for a slot. Where the objective can't be met it is the number of
 * slots, since late responses are worth something; only queueing is given up.
 */
export function computeStreamLimit ({ slotCount, objectiveLeftMs, slotTimeMs, unknownStreamCount, getFirstEventMs }: StreamLimitInput, paceFactor = 1): number {
  const maxCount = Math.ceil(slotCount * (1 + maxQueuedFraction))
  const minCount = Math.max(1, Math.ceil(slotCount * minStreamFraction))
  for (let count = maxCount; count >= minCount; count -= 1) {
    const waitMs = getQueueWaitMs(count + unknownStreamCount - slotCount, slotCount, slotTimeMs)
    const firstEventMs = getFirstEventMs(Math.min(count, slotCount) - 1)
    if ((waitMs + firstEventMs) * paceFactor <= objectiveLeftMs) return count
  }
  return slotCount
}

/**
 * Room of a replica: the number of slots that new streams would take up if they kept coming at the rate at which the replica
 * should get them, which is that of its streams' ends plus what fills it up to its limit. 0 when it should get none.
 */
export function getRoomSlotCount (streamCount: number, streamLimit: number, slotCount: number, slotTimeMs: number, gatewayCount: number): number {
  const timeMs = Math.max(minFillTimeMs, fillTimeMs * (1 - 1 / Math.max(1, gatewayCount)))
  if (gatewayCount <= 1 && streamCount >= streamLimit) return 0
  return Math.max(0, Math.min(streamCount, slotCount) + (streamLimit - streamCount) * slotTimeMs / timeMs)
}
