import type { Stream } from 'most'

/** An entry node as its peers know it. */
export interface EntryNodeInfo {
  readonly nodeId: string
  /** Start time of the process in wall clock milliseconds; tells restarts at one address apart. */
  readonly incarnation: number
  /** `host:port` of the peer RPC server. */
  readonly peerAddress: string
  /** `host:port` of the membership socket. */
  readonly gossipAddress: string
  readonly availabilityZone: string
  readonly partner: string
}

/** What a part needs to know about the entry nodes that act together. */
export interface MembershipView {
  readonly self: EntryNodeInfo
  /** Live nodes with the node itself, ordered by node id. */
  getLiveNodes (): readonly EntryNodeInfo[]
  /** Nodes known lately, live or not, with the node itself; the base of a majority. */
  getKnownNodes (): readonly EntryNodeInfo[]
  /** The live nodes after each change. */
  readonly changes: Stream<readonly EntryNodeInfo[]>
}
