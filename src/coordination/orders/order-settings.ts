/** Limits and times of the order ledger. */
export interface OrderSettings {
  /** Time from the start of a claim within which the order may be sent. */
  readonly sendWindowMs: number
  /** Time that a service has to answer an order; a caller with less time is told that the order is running. */
  readonly callTimeoutMs: number
  /** Time beyond the send window and the call within which the outcome is normally stored. */
  readonly outcomeSlackMs: number
  /** Number of backend servers that are tried while each proves that nothing was sent. */
  readonly maxSendAttemptCount: number
  /** Largest body of an answer that is stored. */
  readonly maxStoredAnswerBytes: number
  /** Least time that a record is kept. A retry after that counts as a new order. */
  readonly retentionMs: number
  /** Time for which one lease is shared by new records. */
  readonly leaseBucketMs: number
  readonly minRetryAfterMs: number
  /** Random time added to the least retry time, so that callers do not return at once. */
  readonly retryAfterSpreadMs: number
  readonly minBackoffMs: number
  readonly maxBackoffMs: number
  /** Time for which the write of an outcome is retried. */
  readonly outcomeRetryForMs: number
  /** Time that a shutdown waits for delayed writes once no order is in flight. */
  readonly drainWritesForMs: number
  /** Time that the service's status check has to answer. */
  readonly statusTimeoutMs: number
  /** Number of overdue claims of other nodes that are watched at once. */
  readonly maxWatchedClaimCount: number
}

export const defaultOrderSettings: OrderSettings = {
  sendWindowMs: 5_000,
  callTimeoutMs: 30_000,
  outcomeSlackMs: 5_000,
  maxSendAttemptCount: 2,
  maxStoredAnswerBytes: 64 * 1024,
  retentionMs: 3 * 24 * 3_600_000,
  leaseBucketMs: 3_600_000,
  minRetryAfterMs: 1_000,
  retryAfterSpreadMs: 4_000,
  minBackoffMs: 100,
  maxBackoffMs: 5_000,
  outcomeRetryForMs: 15 * 60_000,
  drainWritesForMs: 30_000,
  statusTimeoutMs: 5_000,
  maxWatchedClaimCount: 10_000
}

/** Returns the time after which a claim without an outcome counts as unknown. */
export function getOutcomeDueInMs (settings: OrderSettings): number {
  return settings.sendWindowMs + settings.callTimeoutMs + settings.outcomeSlackMs
}
