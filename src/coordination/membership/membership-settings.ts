/** Timing and limits of the membership protocol. */
export interface MembershipSettings {
  /** Protocol period: the node probes one other node per period. */
  readonly periodMs: number
  /** Interval at which the protocol checks for due work. */
  readonly tickMs: number
  /** Minimum interval between messages that only carry queued updates. */
  readonly gossipIntervalMs: number
  /** Time to wait for a direct ack before requesting indirect probes. */
  readonly ackTimeoutMs: number
  /** Number of nodes asked to probe an unresponsive node. */
  readonly indirectProbeCount: number
  /** Suspicion timeout in periods; scaled by `scaleWithNodes`. */
  readonly suspicionPeriodCount: number
  /** Number of times that an update is sent; scaled by `scaleWithNodes`. */
  readonly retransmitCount: number
  /** Maximum size of the updates in one message; keeps a datagram small enough not to be fragmented. */
  readonly maxUpdateBytes: number
  /** Longest gap between two ticks that does not count as a pause of the process. */
  readonly maxTickGapMs: number
  /** Every this many periods the node also probes one dead node and one unknown seed. */
  readonly reconnectPeriodCount: number
  /** Interval at which a node without live peers reads the directory. */
  readonly isolationCheckMs: number
  /** Timeout for a page of a peer's table. */
  readonly pageTimeoutMs: number
  /** Minimum time between two table transfers caused by a differing digest; a difference that lasts for half of it causes one. */
  readonly syncIntervalMs: number
  /**
   * Time for which a dead node stays known. Must exceed the longest network partition, or each side forgets
   * the other and considers itself the whole fleet.
   */
  readonly deadRetentionMs: number
  /** Time for which a node that left is remembered, so that outdated updates do not revive it. */
  readonly leftRetentionMs: number
  /** Number of peers that a leaving node notifies directly. */
  readonly leaveFanOutCount: number
}

export const defaultMembershipSettings: MembershipSettings = {
  periodMs: 1_000,
  tickMs: 100,
  gossipIntervalMs: 300,
  ackTimeoutMs: 400,
  indirectProbeCount: 3,
  suspicionPeriodCount: 3,
  retransmitCount: 4,
  maxUpdateBytes: 900,
  maxTickGapMs: 2_000,
  reconnectPeriodCount: 5,
  isolationCheckMs: 15_000,
  pageTimeoutMs: 500,
  syncIntervalMs: 60_000,
  deadRetentionMs: 24 * 3_600_000,
  leftRetentionMs: 3_600_000,
  leaveFanOutCount: 5
}

/** Multiplies a count by the decimal logarithm of the number of nodes (at least 1), because the time to reach all nodes grows that way. */
export function scaleWithNodes (count: number, nodeCount: number): number {
  return count * Math.max(1, Math.log10(nodeCount + 1))
}
