/** Times and limits of the membership protocol. */
export interface MembershipSettings {
  /** Time between two probes of a node. */
  readonly periodMs: number
  /** Time between two looks at what is due. */
  readonly tickMs: number
  /** Time between two messages that only pass changes on, while there are any. */
  readonly gossipIntervalMs: number
  /** Time to wait for a direct answer before other nodes are asked to probe. */
  readonly ackTimeoutMs: number
  /** Number of nodes that are asked to probe a silent node. */
  readonly indirectProbeCount: number
  /** Periods that a silent node has to refute, for each power of ten in the number of nodes. */
  readonly suspicionPeriodCount: number
  /** Times that a change is passed on, for each power of ten in the number of nodes. */
  readonly retransmitCount: number
  /** Bytes of updates in one message. */
  readonly maxUpdateBytes: number
  /** Longest time between two ticks that does not count as a pause of the process. */
  readonly maxTickGapMs: number
  /** Number of periods between two probes of a dead node or of an unknown seed. */
  readonly reconnectPeriodCount: number
  /** Time between two looks of a node without live peers into the directory. */
  readonly aloneCheckMs: number
  /** Time to wait for a page of a peer's table. */
  readonly pageTimeoutMs: number
  /** Least time between two transfers of a whole table that a differing digest causes. */
  readonly syncIntervalMs: number
  /** Time that a dead node stays known. It must outlast cuts, or each side forgets the other and takes itself for all. */
  readonly deadRetentionMs: number
  /** Time for which a node that left is remembered, so that old news does not bring it back. */
  readonly leftRetentionMs: number
  /** Number of peers that are told directly when the node leaves. */
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
  aloneCheckMs: 15_000,
  pageTimeoutMs: 500,
  syncIntervalMs: 60_000,
  deadRetentionMs: 24 * 3_600_000,
  leftRetentionMs: 3_600_000,
  leaveFanOutCount: 5
}

/** Scales a count with the logarithm of the number of nodes, in which the time to reach them all grows. */
export function scaleWithNodes (count: number, nodeCount: number): number {
  return count * Math.max(1, Math.log10(nodeCount + 1))
}
