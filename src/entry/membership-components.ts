import { createMembership, type Membership } from '../coordination/membership/membership.js'
import { defaultMembershipSettings } from '../coordination/membership/membership-settings.js'
import { createNodeDirectory } from '../coordination/membership/node-directory.js'
import type { EntryNodeInfo } from '../coordination/ports/membership-view.js'
import type { KeyValueStore } from '../coordination/ports/key-value-store.js'
import type { ConfigStatus } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import type { RandomSource } from '../shared/random-source.js'
import type { TimerService } from '../shared/timer-service.js'
import { openGossipSocket, type GossipSocket } from '../transport/gossip-udp.js'

export interface MembershipComponentsOptions {
  readonly settings: EntrySettings
  readonly sharedSecret: string | undefined
  readonly store: KeyValueStore
  readonly timers: TimerService
  readonly random: RandomSource
  getConfigStatus (): ConfigStatus
}

/** The membership of an entry node and the gossip socket that it uses. */
export interface MembershipComponents {
  readonly membership: Membership
  readonly socket: GossipSocket
}

/** Opens the gossip socket and creates the membership, which is not started yet; rejects when the address cannot be bound. */
export async function openMembership (options: MembershipComponentsOptions): Promise<MembershipComponents> {
  const { settings, sharedSecret, store, timers, random } = options
  const opened = await openGossipSocket({
    host: settings.peers.host,
    port: settings.peers.gossipPort,
    ...(sharedSecret === undefined ? {} : { secret: sharedSecret })
  })
  if (!opened.isOk) throw new Error(`cannot open the gossip socket: ${opened.error.reason}`)
  const socket = opened.value
  const self: EntryNodeInfo = {
    nodeId: settings.nodeId,
    // Distinguishes the runs of a node; a later start has a higher value.
    incarnation: timers.wallClockMs(),
    peerAddress: `${settings.peers.host}:${settings.peers.port}`,
    gossipAddress: socket.address,
    availabilityZone: settings.availabilityZone,
    partner: settings.partner
  }
  const membership = createMembership({
    self,
    timers,
    random,
    link: socket.link,
    seeds: settings.peers.seeds,
    directory: createNodeDirectory(store, timers, random),
    settings: defaultMembershipSettings,
    getConfigStatus: options.getConfigStatus
  })
  return { membership, socket }
}
