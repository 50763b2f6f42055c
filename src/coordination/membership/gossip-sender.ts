import { GossipMessage, GossipMessage_Kind as MessageKind, type ConfigStatus, type NodeUpdate } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { Member, MemberTable } from './member-table.js'
import { MemberStatus, toFullWireUpdate, toWireUpdate } from './member-update.js'
import { scaleWithNodes, type MembershipSettings } from './membership-settings.js'
import { getUpdateBytes, type UpdateQueue } from './update-queue.js'

/** Fields that depend on the kind of message. */
export type MessageFields = Partial<Pick<GossipMessage, 'targetNodeId' | 'pageAfter' | 'isLastPage' | 'updates'>>

/** Builds gossip messages and emits them. */
export interface GossipSender {
  /** Sends a message with as many queued updates as fit; a page carries its own updates only. */
  send (kind: MessageKind, address: string, sequence: number, fields?: MessageFields): void
}

export interface GossipSenderOptions {
  readonly selfId: string
  readonly table: MemberTable
  readonly queue: UpdateQueue
  readonly settings: MembershipSettings
  getConfigStatus (): ConfigStatus
  emit (address: string, message: GossipMessage): void
}

/** Creates the gossip sender of one node. */
export function createGossipSender ({ selfId, table, queue, settings, getConfigStatus, emit }: GossipSenderOptions): GossipSender {
  /** Returns the receiver's status when others consider it suspect, dead or left, so that it can refute that. */
  function getUpdateAboutReceiver (address: string): NodeUpdate[] {
    const receiver = findByAddress(address)
    const isConsideredAlive = receiver === undefined || receiver.status === MemberStatus.Alive
    return isConsideredAlive ? [] : [toWireUpdate(receiver)]
  }

  function findByAddress (address: string): Member | undefined {
    return table.findLiveByAddress(address) ?? table.getDead().find(member => member.node.gossipAddress === address)
  }

  function takeUpdates (address: string): NodeUpdate[] {
    const first = getUpdateAboutReceiver(address)
    const usedBytes = first.reduce((bytes, update) => bytes + getUpdateBytes(update), 0)
    const maxSentCount = scaleWithNodes(settings.retransmitCount, table.getLiveNodes().length)
    return [...first, ...queue.take(settings.maxUpdateBytes - usedBytes, maxSentCount)]
  }

  return {
    send (kind, address, sequence, fields = {}) {
      const self = table.get(selfId)
      emit(address, {
        kind,
        sequence,
        sender: self === undefined ? undefined : toFullWireUpdate(self),
        targetNodeId: fields.targetNodeId ?? '',
        updates: fields.updates ?? takeUpdates(address),
        config: getConfigStatus(),
        pageAfter: fields.pageAfter ?? '',
        isLastPage: fields.isLastPage ?? false,
        liveDigest: table.getLiveDigest()
      })
    }
  }
}
