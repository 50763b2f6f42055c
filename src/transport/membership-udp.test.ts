import { expect } from 'chai'

import { createMembership, type Membership } from '../coordination/membership/membership.js'
import { defaultMembershipSettings } from '../coordination/membership/membership-settings.js'
import { createRandomSource } from '../shared/random-source.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { openGossipSocket, type GossipSocket } from './gossip-udp.js'

const settings = { ...defaultMembershipSettings, periodMs: 200, tickMs: 20, ackTimeoutMs: 100, gossipIntervalMs: 50 }
const config = { version: 3, confirmedAgeMs: 0, hasConfig: true, isStoreUnreachable: false, versionInUse: 3, canAttest: true }

async function startNode (index: number, seeds: readonly string[]): Promise<{ socket: GossipSocket, membership: Membership }> {
  const opened = await openGossipSocket({ host: '127.0.0.1', port: 0, secret: 'test' })
  if (!opened.isOk) throw new Error(opened.error.reason)
  const socket = opened.value
  const membership = createMembership({
    self: {
      nodeId: `entry-${index}`,
      incarnation: index,
      peerAddress: '127.0.0.1:1',
      gossipAddress: socket.address,
      availabilityZone: 'praha-dilna',
      partner: 'vrany'
    },
    timers: createSystemTimerService(),
    random: createRandomSource(index),
    link: socket.link,
    getConfigStatus: () => config,
    seeds,
    settings
  })
  membership.start()
  return { socket, membership }
}

/** Resolves once the view has `liveNodeCount` live nodes. */
function waitForLiveNodes ({ view }: Membership, liveNodeCount: number): Promise<void> {
  return new Promise(resolve => {
    if (view.getLiveNodes().length === liveNodeCount) resolve()
    void view.liveNodeChanges.observe(nodes => { if (nodes.length === liveNodeCount) resolve() })
  })
}

describe('membership over UDP', () => {
  it('lets nodes discover each other, share their configuration status and leave', async () => {
    const first = await startNode(1, [])
    const statusArrived = new Promise<number>(resolve => {
      void first.membership.peerConfigStatuses.messages.observe(({ status }) => resolve(status.version))
    })
    const second = await startNode(2, [first.socket.address])
    const third = await startNode(3, [first.socket.address])
    await Promise.all([first, second, third].map(({ membership }) => waitForLiveNodes(membership, 3)))
    expect(await statusArrived).to.equal(3)
    third.membership.leave()
    await Promise.all([first, second].map(({ membership }) => waitForLiveNodes(membership, 2)))
    expect(first.membership.view.getKnownNodes().map(node => node.nodeId)).to.deep.equal(['entry-1', 'entry-2'])
    for (const { socket, membership } of [first, second, third]) {
      membership.leave()
      await socket.close()
    }
  })
})
