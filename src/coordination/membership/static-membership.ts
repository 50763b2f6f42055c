import { createChannel } from '../../shared/channel.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'

/** Creates a membership view that never changes, for programs and tests with a fixed set of nodes. */
export function createStaticMembership (self: EntryNodeInfo, others: readonly EntryNodeInfo[] = []): MembershipView {
  const nodes = [self, ...others].sort((left, right) => left.nodeId < right.nodeId ? -1 : 1)
  return {
    self,
    getLiveNodes: () => nodes,
    getKnownNodes: () => nodes,
    liveNodeChanges: createChannel<readonly EntryNodeInfo[]>().messages
  }
}
