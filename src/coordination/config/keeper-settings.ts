/** Timing and limits of the distribution of the configuration. */
export interface ConfigKeeperSettings {
  /** Time after the last confirmation for which a node may use its version. */
  readonly configLeaseMs: number
  /** Allowance for clock drift, added to the lease before a change counts as in force. */
  readonly leaseMarginMs: number
  /** Interval at which a node polls its parent in the distribution tree. */
  readonly pollIntervalMs: number
  /** Timeout of one watch on the store. */
  readonly watchTimeoutMs: number
  /** Pause after a failed store call; first pause of the backoff with which a starting node reads the store. */
  readonly storeRetryMs: number
  /** Children per node in the distribution tree of an availability zone. */
  readonly fanout: number
  /** Number of nodes per availability zone that watch the store. */
  readonly watchersPerZone: number
  /** Time for which a witness may be unreachable before it is replaced. */
  readonly witnessGraceMs: number
  /** Time limit for storing and settling a change; its outcome is reported as far as known by then. */
  readonly changeDeadlineMs: number
}

export const defaultConfigKeeperSettings: ConfigKeeperSettings = {
  configLeaseMs: 3_000,
  leaseMarginMs: 500,
  pollIntervalMs: 500,
  watchTimeoutMs: 500,
  storeRetryMs: 500,
  fanout: 8,
  watchersPerZone: 2,
  witnessGraceMs: 5_000,
  changeDeadlineMs: 10_000
}
