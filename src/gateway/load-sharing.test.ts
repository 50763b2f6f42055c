import { expect } from 'chai'

import { createReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { DeliveryAnswer } from '../coordination/replicas/delivery-inquiries.js'
import type { NetworkAddress } from '../shared/network-address.js'
import { createRandomSource } from '../shared/random-source.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { findFreePorts } from '../testing/free-ports.js'
import type { GatewaySettings } from './gateway-settings.js'
import { createLoadSharing, pickEvenly } from './load-sharing.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

const sampleOptions = {
  logger: silentLogger,
  random: createRandomSource(1),
  listPeers: () => [],
  listGatewayAddresses: () => [],
  findAddress: () => undefined,
  findPlannerAddress: () => undefined,
  listRecentlyLeaving: () => ({}),
  onLeavingServer () {},
  onDeliveryAnswer () {},
  onPromptMessage () {},
  onLimitMessage () {},
  findRelay: () => undefined,
  applyTotal () {},
  onSuspectReplica () {}
}

describe('pickEvenly', () => {
  it('finds one of the gateways that have streams in one availability zone of nine in most inquiries', () => {
    const random = createRandomSource(1)
    const hasStreams = (index: number) => index < 244 && index % 8 === 0
    const indexes = Array.from({ length: 2199 }, (_, index) => index)
    const found = Array.from({ length: 200 }, () => pickEvenly(indexes, 256, random.nextInt(2199))).filter(picked => picked.some(hasStreams))
    expect(found.length).to.be.at.least(180)
  })

  it('picks each item at most once', () => {
    const picked = pickEvenly([...'abcdefg'], 5, 6)
    expect(new Set(picked).size).to.equal(5)
  })
})

describe('load sharing', () => {
  it('answers an inquiry about a replica that delivered an event in time, and no other', async () => {
    const timers = createSystemTimerService()
    const ports = await findFreePorts(2)
    const [gatewayAddress, plannerAddress] = ports.map(port => ({ host: '127.0.0.1', port })) as [NetworkAddress, NetworkAddress]
    const loads = createReplicaLoads(timers)
    const answers: DeliveryAnswer[] = []
    const gateway = createLoadSharing({
      ...sampleOptions,
      timers,
      settings: { nodeId: 'gateway', peerAddress: gatewayAddress } as GatewaySettings,
      loads,
      findAddress: nodeId => nodeId === 'planner' ? plannerAddress : undefined
    })
    const planner = createLoadSharing({
      ...sampleOptions,
      timers,
      settings: { nodeId: 'planner', peerAddress: plannerAddress } as GatewaySettings,
      loads: createReplicaLoads(timers),
      listGatewayAddresses: () => [gatewayAddress],
      onDeliveryAnswer: answer => { answers.push(answer) }
    })
    await Promise.all([gateway.start(), planner.start()])
    loads.recordEvent('old')
    await new Promise(resolve => setTimeout(resolve, 50))
    loads.recordEvent('recent')
    planner.sendInquiries([
      { inquiryId: 1, replicaId: 'old', sinceMs: 10 },
      { inquiryId: 2, replicaId: 'unknown', sinceMs: 10 },
      { inquiryId: 3, replicaId: 'recent', sinceMs: 60_000 }
    ])
    while (answers.length === 0) await new Promise(resolve => setTimeout(resolve, 10))
    gateway.stop()
    planner.stop()
    expect(answers.map(({ inquiryId, replicaId }) => ({ inquiryId, replicaId }))).to.deep.equal([{ inquiryId: 3, replicaId: 'recent' }])
  })

  it('tells the planner which servers are leaving', async () => {
    const timers = createSystemTimerService()
    const ports = await findFreePorts(2)
    const [gatewayAddress, plannerAddress] = ports.map(port => ({ host: '127.0.0.1', port })) as [NetworkAddress, NetworkAddress]
    const received: Array<[string, number]> = []
    const options = { ...sampleOptions, timers }
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
