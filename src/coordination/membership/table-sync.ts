import { GossipMessage_Kind as MessageKind, type GossipMessage, type NodeUpdate } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { GossipSender } from './gossip-sender.js'
import type { MemberTable } from './member-table.js'
import { toFullWireUpdate } from './member-update.js'
import type { MembershipSettings } from './membership-settings.js'
import { getUpdateBytes } from './update-queue.js'

interface Transfer {
  readonly address: string
  readonly sequence: number
  readonly pageAfter: string
  readonly requestedAtMs: number
}

/** Fetches a peer's whole table, page by page, after a start, a pause or a persistent digest difference. */
export interface TableSync {
  /** Requests a transfer; it starts at the first tick at which none is in progress. */
  start (): void
  onTick (nowMs: number): void
  /** Compares a peer's digest with the digest of this node's table. */
  onDigest (nowMs: number, liveDigest: number, senderAddress: string): void
  onPageRequest (message: GossipMessage, senderAddress: string): void
  /** Continues the transfer; the page's updates have been applied already. */
  onPage (nowMs: number, message: GossipMessage): void
}

export interface TableSyncOptions {
  readonly selfId: string
  readonly table: MemberTable
  readonly sender: GossipSender
  readonly random: RandomSource
  readonly settings: MembershipSettings
  nextSequence (): number
  getSeeds (): readonly string[]
  /** Called when a peer's whole table has been received. */
  onComplete (): void
}

/** Creates the table sync of one node. */
export function createTableSync ({ selfId, table, sender, random, settings, nextSequence, getSeeds, onComplete }: TableSyncOptions): TableSync {
  let isRequested = false
  let transfer: Transfer | undefined
  let differsSinceMs: number | undefined
  let lastSyncAtMs = -Infinity

  /** Returns a random address among the live peers and the seeds. */
  function pickAddress (): string | undefined {
    const self = table.get(selfId)?.node.gossipAddress
    const peers = table.getLiveNodes().filter(node => node.nodeId !== selfId).map(node => node.gossipAddress)
    const seeds = getSeeds().filter(address => address !== self)
    return random.pick([...peers, ...seeds])
  }

  function requestPage (nowMs: number, address: string, pageAfter: string): void {
    transfer = { address, sequence: nextSequence(), pageAfter, requestedAtMs: nowMs }
    sender.send(MessageKind.KIND_PAGE_REQUEST, address, transfer.sequence, { pageAfter })
  }

  function getPage (pageAfter: string): { updates: NodeUpdate[], isLastPage: boolean } {
    const updates: NodeUpdate[] = []
    let leftBytes = settings.maxUpdateBytes
    for (const member of table.getMembers()) {
      if (member.node.nodeId <= pageAfter) continue
      const wire = toFullWireUpdate(member)
      leftBytes -= getUpdateBytes(wire)
      if (leftBytes < 0 && updates.length > 0) return { updates, isLastPage: false }
      updates.push(wire)
    }
    return { updates, isLastPage: true }
  }

  return {
    start () {
      isRequested = true
    },
    onTick (nowMs) {
      if (transfer !== undefined && nowMs - transfer.requestedAtMs >= settings.pageTimeoutMs) {
        transfer = undefined
        isRequested = true
      }
      if (!isRequested || transfer !== undefined) return
      const address = pickAddress()
      if (address === undefined) return
      isRequested = false
      lastSyncAtMs = nowMs
      requestPage(nowMs, address, '')
    },
    onDigest (nowMs, liveDigest, senderAddress) {
      if (liveDigest === table.getLiveDigest()) {
        differsSinceMs = undefined
        return
      }
      differsSinceMs ??= nowMs
      const isPersistent = nowMs - differsSinceMs >= settings.syncIntervalMs / 2
      if (!isPersistent || transfer !== undefined || nowMs - lastSyncAtMs < settings.syncIntervalMs) return
      lastSyncAtMs = nowMs
      requestPage(nowMs, senderAddress, '')
    },
    onPageRequest (message, senderAddress) {
      const page = getPage(message.pageAfter)
      sender.send(MessageKind.KIND_PAGE, senderAddress, message.sequence, { ...page, pageAfter: message.pageAfter })
    },
    onPage (nowMs, message) {
      if (transfer === undefined || transfer.sequence !== message.sequence) return
      const last = message.updates.at(-1)
      if (message.isLastPage || last === undefined) {
        transfer = undefined
        differsSinceMs = undefined
        onComplete()
      } else {
        requestPage(nowMs, transfer.address, last.nodeId)
      }
    }
  }
}
