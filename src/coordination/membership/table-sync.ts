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
  readonly askedAtMs: number
}

/** Fetches the whole table of one peer, page by page, after a start, a pause or a lasting difference. */
export interface TableSync {
  /** Begins a transfer at the next tick, unless one is under way. */
  start (): void
  onTick (nowMs: number): void
  /** Compares the digest of a peer with the own one. */
  onDigest (nowMs: number, liveDigest: number, senderAddress: string): void
  onPageRequest (message: GossipMessage, senderAddress: string): void
  /** Goes on with the transfer; the page's updates have been taken in before. */
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
  /** Called when the whole table of a peer has arrived. */
  onComplete (): void
}

/** Creates the table transfer of one node. */
export function createTableSync ({ selfId, table, sender, random, settings, nextSequence, getSeeds, onComplete }: TableSyncOptions): TableSync {
  let isWanted = false
  let transfer: Transfer | undefined
  let differsSinceMs: number | undefined
  let lastSyncAtMs = -Infinity

  /** Live peers first; seeds when no peer is known. */
  function pickAddress (): string | undefined {
    const self = table.get(selfId)?.node.gossipAddress
    const peers = table.getLiveNodes().filter(node => node.nodeId !== selfId).map(node => node.gossipAddress)
    const seeds = getSeeds().filter(address => address !== self)
    return random.pick([...peers, ...seeds])
  }

  function askPage (nowMs: number, address: string, pageAfter: string): void {
    transfer = { address, sequence: nextSequence(), pageAfter, askedAtMs: nowMs }
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
      isWanted = true
    },
    onTick (nowMs) {
      if (transfer !== undefined && nowMs - transfer.askedAtMs >= settings.pageTimeoutMs) {
        transfer = undefined
        isWanted = true
      }
      if (!isWanted || transfer !== undefined) return
      const address = pickAddress()
      if (address === undefined) return
      isWanted = false
      lastSyncAtMs = nowMs
      askPage(nowMs, address, '')
    },
    onDigest (nowMs, liveDigest, senderAddress) {
      if (liveDigest === table.getLiveDigest()) {
        differsSinceMs = undefined
        return
      }
      differsSinceMs ??= nowMs
      const isLasting = nowMs - differsSinceMs >= settings.syncIntervalMs / 2
      if (!isLasting || transfer !== undefined || nowMs - lastSyncAtMs < settings.syncIntervalMs) return
      lastSyncAtMs = nowMs
      askPage(nowMs, senderAddress, '')
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
        askPage(nowMs, transfer.address, last.nodeId)
      }
    }
  }
}
