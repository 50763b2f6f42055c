/** A complete group, as described by the last response of its owner. */
export interface RoutableGroup {
  readonly groupId: string
  readonly epoch: number
  readonly deployment: string
  /** `host:port` of the member that takes requests. */
  readonly leaderAddress: string
  readonly availabilityZone: string
  /** Streams that the group serves concurrently. */
  readonly slotCount: number
  /** Age that the oldest member report used had at `observedAtMs`. */
  readonly evidenceAgeMs: number
  /** Monotonic send time of the poll that returned the evidence. */
  readonly observedAtMs: number
  /** Active streams, as last reported by the leader; lags behind its engine. */
  readonly activeStreamCount: number
  /** Queued streams, as last reported by the leader. */
  readonly queuedStreamCount: number
  /** Time between tokens of the slowest member. */
  readonly tokenIntervalMs: number
  /** Streams that this node may have in flight on the group, by partner. */
  readonly creditsByPartner: ReadonlyMap<string, number>
  /** Monotonic time from which on the credits allow no new stream. */
  readonly creditsExpireAtMs: number
}

/** A group that may serve a request, with the values that the router computed for it. */
export interface RoutingCandidate {
  readonly group: RoutableGroup
  readonly isLocal: boolean
  /**
   * Rank of the group for the request's prompt prefix; the group with rank 0 is the most likely to have it
   * cached. Undefined without a prefix.
   */
  readonly prefixRank?: number
  /** Streams on the group by the last report, corrected by those that this node has started and finished since that report. */
  readonly estimatedStreamCount: number
  /** Streams that this node may still start on the group for the partner. */
  readonly freeCreditCount: number
  /** Fraction of the node's credits for the partner that is in use, from 0 to 1. */
  readonly creditUse: number
}
