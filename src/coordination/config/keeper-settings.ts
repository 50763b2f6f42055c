/** Times and sizes of the spread of the configuration. */
export interface ConfigKeeperSettings {
  /** Time after its last confirmation for which a node may act on its version. */
  readonly configLeaseMs: number
  /** Allowance for clocks that run at different rates, added to the lease before a change counts as in force. */
  readonly leaseMarginMs: number
  /** Interval at which a node asks its parent in the spread tree. */
  readonly pollIntervalMs: number
  /** Longest wait of one watch on the store. */
  readonly watchTimeoutMs: number
  /** Pause after a failed call to the store. */
  readonly storeRetryMs: number
  /** Children of one node in the spread tree of its availability zone. */
  readonly fanout: number
  /** Nodes of each availability zone that watch the store. */
  readonly watchersPerZone: number
  /** Time for which a witness may be missing before it is replaced. */
  readonly witnessGraceMs: number
  /** Time after which the outcome of a change is reported, whatever is known. */
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
