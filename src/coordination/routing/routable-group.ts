/** A complete group as a router knows it from the last answer of the group's owner. */
export interface RoutableGroup {
  readonly groupId: string
  readonly epoch: number
  readonly deployment: string
  /** `host:port` of the member that takes requests. */
  readonly leaderAddress: string
  readonly availabilityZone: string
  /** Streams that the group serves at a time. */
  readonly slotCount: number
  /** Age of the oldest member probe at `observedAtMs`. */
  readonly evidenceAgeMs: number
  /** Monotonic time at which the poll that brought the evidence was sent. */
  readonly observedAtMs: number
  /** Streams in service, as the engine reported them; lags behind. */
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  /** Time between tokens of the slowest member. */
  readonly tokenIntervalMs: number
  /** Streams that this node may have in flight on the group, by partner. */
  readonly creditsByPartner: ReadonlyMap<string, number>
  /** Monotonic time after which the credits allow no new stream. */
  readonly creditsExpireAtMs: number
}

/** A group that may take the request at hand, with what the router worked out about it. */
export interface RoutingCandidate {
  readonly group: RoutableGroup
  readonly isLocal: boolean
  /** Position of the group among those that may hold the request's prompt prefix, from 0; undefined without a prefix. */
  readonly prefixRank?: number
  /** Streams on the group by the last report, corrected by what this node started and finished since. */
  readonly estimatedStreamCount: number
  /** Streams that this node may still start on the group for the partner. */
  readonly freeCreditCount: number
  /** Part of the node's credits for the partner that is in use, from 0 to 1. */
  readonly creditUse: number
}
