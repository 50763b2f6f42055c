import { hashText } from '../../shared/rendezvous.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { isLiveStatus, isNewer, MemberStatus, type MemberUpdate } from './member-update.js'
import type { MembershipSettings } from './membership-settings.js'

/** Last known state of one node, with the local time of its last change. */
export interface Member extends MemberUpdate {
  readonly sinceMs: number
}

/** All nodes that a node knows, including itself. */
export interface MemberTable {
  get (nodeId: string): Member | undefined
  /** Returns the live node with the given membership address. */
  findLiveByAddress (gossipAddress: string): Member | undefined
  /** Applies an update; returns false when it is not newer than the known state. */
  apply (update: MemberUpdate, nowMs: number): boolean
  /** Live nodes ordered by id; returns the same array until the list changes. */
  getLiveNodes (): readonly EntryNodeInfo[]
  /** Live and dead nodes ordered by id, excluding nodes that left. */
  getKnownNodes (): readonly EntryNodeInfo[]
  /** All members ordered by id, including nodes that left. */
  getMembers (): readonly Member[]
  getSuspects (): readonly Member[]
  getDead (): readonly Member[]
  /** Combined hash of the ids and incarnations of the live nodes. */
  getLiveDigest (): number
  /** Removes dead and left nodes whose retention time has passed. */
  prune (nowMs: number): void
}

/** Creates a table that knows only the node itself. */
export function createMemberTable (self: EntryNodeInfo, nowMs: number, settings: MembershipSettings): MemberTable {
  const members = new Map<string, Member>()
  const liveIdsByAddress = new Map<string, string>()
  const suspectIds = new Set<string>()
  const deadIds = new Set<string>()
  /** All members ordered by id, kept sorted so that a change needs no full sort. */
  const ordered: Member[] = []
  let liveDigest = 0
  let liveNodes: readonly EntryNodeInfo[] | undefined

  /** Returns the index of a node id in `ordered`, or the index at which to insert it. */
  function findPosition (nodeId: string): number {
    let low = 0
    let high = ordered.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((ordered[middle] as Member).node.nodeId < nodeId) {
        low = middle + 1
      } else {
        high = middle
      }
    }
    return low
  }

  function unindex (member: Member | undefined): void {
    if (member === undefined) return
    const { nodeId, gossipAddress } = member.node
    suspectIds.delete(nodeId)
    deadIds.delete(nodeId)
    if (!isLiveStatus(member.status)) return
    liveDigest ^= getMemberDigest(member.node)
    if (liveIdsByAddress.get(gossipAddress) === nodeId) liveIdsByAddress.delete(gossipAddress)
  }

  function index (member: Member): void {
    const { nodeId, gossipAddress } = member.node
    if (member.status === MemberStatus.Suspect) suspectIds.add(nodeId)
    if (member.status === MemberStatus.Dead) deadIds.add(nodeId)
    if (!isLiveStatus(member.status)) return
    liveDigest ^= getMemberDigest(member.node)
    liveIdsByAddress.set(gossipAddress, nodeId)
  }

  function put (member: Member): void {
    const known = members.get(member.node.nodeId)
    unindex(known)
    index(member)
    members.set(member.node.nodeId, member)
    ordered.splice(findPosition(member.node.nodeId), known === undefined ? 0 : 1, member)
    const isLiveListUnchanged = known !== undefined && known.node === member.node && isLiveStatus(known.status) === isLiveStatus(member.status)
    if (!isLiveListUnchanged) liveNodes = undefined
  }

  function getAll (nodeIds: Iterable<string>): Member[] {
    const found: Member[] = []
    for (const nodeId of nodeIds) {
      const member = members.get(nodeId)
      if (member !== undefined) found.push(member)
    }
    return found
  }

  put({ node: self, refutation: 0, status: MemberStatus.Alive, sinceMs: nowMs })

  return {
    get: nodeId => members.get(nodeId),
    findLiveByAddress (gossipAddress) {
      const nodeId = liveIdsByAddress.get(gossipAddress)
      return nodeId === undefined ? undefined : members.get(nodeId)
    },
    apply (update, atMs) {
      const known = members.get(update.node.nodeId)
      if (known !== undefined && !isNewer(update, known)) return false
      const isSameNode = known !== undefined && isSame(known.node, update.node)
      put({ ...update, node: isSameNode ? known.node : update.node, sinceMs: atMs })
      return true
    },
    getLiveNodes () {
      liveNodes ??= ordered.filter(member => isLiveStatus(member.status)).map(member => member.node)
      return liveNodes
    },
    getKnownNodes: () => ordered.filter(member => member.status !== MemberStatus.Left).map(member => member.node),
    getMembers: () => ordered,
    getSuspects: () => getAll(suspectIds),
    getDead: () => getAll(deadIds),
    getLiveDigest: () => liveDigest >>> 0,
    prune (atMs) {
      for (const member of [...members.values()]) {
        if (isLiveStatus(member.status)) continue
        const retentionMs = member.status === MemberStatus.Left ? settings.leftRetentionMs : settings.deadRetentionMs
        if (atMs - member.sinceMs < retentionMs) continue
        unindex(member)
        members.delete(member.node.nodeId)
        ordered.splice(findPosition(member.node.nodeId), 1)
      }
    }
  }
}

function isSame (left: EntryNodeInfo, right: EntryNodeInfo): boolean {
  return left.incarnation === right.incarnation && left.gossipAddress === right.gossipAddress && left.peerAddress === right.peerAddress
}

function getMemberDigest (node: EntryNodeInfo): number {
  return hashText(`${node.nodeId}/${node.incarnation}`)
}
