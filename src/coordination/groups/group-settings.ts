/** Timings and limits for forming groups and for evidence that they are complete. */
export interface GroupSettings {
  /** Time between two probes of one member. */
  readonly probeIntervalMs: number
  readonly probeTimeoutMs: number
  /** Maximum age of the members' reports for a group to count as complete. Routers apply the same limit. */
  readonly evidenceMaxAgeMs: number
  /** Time between two reads of an owned domain's record, with a jitter of up to ±25 %. */
  readonly recordRefreshMs: number
  /** Time between two plans of a domain, and between two checks for records to read. */
  readonly planIntervalMs: number
  /** Time for which a read of the record allows commands, counted from the send time of the read. */
  readonly commandLifetimeMs: number
  /** Assumed maximum drift between two nodes' clocks over `commandLifetimeMs`; added to it as a margin. */
  readonly maxClockDriftMs: number
  readonly commandTimeoutMs: number
  /** Time after which a command that had no effect is sent again. */
  readonly commandRetryMs: number
  /** Time for which a domain must exceed its quota before its surplus groups are retired. */
  readonly surplusGraceMs: number
  /** Maximum time for a retiring group, or one with a leaving member, to finish its streams. */
  readonly drainTimeoutMs: number
  /** Maximum number of groups of one domain that load weights at the same time. */
  readonly maxLoadingGroupCount: number
  /**
   * Time after a report that a group is leaving during which routers send it no new requests. After this time,
   * its engines may be reassigned once they have no streams. Must exceed `evidenceMaxAgeMs` plus the lag of load
   * reports.
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
