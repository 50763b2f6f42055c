/** Timings and limits for forming groups and for evidence that they are complete. */
export interface GroupSettings {
  /** Time between two probes of one member. */
  readonly probeIntervalMs: number
  readonly probeTimeoutMs: number
  /** Maximum age of the member probes on which a request may be routed to a group. */
  readonly evidenceMaxAgeMs: number
  /** Time between two reads of an owned domain's record, with a jitter of up to ±25 %. */
  readonly recordRefreshMs: number
  readonly planIntervalMs: number
  /** Time for which a read of the record allows commands, counted from the send time of the read. */
  readonly commandLifetimeMs: number
  /** Maximum drift between the clocks of two nodes over `commandLifetimeMs`. */
  readonly maxClockDriftMs: number
  readonly commandTimeoutMs: number
  /** Time after which a command that had no effect is sent again. */
  readonly commandRetryMs: number
  /** Time for which a domain must exceed its quota before a group is retired. */
  readonly surplusGraceMs: number
  /** Maximum time for a retiring group, or one with a leaving member, to finish its streams. */
  readonly drainTimeoutMs: number
  /** Maximum number of groups of one domain that load weights at the same time. */
  readonly maxLoadingGroupCount: number
  /**
   * Time for which a router sends no new requests to a group that an owner reported as leaving, and
   * after which engines without streams may be reassigned. Longer than the maximum age of evidence plus
   * the lag of load reports.
   */
  readonly leavingHoldMs: number
}

export const defaultGroupSettings: GroupSettings = {
  probeIntervalMs: 500,
  probeTimeoutMs: 1000,
  evidenceMaxAgeMs: 2500,
  recordRefreshMs: 5000,
  planIntervalMs: 500,
  commandLifetimeMs: 2000,
  maxClockDriftMs: 100,
  commandTimeoutMs: 1000,
  commandRetryMs: 2000,
  surplusGraceMs: 120_000,
  drainTimeoutMs: 60_000,
  maxLoadingGroupCount: 2,
  leavingHoldMs: 5000
}
