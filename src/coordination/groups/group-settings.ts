/** Times and bounds of forming groups and proving them complete. */
export interface GroupSettings {
  /** Time between two probes of one member. */
  readonly probeIntervalMs: number
  readonly probeTimeoutMs: number
  /** Greatest age of the member probes that a hand-over may rest on. */
  readonly evidenceMaxAgeMs: number
  /** Time between two reads of an owned domain's record; each is spread by up to a quarter. */
  readonly recordRefreshMs: number
  readonly planIntervalMs: number
  /** An order may be sent this long after the read that confirmed the record was sent. */
  readonly commandLifetimeMs: number
  /** Greatest difference of two nodes' clocks over `orderLifeMs`. */
  readonly clockDriftMs: number
  readonly commandTimeoutMs: number
  /** Time before an order without effect is repeated. */
  readonly commandRetryMs: number
  /** Time that a domain must be over its quota before a group is retired. */
  readonly surplusGraceMs: number
  /** Time that a group with a leaving member may take to end its streams. */
  readonly drainTimeoutMs: number
  /** Groups of one domain that may load weights at the same time. */
  readonly maxLoadingGroupCount: number
  /**
   * Time that a router keeps new work from a group after an owner said that it is leaving, and
   * after which engines without streams are free. Longer than evidence lives and load reports lag together.
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
  clockDriftMs: 100,
  commandTimeoutMs: 1000,
  commandRetryMs: 2000,
  surplusGraceMs: 120_000,
  drainTimeoutMs: 60_000,
  maxLoadingGroupCount: 2,
  leavingHoldMs: 5000
}
