import { expect } from 'chai'

import { directPlan, type RelayPlan } from '../coordination/relay/relay-plan.js'
import { createStoreMirror } from '../coordination/relay/store-mirror.js'
import { failure } from '../shared/result.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeRevisionedStore } from '../testing/fake-revisioned-store.js'
import { createRelayNode, fetchOverWire, type RelayNode } from '../testing/relay-nodes.js'
import { createZoneEvacuations } from './zone-evacuations.js'

const key = 'op/evacuate/z1'
/** A change reaches a gateway that follows the store itself within this time, and one behind a relay within twice as long. */
const viewDelayMs = 1000
const relayedPlan: RelayPlan = { readsStoreDirectly: false, relays: [{ nodeId: 'relay', zone: 'z', address: 'relay:1', listedRevision: 1 }] }

async function createFixture () {
  const timers = createVirtualTimerService()
  const fake = createFakeRevisionedStore(timers)
  fake.put('op/config', '3')
  fake.put('servers/a', 'ready')
  const startDirect = () => createRelayNode({ nodeId: 'relay', timers, store: fake.store, link: { fetch: async () => failure('no relay') }, plan: directPlan })
  const direct = startDirect()
  const refused = async () => fake.store.read('never')
  const relayed = createRelayNode({
    nodeId: 'node', timers, store: { ...fake.store, read: refused }, link: { fetch: async (_address, request) => fetchOverWire(direct.handler, request) }, plan: relayedPlan
  })
  await timers.advanceAsync(8000)
  return { timers, fake, direct, relayed, startDirect }
}

const isEvacuated = ({ fleet }: RelayNode) => fleet.evacuatedZones.has('z1')

describe('evacuated zones of the view', () => {
  // Guards against requests to an evacuated zone from gateways that do not read the store themselves (EVAC).
  it('are known to gateways that read the store, and to those behind a relay, until the key is removed', async () => {
    const { timers, fake, direct, relayed } = await createFixture()
    expect([direct, relayed].map(isEvacuated)).to.deep.equal([false, false])
    fake.put(key, '{}')
    await timers.advanceAsync(2 * viewDelayMs)
    expect([direct, relayed].map(isEvacuated)).to.deep.equal([true, true])
    await timers.advanceAsync(30_000)
    expect([direct, relayed].map(isEvacuated)).to.deep.equal([true, true])
    fake.remove(key)
    await timers.advanceAsync(2 * viewDelayMs)
    expect([direct, relayed].map(isEvacuated)).to.deep.equal([false, false])
    expect(direct.fleet.evacuatedZones.getEndedAtMs('z1')).to.be.greaterThan(timers.nowMs() - 2 * viewDelayMs)
  })

  it('are known to a gateway that starts with its first read', async () => {
    const { timers, fake, startDirect } = await createFixture()
    fake.put(key, '{}')
    const started = startDirect()
    await timers.advanceAsync(100)
    expect(started.fleet.getConfig()?.version).to.equal(3)
    expect(isEvacuated(started)).to.equal(true)
  })

  it('stay while the store is away', async () => {
    const { timers, fake, direct } = await createFixture()
    fake.put(key, '{}')
    await timers.advanceAsync(viewDelayMs)
    fake.faults.isDown = true
    await timers.advanceAsync(60_000)
    expect(isEvacuated(direct)).to.equal(true)
  })

  it('are found by a full read when the store drops its history', async () => {
    const { timers, fake, direct } = await createFixture()
    fake.faults.isDown = true
    fake.put(key, '{}')
    fake.dropHistory()
    await timers.advanceAsync(5000)
    fake.faults.isDown = false
    await timers.advanceAsync(2 * viewDelayMs)
    expect(isEvacuated(direct)).to.equal(true)
  })

  describe('when the store comes back from an older copy', () => {
    // Guards against requests to an evacuated zone, since the store lost the key for a moment.
    it('stay until the era has settled, and end then if the copy has no key', async () => {
      const { timers, fake, direct, relayed } = await createFixture()
      const copy = fake.saveCopy()
      fake.put(key, '{}')
      await timers.advanceAsync(2 * viewDelayMs)
      fake.restore(copy)
      await timers.advanceAsync(1900)
      expect(isEvacuated(direct)).to.equal(true)
      await timers.advanceAsync(2500)
      expect([direct, relayed].map(isEvacuated)).to.deep.equal([false, false])
    })

    it('stay without a gap if the operator writes the key again meanwhile', async () => {
      const { timers, fake, direct, relayed } = await createFixture()
      const copy = fake.saveCopy()
      fake.put(key, '{}')
      await timers.advanceAsync(2 * viewDelayMs)
      fake.restore(copy)
      await timers.advanceAsync(1000)
      fake.put(key, '{}')
      for (let elapsedMs = 0; elapsedMs < 6000; elapsedMs += 50) {
        await timers.advanceAsync(50)
        expect([direct, relayed].map(isEvacuated), `after ${elapsedMs} ms`).to.deep.equal([true, true])
      }
    })

    it('do not come back before the era has settled, and do then if the copy has the key', async () => {
      const { timers, fake, direct } = await createFixture()
      fake.put(key, '{}')
      await timers.advanceAsync(viewDelayMs)
      const copy = fake.saveCopy()
      fake.remove(key)
      await timers.advanceAsync(viewDelayMs)
      fake.restore(copy)
      await timers.advanceAsync(1500)
      expect(isEvacuated(direct)).to.equal(false)
      await timers.advanceAsync(3000)
      expect(isEvacuated(direct)).to.equal(true)
    })

    it('count at once if the operator writes the key in the new era', async () => {
      const { timers, fake, direct } = await createFixture()
      fake.restore(fake.saveCopy())
      await timers.advanceAsync(700)
      fake.put(key, '{}')
      await timers.advanceAsync(viewDelayMs)
      expect(isEvacuated(direct)).to.equal(true)
    })
  })

  describe('that are odd', () => {
    function createSample () {
      const timers = createVirtualTimerService()
      const mirror = createStoreMirror({ toComparable: (_key, value) => value })
      const lines: string[] = []
      const log = (message: string) => { lines.push(message) }
      let revision = 1
      const evacuations = createZoneEvacuations({
        timers, mirror, prefix: 'op/evacuate/', isEraUnsettled: () => false, listServerZones: () => new Set(['z1', 'z2']), logger: { debug: log, info: log, warn: log, error: log }
      })
      const put = (zone: string, value: string) => {
        revision += 1
        mirror.applyChanges({ era: 1, asOfRevision: revision, changes: [{ key: `op/evacuate/${zone}`, value, revision }] })
        evacuations.refresh()
      }
      return { lines, put, evacuations }
    }

    // Guards against an operator's mistake that goes unnoticed, and against a crash of all gateways by one key.
    it('cause a line that names them, and the key counts whatever its value is', () => {
      const { lines, put, evacuations } = createSample()
      put('z1', 'not JSON')
      put('z9', '{}')
      put('', '{}')
      put('z2', '[]')
      expect(evacuations.zones.list()).to.deep.equal(['z1', 'z9', 'z2'])
      for (const text of ['is not valid JSON', 'has no servers', 'names no zone', 'All zones']) expect(lines.filter(line => line.includes(text)), text).to.have.length(1)
    })
  })
})
