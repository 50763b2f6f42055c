import type { Stream } from 'most'

/** An entry node as its peers know it. */
export interface EntryNodeInfo {
  readonly nodeId: string
  /** Wall clock time at which the process started, in milliseconds; distinguishes restarts at the same address. */
  readonly incarnation: number
  /** `host:port` of the peer RPC server. */
  readonly peerAddress: string
  /** `host:port` of the membership socket. */
  readonly gossipAddress: string
  readonly availabilityZone: string
  readonly partner: string
}

/** Read-only view of the entry nodes in the fleet. */
export interface MembershipView {
  readonly self: EntryNodeInfo
  /** Live nodes including this node, ordered by node id. */
  getLiveNodes (): readonly EntryNodeInfo[]
  /** Live nodes and nodes that died within the retention time, including this node; nodes that left are not included. */
  getKnownNodes (): readonly EntryNodeInfo[]
  /** Emits the live nodes after each change. */
  readonly liveNodeChanges: Stream<readonly EntryNodeInfo[]>
}
