/** What is known of a stream in progress that has no attempt left. */
export interface StreamWaitInput {
  /** When its last attempt failed or was refused. */
  readonly lostAtMs: number
  /** Since when its client has waited for an event: since the last one, or since it read again. */
  readonly clientWaitsSinceMs: number
  /** The route's limit on the time to the first event. */
  readonly objectiveMs: number
  /** The route's limit on a pause between events. */
  readonly pauseObjectiveMs: number
}

/** Longest wait for a replica. One that lost a member is open again after about 1.6 s. */
const maxWaitMs = 1600
/** Clients abandon a stream after the longest of two seconds, four latency objectives and eight pause objectives (protocol). */
const minClientPatienceMs = 2000
const clientPatienceObjectiveFactor = 4
const clientPatiencePauseFactor = 8
/** Left for the first event of an attempt that starts at the end of the wait; reading a prompt takes about this long. */
const resumeTimeMs = 200

/** Time until which a stream in progress looks for a replica: for a while after its failure, and not longer than its client waits. */
export function getWaitEndMs ({ lostAtMs, clientWaitsSinceMs, objectiveMs, pauseObjectiveMs }: StreamWaitInput): number {
  const patienceMs = Math.max(minClientPatienceMs, objectiveMs * clientPatienceObjectiveFactor, pauseObjectiveMs * clientPatiencePauseFactor)
  return Math.min(lostAtMs + maxWaitMs, clientWaitsSinceMs + patienceMs - resumeTimeMs)
}
