import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'

/** Position of a node in the distribution tree of its availability zone. */
export interface TreePosition {
  /** Whether the node is a root, which watches the store itself. */
  readonly isWatcher: boolean
  /** Node to poll; undefined for watchers. */
  readonly parent: EntryNodeInfo | undefined
  readonly children: readonly EntryNodeInfo[]
}

/**
 * Ranks the live nodes of the zone by rendezvous hash. The first `watcherCount` nodes are the roots; the
 * others follow below them, with at most `fanout` children per node.
 * Nodes with different membership views compute different trees; a missing link only delays the distribution.
 */
export function findTreePosition (membership: MembershipView, watcherCount: number, fanout: number): TreePosition {
  const self = membership.self
  const zoneNodes = membership.getLiveNodes().filter(node => node.availabilityZone === self.availabilityZone)
  const ranked = rankByRendezvous(`config/${self.availabilityZone}`, zoneNodes, node => node.nodeId)
  const rank = ranked.findIndex(node => node.nodeId === self.nodeId)
  // A node that is not among the live nodes has rank -1 and counts as a watcher.
  const firstChild = watcherCount + rank * fanout
  return {
    isWatcher: rank < watcherCount,
    parent: rank < watcherCount ? undefined : ranked[Math.floor((rank - watcherCount) / fanout)],
    children: rank < 0 ? [] : ranked.slice(firstChild, firstChild + fanout)
  }
}
