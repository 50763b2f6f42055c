import { createChannel, type Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { ConfigStatus, GossipMessage } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'
import { createJoiner } from './joiner.js'
import { createMembershipCore } from './membership-core.js'
import { MembershipActionKind, MembershipEventKind, type MembershipAction, type MembershipEvent } from './membership-event.js'
import type { MembershipSettings } from './membership-settings.js'
import type { NodeDirectory } from './node-directory.js'

/** Transports membership messages between nodes; messages may be lost, duplicated or delayed. */
export interface GossipLink {
  send (address: string, message: GossipMessage): void
  readonly received: Channel<GossipMessage>
}

/** A peer's configuration status, received with a message. */
export interface PeerConfigStatus {
  readonly node: EntryNodeInfo
  readonly status: ConfigStatus
}

/** Maintains one node's membership in the fleet of entry nodes. */
export interface Membership {
  readonly view: MembershipView
  readonly peerConfigStatuses: Channel<PeerConfigStatus>
  /** Emits true when the node starts to trust its view, and false when it stops. */
  readonly trustChanges: Channel<boolean>
  /** False after a start or a long pause until a peer's whole table has been received, or the node is confirmed to be alone. */
  isViewTrusted (): boolean
  /** Starts probing, and joins through the seeds and the directory. */
  start (): void
  /** Notifies peers that the node leaves, and stops. */
  leave (): void
}

export interface MembershipOptions {
  readonly self: EntryNodeInfo
  readonly timers: TimerService
  readonly random: RandomSource
  readonly link: GossipLink
  getConfigStatus (): ConfigStatus
  /** Membership addresses of nodes through which this node may join. */
  readonly seeds: readonly string[]
  /** The stored directory; without it the node joins through the seeds only. */
  readonly directory?: NodeDirectory
  readonly settings: MembershipSettings
}

/** Creates the membership of one node. */
export function createMembership ({ self, timers, random, link, getConfigStatus, seeds, directory, settings }: MembershipOptions): Membership {
  const core = createMembershipCore({ self, startMs: timers.nowMs(), random, settings, getConfigStatus })
  const viewChanges = createChannel<readonly EntryNodeInfo[]>()
  const peerConfigStatuses = createChannel<PeerConfigStatus>()
  const trustChanges = createChannel<boolean>()
  const joiner = createJoiner({
    timers,
    directory,
    settings,
    getSelf: core.getSelf,
    getLiveNodes: core.table.getLiveNodes,
    handle
  })
  let ticks: TimerSubscription | undefined

  function perform (action: MembershipAction): void {
    switch (action.kind) {
      case MembershipActionKind.Send:
        link.send(action.address, action.message)
        break
      case MembershipActionKind.ViewChanged:
        viewChanges.send(action.liveNodes)
        break
      case MembershipActionKind.PeerConfig:
        peerConfigStatuses.send({ node: action.node, status: action.status })
        break
      case MembershipActionKind.TrustChanged:
        trustChanges.send(action.isTrusted)
        if (action.isTrusted) void joiner.onViewTrusted()
        break
    }
  }

  function handle (event: MembershipEvent): void {
    for (const action of core.step(timers.nowMs(), event)) perform(action)
  }

  return {
    view: {
      get self () { return core.getSelf() },
      getLiveNodes: () => core.table.getLiveNodes(),
      getKnownNodes: () => core.table.getKnownNodes(),
      liveNodeChanges: viewChanges.messages
    },
    peerConfigStatuses,
    trustChanges,
    isViewTrusted: core.isViewTrusted,
    start () {
      void link.received.messages.observe(message => handle({ kind: MembershipEventKind.Received, message }))
      handle({ kind: MembershipEventKind.SeedsFound, addresses: seeds })
      joiner.start()
      ticks = timers.subscribeEvery(settings.tickMs, () => handle({ kind: MembershipEventKind.Tick }))
    },
    leave () {
      ticks?.cancel()
      joiner.stop()
      handle({ kind: MembershipEventKind.Leave })
    }
  }
}
