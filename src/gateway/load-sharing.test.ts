import { expect } from 'chai'

import { createReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { NetworkAddress } from '../shared/network-address.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { findFreePorts } from '../testing/free-ports.js'
import type { GatewaySettings } from './gateway-settings.js'
import { createLoadSharing } from './load-sharing.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

describe('load sharing', () => {
  it('tells the planner which servers are leaving', async () => {
    const timers = createSystemTimerService()
    const ports = await findFreePorts(2)
    const [gatewayAddress, plannerAddress] = ports.map(port => ({ host: '127.0.0.1', port })) as [NetworkAddress, NetworkAddress]
    const received: Array<[string, number]> = []
    const options = { timers, logger: silentLogger, listPeers: () => [], onSuspectReplica () {} }
    const gateway = createLoadSharing({
      ...options,
      settings: { nodeId: 'gateway', peerAddress: gatewayAddress } as GatewaySettings,
      loads: createReplicaLoads(timers),
      findPlannerAddress: () => plannerAddress,
      listRecentlyLeaving: () => ({ 'server-1': 7 }),
      onLeavingServer () {}
    })
    const planner = createLoadSharing({
      ...options,
      settings: { nodeId: 'planner', peerAddress: plannerAddress } as GatewaySettings,
      loads: createReplicaLoads(timers),
      findPlannerAddress: () => undefined,
      listRecentlyLeaving: () => ({}),
      onLeavingServer: (serverId, startedAtMs) => { received.push([serverId, startedAtMs]) }
    })
    await Promise.all([gateway.start(), planner.start()])
    gateway.reportLeaving()
    while (received.length === 0) await new Promise(resolve => setTimeout(resolve, 10))
    gateway.stop()
    planner.stop()
    expect(received[0]).to.deep.equal(['server-1', 7])
  })
})
