/** Limits and timing of the order executor. */
export interface OrderSettings {
  /** Time from the claim within which the order may be sent. */
  readonly sendWindowMs: number
  /** Timeout of the call to the service; a client with an earlier deadline gets the outcome `Running`. */
  readonly callTimeoutMs: number
  /** Time after the send window and the call within which the outcome is normally stored. */
  readonly outcomeSlackMs: number
  /** Maximum number of backend servers that are tried; only a failure that proves nothing was sent allows another try. */
  readonly maxSendAttemptCount: number
  /** Size limit of a stored response body. */
  readonly maxStoredAnswerBytes: number
  /** Minimum time that a record is kept. A retry after that counts as a new order. */
  readonly retentionMs: number
  /** Time for which new records share one lease. */
  readonly leaseBucketMs: number
  /** Minimum retry time that a client is given. */
  readonly minRetryAfterMs: number
  /** Maximum jitter added to the minimum retry time, so that clients do not retry all at once. */
  readonly retryAfterSpreadMs: number
  /** First pause before the write of an outcome is retried; doubled after each attempt. */
  readonly minBackoffMs: number
  /** Longest pause before a retry; also the pause before an overdue claim is checked again after a store error. */
  readonly maxBackoffMs: number
  /** Time for which the write of an outcome is retried. */
  readonly outcomeRetryForMs: number
  /** Time that a shutdown waits for delayed writes after the last order in flight. */
  readonly drainWritesForMs: number
  /** Timeout of the service's status check. */
  readonly statusTimeoutMs: number
  /** Maximum number of claims that are tracked until they are overdue; beyond it the oldest is dropped. */
  readonly maxTrackedClaimCount: number
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
  maxTrackedClaimCount: 10_000
}

/** Returns the time from a claim after which its outcome, if still missing, counts as unknown. */
export function getOutcomeDueInMs (settings: OrderSettings): number {
  return settings.sendWindowMs + settings.callTimeoutMs + settings.outcomeSlackMs
}
