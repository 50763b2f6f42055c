/** What is known of an attempt of a stream that waits for its next event. */
export interface SilenceInput {
  /** Time since the last event, or since the start of the attempt. */
  readonly waitedMs: number
  readonly hasEvents: boolean
  /** The route's limit on the time to the first event. */
  readonly objectiveMs: number
  /** The route's limit on a pause between events. */
  readonly pauseObjectiveMs: number
  /** Whether the replica delivered an event to any stream within this time. */
  hasRecentEvent (withinMs: number): boolean
  /** Whether the replica's other streams get no events either. */
  isQuiet (): boolean
}

export interface SilenceVerdict {
  /** No event for too long, neither here nor on other streams of the replica. */
  readonly isStalled: boolean
  /** The stream should be tried at another replica, if one has room. */
  readonly needsReplacement: boolean
  /** The client is about to give up: a replica that is not healthy may also replace this one. */
  readonly isUrgent: boolean
}

/** Limit on the wait for the first event, in latency objectives: the engine must read the prompt and have a free slot. */
const firstEventObjectiveFactor = 2
/** Limit on a pause between events, in pause objectives; a working replica stays below it. */
const pauseObjectiveFactor = 2
/** A stream without a first event is also tried elsewhere after this time if its replica is quiet, early enough to still meet its objective. */
const quietStartWaitMs = 120
/**
 * Clients abandon streams without events after two seconds. After this time a stream is also tried at a replica that is
 * not healthy, and when its own one still delivers events to other streams.
 */
const urgentWaitMs = 1600

/**
 * Judges the silence of an attempt. A replica that delivers events to other streams is only busy, and another one would have
 * to read the prompt again.
 */
export function judgeSilence ({ waitedMs, hasEvents, objectiveMs, pauseObjectiveMs, hasRecentEvent, isQuiet }: SilenceInput): SilenceVerdict {
  const limitMs = hasEvents ? pauseObjectiveMs * pauseObjectiveFactor : objectiveMs * firstEventObjectiveFactor
  const isUrgent = waitedMs >= urgentWaitMs
  const isStalled = waitedMs >= limitMs && (isUrgent || !hasRecentEvent(limitMs))
  const isQuietAtStart = !hasEvents && waitedMs >= quietStartWaitMs && isQuiet()
  return { isStalled, needsReplacement: isStalled || isQuietAtStart, isUrgent }
}
