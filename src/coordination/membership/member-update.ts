import { NodeUpdate, NodeUpdate_Status as WireStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'

/** SWIM status of a node. */
export enum MemberStatus {
  Alive = 'alive',
  /** Did not respond to a probe; counts as live until the suspicion timeout. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** Left the fleet by a graceful shutdown. */
  Left = 'left'
}

/** State of one node, as spread among the nodes. */
export interface MemberUpdate {
  readonly node: EntryNodeInfo
  /**
   * Counter that only the node itself raises, to refute a suspicion. The SWIM paper calls it incarnation; here
   * `incarnation` is the start time of the process.
   */
  readonly refutation: number
  readonly status: MemberStatus
}

const statusRanks: Record<MemberStatus, number> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Dead]: 2,
  [MemberStatus.Left]: 3
}

/**
 * Returns whether an update supersedes the known state. Precedence: higher incarnation, then a graceful
 * leave, then a higher refutation, then the worse status.
 */
export function isNewer (update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.node.incarnation !== known.node.incarnation) return update.node.incarnation > known.node.incarnation
  if (known.status === MemberStatus.Left) return false
  if (update.status === MemberStatus.Left) return true
  if (update.refutation !== known.refutation) return update.refutation > known.refutation
  return statusRanks[update.status] > statusRanks[known.status]
}

/** Returns whether a node with this status counts as live. */
export function isLiveStatus (status: MemberStatus): boolean {
  return status === MemberStatus.Alive || status === MemberStatus.Suspect
}

const wireStatuses: Record<MemberStatus, WireStatus> = {
  [MemberStatus.Alive]: WireStatus.STATUS_ALIVE,
  [MemberStatus.Suspect]: WireStatus.STATUS_SUSPECT,
  [MemberStatus.Dead]: WireStatus.STATUS_DEAD,
  [MemberStatus.Left]: WireStatus.STATUS_LEFT
}

/** Encodes an update with all fields of the node. */
export function toFullWireUpdate ({ node, refutation, status }: MemberUpdate): NodeUpdate {
  return {
    nodeId: node.nodeId,
    incarnation: node.incarnation,
    refutation,
    status: wireStatuses[status],
    peerAddress: node.peerAddress,
    gossipAddress: node.gossipAddress,
    availabilityZone: node.availabilityZone,
    partner: node.partner
  }
}

/** Encodes an update to be spread. Only alive updates include addresses; receivers of the others know them already. */
export function toWireUpdate (update: MemberUpdate): NodeUpdate {
  if (update.status === MemberStatus.Alive) return toFullWireUpdate(update)
  const { nodeId, incarnation, refutation, status } = toFullWireUpdate(update)
  return NodeUpdate.fromPartial({ nodeId, incarnation, refutation, status })
}

/**
 * Decodes an update; undefined when it is malformed. `known` supplies the addresses of an update
 * without any; without it, such an update is discarded.
 */
export function fromWireUpdate (wire: NodeUpdate, known: EntryNodeInfo | undefined): MemberUpdate | undefined {
  const status = Object.values(MemberStatus).find(candidate => wireStatuses[candidate] === wire.status)
  if (status === undefined || wire.nodeId === '') return undefined
  if (wire.gossipAddress !== '') {
    const { nodeId, incarnation, peerAddress, gossipAddress, availabilityZone, partner } = wire
    return { node: { nodeId, incarnation, peerAddress, gossipAddress, availabilityZone, partner }, refutation: wire.refutation, status }
  }
  if (known === undefined) return undefined
  // The addresses of a newer incarnation are not known yet, so the node cannot be probed.
  if (wire.incarnation > known.incarnation && isLiveStatus(status)) return undefined
  return { node: { ...known, incarnation: wire.incarnation }, refutation: wire.refutation, status }
}
