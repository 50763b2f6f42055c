import { expect } from 'chai'

import type { RelayLink } from '../coordination/ports/relay-link.js'
import { StoreErrorKind } from '../coordination/ports/revisioned-store.js'
import { directPlan, type RelayPlan } from '../coordination/relay/relay-plan.js'
import { failure } from '../shared/result.js'
import { delay } from '../shared/timer-service.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeRevisionedStore } from '../testing/fake-revisioned-store.js'
import { fetchOverWire, createRelayNode } from '../testing/relay-nodes.js'

const relay = { nodeId: 'relay', zone: 'z', address: 'relay:1', listedRevision: 1 }
const relayedPlan: RelayPlan = { readsStoreDirectly: false, relays: [relay] }

/**
 * A relay and a gateway that depends on it. `isCut`: the gateway can't reach the relay. `isStoreSilent`: the store doesn't
 * respond to the relay. `isRefused`: the store refuses the gateway's reads.
 */
async function createFixture () {
  const timers = createVirtualTimerService()
  const relayStore = createFakeRevisionedStore(timers)
  const path = { isCut: false, isStoreSilent: false }
  relayStore.put('op/config', '3')
  relayStore.put('servers/a', 'ready#1')
  const waitWhileSilent = async <T> (call: () => Promise<T>): Promise<T> => {
    while (path.isStoreSilent) await delay(timers, 100)
    return call()
  }
  const relayPath = {
    ...relayStore.store,
    read: (prefix: string) => waitWhileSilent(() => relayStore.store.read(prefix)),
    watch: (prefix: string, after: number, waitMs: number) => waitWhileSilent(() => relayStore.store.watch(prefix, after, waitMs))
  }
  const relayNode = createRelayNode({ nodeId: 'relay', timers, store: relayPath, link: { fetch: async () => failure('no relay') }, plan: directPlan })
  const link: RelayLink = {
    async fetch (_address, request) {
      if (path.isCut) {
        await delay(timers, request.waitMs)
        return failure('no response')
      }
      return fetchOverWire(relayNode.handler, request)
    }
  }
  const nodeCalls = { count: 0, isRefused: false }
  const { store } = relayStore
  const nodeStore = {
    ...store,
    async read (prefix: string) {
      nodeCalls.count += 1
      return nodeCalls.isRefused ? failure({ kind: StoreErrorKind.Unavailable, reason: 'refused' }) : store.read(prefix)
    },
    async watch (prefix: string, afterRevision: number, waitMs: number) {
      nodeCalls.count += 1
      return store.watch(prefix, afterRevision, waitMs)
    }
  }
  const node = createRelayNode({ nodeId: 'node', timers, store: nodeStore, link, plan: relayedPlan })
  await timers.advanceAsync(8000)
  return { timers, store: relayStore, path, nodeCalls, node, relayNode }
}

describe('relay', () => {
  it('passes on changes within a second, while the dependent gateway makes no calls to the store', async () => {
    const { timers, store, node, nodeCalls } = await createFixture()
    const callCount = nodeCalls.count
    store.put('op/config', '5')
    store.put('servers/b', 'ready#1')
    await timers.advanceAsync(1000)
    expect(node.fleet.getConfig()?.version).to.equal(5)
    expect(node.fleet.getServers('job-sheets')).to.have.length(2)
    for (let count = 0; count < 40; count += 1) {
      store.put('servers/a', `ready#${count}`)
      await timers.advanceAsync(500)
      expect(node.fleet.getConfigAgeMs()).to.be.lessThan(4000)
    }
    expect(nodeCalls.count).to.equal(callCount)
    expect(node.source.isDirect()).to.equal(false)
  })

  describe('a large value', () => {
    const largeText = `${' '.repeat(60_000)}9`

    it('is read from the store by each gateway, since a relay\'s link would be too slow', async () => {
      const { timers, store, node, nodeCalls } = await createFixture()
      const callCount = nodeCalls.count
      store.put('op/config', largeText)
      await timers.advanceAsync(1000)
      expect(node.fleet.getConfig()?.version).to.equal(9)
      expect(nodeCalls.count).to.equal(callCount + 1)
      expect(node.source.isDirect()).to.equal(false)
    })

    it('comes from the relay when the store refuses the gateway', async () => {
      const { timers, store, node, nodeCalls } = await createFixture()
      nodeCalls.isRefused = true
      store.put('op/config', largeText)
      await timers.advanceAsync(1500)
      expect(node.fleet.getConfig()?.version).to.equal(9)
    })
  })

  it('that was a dependent before passes on what it read from the store after the response of its own relay', async () => {
    const timers = createVirtualTimerService()
    const store = createFakeRevisionedStore(timers)
    const makeText = (version: number) => `${' '.repeat(60_000)}${version}`
    store.put('op/config', '3')
    const link: RelayLink = { fetch: async (address, request) => await fetchOverWire((address === relay.address ? first : second).handler, request) }
    // The second relay's read of the large value takes so long that it returns the next version.
    const slowStore = {
      ...store.store,
      async read (prefix: string) {
        if (prefix !== '') await delay(timers, 100)
        return await store.store.read(prefix)
      }
    }
    const secondPlan = { ...relayedPlan }
    const nodePlan = { ...relayedPlan }
    const first = createRelayNode({ nodeId: 'relay', timers, store: store.store, link, plan: directPlan })
    const second = createRelayNode({ nodeId: 'second', timers, store: slowStore, link, plan: secondPlan })
    const node = createRelayNode({ nodeId: 'node', timers, store: store.store, link, plan: nodePlan })
    await timers.advanceAsync(8000)
    store.put('op/config', makeText(5))
    await timers.advanceAsync(50)
    store.put('op/config', makeText(9))
    await timers.advanceAsync(60)
    expect([node, second].map(({ fleet }) => fleet.getConfig()?.version)).to.deep.equal([5, 9])
    // The first relay ends before it passes the next version on.
    Object.assign(secondPlan, directPlan)
    Object.assign(nodePlan, { readsStoreDirectly: false, relays: [{ ...relay, address: 'second:1' }] })
    await timers.advanceAsync(2000)
    expect(second.fleet.getConfig()?.version).to.equal(9)
    expect(node.fleet.getConfig()?.version).to.equal(9)
  })

  it('never makes the configuration look fresher than it is', async () => {
    const { timers, store, node, relayNode } = await createFixture()
    store.faults.isDown = true
    for (let step = 0; step < 40; step += 1) {
      await timers.advanceAsync(100)
      expect(node.fleet.getConfigAgeMs()).to.be.at.least(relayNode.fleet.getConfigAgeMs() - 5)
    }
  })

  it('passes stream counts in both directions without counting a gateway\'s own streams twice', async () => {
    const { timers, node, relayNode } = await createFixture()
    node.loads.beginStream('g/1')
    relayNode.loads.beginStream('g/1')
    relayNode.loads.applyReport({ nodeId: 'far', sequence: 1, streamCounts: { 'g/1': 5 }, stalledIds: [], quietIds: [] })
    await timers.advanceAsync(1500)
    expect(node.loads.getStreamCount('g/1')).to.equal(7)
    expect(relayNode.loads.getStreamCount('g/1')).to.equal(7)
    expect(relayNode.loads.createReport('relay').streamCounts).to.deep.equal({ 'g/1': 2 })
  })

  it('that is unreachable is replaced by the store before the configuration is too old', async () => {
    const { timers, store, path, node, nodeCalls } = await createFixture()
    path.isCut = true
    const callCount = nodeCalls.count
    for (let step = 0; step < 100; step += 1) {
      await timers.advanceAsync(100)
      expect(node.fleet.getConfigAgeMs()).to.be.lessThan(4500)
    }
    expect(nodeCalls.count).to.be.greaterThan(callCount)
    store.put('op/config', '7')
    await timers.advanceAsync(1500)
    expect(node.fleet.getConfig()?.version).to.equal(7)
    path.isCut = false
    await timers.advanceAsync(8000)
    expect(node.source.isDirect()).to.equal(false)
  })

  it('that is cut off from the store delays no change by two seconds', async () => {
    const { timers, store, path, node } = await createFixture()
    path.isStoreSilent = true
    await timers.advanceAsync(900)
    store.put('op/config', '6')
    await timers.advanceAsync(2000)
    expect(node.fleet.getConfig()?.version).to.equal(6)
  })

  it('keeps entries that lapsed in an outage for dependent gateways until they have had time to return', async () => {
    const { timers, store, node } = await createFixture()
    store.faults.isDown = true
    await timers.advanceAsync(1500)
    store.remove('servers/a')
    store.faults.isDown = false
    await timers.advanceAsync(1500)
    expect(node.fleet.getServers('job-sheets')).to.have.length(1)
    await timers.advanceAsync(5000)
    expect(node.fleet.getServers('job-sheets')).to.have.length(0)
  })
})
