import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createFakeRevisionedStore } from '../../testing/fake-revisioned-store.js'
import { formatEntryKey, type QuarantineEntry } from './prompt-quarantine.js'
import { createQuarantineStore, quarantineKeyPrefix } from './quarantine-store.js'

const gatewayPrefix = 'egretpaddle/'
const storePrefix = gatewayPrefix + quarantineKeyPrefix
const entry: QuarantineEntry = { partIds: ['p'], probeCount: 0 }

/** Creates gateways on one store; each sees it as it is, at once, when `applyView` is called, unless its view is stale. */
function createSample ({ isPlanner = false }: { readonly isPlanner?: boolean } = {}) {
  const timers = createVirtualTimerService()
  const fake = createFakeRevisionedStore(timers)
  const view = { isStale: false, confirmedAtMs: 0 }

  function createGateway () {
    const entries = new Map<string, QuarantineEntry>()
    const announced: QuarantineEntry[] = []
    const gateway = createQuarantineStore({
      store: fake.store,
      timers,
      random: createRandomSource(1),
      logger: { debug () {}, info () {}, warn () {}, error () {} },
      gatewayPrefix,
      guard: {
        addEntry: added => { entries.set(formatEntryKey(added.partIds), added) },
        removeEntry: key => { entries.delete(key) },
        listEntries: () => [...entries.values()]
      },
      listStored () {
        const item = view.isStale ? undefined : fake.peek(`${storePrefix}p`)
        return new Map(item === undefined ? [] : [[`${quarantineKeyPrefix}p`, item]])
      },
      isPlanner: () => isPlanner,
      countGateways: () => 1_000_000,
      getViewAgeMs: () => view.isStale ? timers.nowMs() - view.confirmedAtMs : 0,
      announce: told => { announced.push(told) }
    })
    gateway.start()
    return { ...gateway, entries, announced }
  }

  return { timers, fake, view, createGateway, peek: () => fake.peek(`${storePrefix}p`)?.value }
}

describe('quarantine in the store', () => {
  it('has the entry at once, and announces it until then', async () => {
    const { timers, createGateway, peek } = createSample()
    const gateway = createGateway()
    gateway.entries.set('p', entry)
    gateway.publish(entry)
    await timers.advanceAsync(10)
    expect(JSON.parse(peek() ?? '')).to.deep.equal(entry)
    await timers.advanceAsync(5000)
    expect(gateway.announced).to.deep.equal([entry])
  })

  it('gets the entry when the store is back', async () => {
    const { timers, fake, createGateway, peek } = createSample()
    const gateway = createGateway()
    fake.faults.isDown = true
    gateway.entries.set('p', entry)
    gateway.publish(entry)
    await timers.advanceAsync(4500)
    expect(gateway.announced.length).to.equal(5)
    fake.faults.isDown = false
    await timers.advanceAsync(1100)
    expect(peek()).to.not.equal(undefined)
  })

  it('gives its entries to gateways that start', async () => {
    const { timers, createGateway } = createSample()
    createGateway().publish(entry)
    await timers.advanceAsync(10)
    const started = createGateway()
    started.applyView()
    expect([...started.entries.values()]).to.deep.equal([entry])
  })

  it('gets the entry again from the planner when it came back from an older copy', async () => {
    const { timers, fake, createGateway, peek } = createSample({ isPlanner: true })
    const copy = fake.saveCopy()
    const gateway = createGateway()
    gateway.entries.set('p', entry)
    gateway.publish(entry)
    await timers.advanceAsync(10)
    gateway.applyView()
    fake.restore(copy)
    gateway.forgetView()
    gateway.applyView()
    expect(gateway.entries.size).to.equal(1)
    await timers.advanceAsync(1100)
    expect(peek()).to.not.equal(undefined)
  })

  it('lifts an entry everywhere when an operator removes it', async () => {
    const { timers, fake, createGateway, peek } = createSample()
    const gateways = [createGateway(), createGateway()]
    gateways[0]?.publish(entry)
    await timers.advanceAsync(10)
    for (const gateway of gateways) gateway.applyView()
    fake.remove(`${storePrefix}p`)
    for (const gateway of gateways) gateway.applyView()
    await timers.advanceAsync(5000)
    expect(gateways.map(({ entries }) => entries.size)).to.deep.equal([0, 0])
    expect(peek()).to.equal(undefined)
  })

  it('gives each probe to one gateway', async () => {
    const { timers, createGateway, peek } = createSample()
    const gateways = [createGateway(), createGateway(), createGateway()]
    gateways[0]?.publish(entry)
    await timers.advanceAsync(10)
    const claims = Promise.all(gateways.map(gateway => gateway.claimProbe(entry)))
    await timers.advanceAsync(10)
    expect((await claims).filter(isClaimed => isClaimed).length).to.equal(1)
    expect(JSON.parse(peek() ?? '')).to.deep.equal({ partIds: ['p'], probeCount: 1 })
  })

  it('allows no probe while the store does not respond', async () => {
    const { timers, fake, createGateway } = createSample()
    const gateway = createGateway()
    gateway.publish(entry)
    await timers.advanceAsync(10)
    fake.faults.isDown = true
    const claim = gateway.claimProbe(entry)
    await timers.advanceAsync(10)
    expect(await claim).to.equal(false)
  })

  it('loses an entry that a served request refuted, also when the store was away', async () => {
    const { timers, fake, createGateway, peek } = createSample()
    const gateway = createGateway()
    gateway.publish(entry)
    await timers.advanceAsync(10)
    gateway.applyView()
    fake.faults.isDown = true
    gateway.release(entry, true)
    await timers.advanceAsync(2000)
    fake.faults.isDown = false
    gateway.applyView()
    expect(gateway.entries.size).to.equal(0)
    await timers.advanceAsync(1100)
    expect(peek()).to.equal(undefined)
  })

  // Each guards against an entry that comes back after a served request has refuted it, and refuses sound requests until the next probe (LOST).
  describe('an entry that is refuted while the views of the store do not show it yet', () => {
    it('is removed once they do', async () => {
      const { timers, view, createGateway, peek } = createSample()
      const [maker, other] = [createGateway(), createGateway()]
      view.isStale = true
      maker.entries.set('p', entry)
      maker.publish(entry)
      other.release(entry, true)
      await timers.advanceAsync(10)
      view.isStale = false
      maker.applyView()
      other.applyView()
      expect(other.entries.size).to.equal(0)
      await timers.advanceAsync(1100)
      expect(peek()).to.equal(undefined)
      maker.applyView()
      expect(maker.entries.size).to.equal(0)
    })

    it('is not written again by its maker, whose view never showed it', async () => {
      const { timers, fake, view, createGateway, peek } = createSample()
      const maker = createGateway()
      view.isStale = true
      maker.entries.set('p', entry)
      maker.publish(entry)
      await timers.advanceAsync(10)
      fake.remove(`${storePrefix}p`)
      await timers.advanceAsync(2500)
      // A view from before the write tells nothing of it.
      expect(maker.entries.size).to.equal(1)
      view.isStale = false
      await timers.advanceAsync(1100)
      expect(peek()).to.equal(undefined)
      expect(maker.entries.size).to.equal(0)
    })

    it('is not removed from the store by the gateways that only heard of it', async () => {
      const { timers, createGateway, peek } = createSample()
      const [maker, other] = [createGateway(), createGateway()]
      maker.publish(entry)
      await timers.advanceAsync(10)
      other.release(entry, false)
      other.applyView()
      await timers.advanceAsync(1100)
      expect(other.entries.size).to.equal(0)
      expect(peek()).to.not.equal(undefined)
      // The gateway that refuted it has removed it by now, or it stands.
      await timers.advanceAsync(3000)
      other.applyView()
      expect(other.entries.size).to.equal(1)
    })
  })

  // Guards against an entry that the store never holds, since its key would be longer than the 200 bytes of a key.
  it('has an entry of many long parts under a key that a store takes', async () => {
    const partIds = Array.from({ length: 40 }, (_, index) => `${'f'.repeat(30)}${index + 10}`)
    const { timers, fake, createGateway } = createSample()
    const first = createGateway()
    first.publish({ partIds, probeCount: 0 })
    await timers.advanceAsync(100)
    const key = storePrefix + formatEntryKey(partIds)
    expect(Buffer.byteLength(key)).to.be.at.most(200)
    expect(JSON.parse(fake.peek(key)?.value ?? '')).to.deep.equal({ partIds, probeCount: 0 })
    expect(formatEntryKey([...partIds].reverse())).to.equal(formatEntryKey(partIds))
    expect(formatEntryKey(partIds.slice(1))).to.not.equal(formatEntryKey(partIds))
  })

  it('ignores entries that are invalid', async () => {
    const { fake, createGateway } = createSample()
    const gateway = createGateway()
    for (const text of ['no entry', '{"partIds":["other"],"probeCount":0}', '{"partIds":[],"probeCount":0}']) {
      fake.put(`${storePrefix}p`, text)
      gateway.applyView()
    }
    expect(gateway.entries.size).to.equal(0)
  })
})
