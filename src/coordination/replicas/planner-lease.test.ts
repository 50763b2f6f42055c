import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createFakeRevisionedStore } from '../../testing/fake-revisioned-store.js'
import { createPlannerLease } from './planner-lease.js'

const key = 'egretpaddle/planner'
const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

function createFixture (nodeCount: number) {
  const timers = createVirtualTimerService()
  const fake = createFakeRevisionedStore(timers)
  const recordReadCounts: number[] = []
  const leases = Array.from({ length: nodeCount }, (_, index) => createPlannerLease({
    store: fake.store,
    timers,
    random: createRandomSource(index + 1),
    logger: silentLogger,
    nodeId: `node-${index}`,
    key,
    leaseMs: 2000,
    getRank: () => index,
    getRecord () {
      recordReadCounts[index] = (recordReadCounts[index] ?? 0) + 1
      return fake.peek(key)
    },
    isStoreViewCurrent: () => !fake.faults.isDown,
    getStoreEra: fake.getEra,
    onAcquired () {}
  }))
  return { timers, fake, leases, countRecordReads: (index: number) => recordReadCounts[index] ?? 0, listHolders: () => leases.filter(lease => lease.getFencingToken() !== undefined) }
}

describe('planner lease', () => {
  it('is held by at most one gateway at any time', async () => {
    const { timers, leases, listHolders } = createFixture(5)
    for (const lease of leases) lease.start()
    for (let step = 0; step < 100; step += 1) {
      await timers.advanceAsync(200)
      expect(listHolders().length).to.be.at.most(1)
    }
    expect(listHolders().length).to.equal(1)
  })

  it('passes to another gateway with a higher fencing token when its holder stops', async () => {
    const { timers, leases, listHolders } = createFixture(2)
    for (const lease of leases) lease.start()
    await timers.advanceAsync(1000)
    const first = listHolders()[0]
    const fencingToken = first?.getFencingToken() ?? 0
    void first?.stop()
    await timers.advanceAsync(1000)
    expect(listHolders().length).to.equal(1)
    expect(listHolders()[0]?.getFencingToken()).to.be.greaterThan(fencingToken)
  })

  it('is no longer held when the store has not answered for the time of the lease', async () => {
    const { timers, fake, leases, listHolders } = createFixture(3)
    for (const lease of leases) lease.start()
    await timers.advanceAsync(1000)
    fake.faults.isDown = true
    await timers.advanceAsync(2100)
    expect(listHolders()).to.deep.equal([])
    fake.faults.isDown = false
    await timers.advanceAsync(4000)
    expect(listHolders().length).to.equal(1)
  })

  it('never has two holders when responses to writes are lost or writes are late', async () => {
    const { timers, fake, leases, listHolders } = createFixture(4)
    fake.faults.lostResponseCount = 2
    fake.faults.lateWriteCount = 2
    for (const lease of leases) lease.start()
    for (let step = 0; step < 100; step += 1) {
      await timers.advanceAsync(100)
      expect(listHolders().length).to.be.at.most(1)
    }
    expect(listHolders().length).to.equal(1)
  })

  describe('while another gateway is the planner', () => {
    async function createWithPlanner () {
      const fixture = createFixture(2)
      const [first, second] = fixture.leases
      first?.start()
      await fixture.timers.advanceAsync(500)
      second?.start()
      await fixture.timers.advanceAsync(500)
      return { ...fixture, first, second }
    }

    it('looks at the record about once a second', async () => {
      const { timers, second, countRecordReads } = await createWithPlanner()
      const before = countRecordReads(1)
      await timers.advanceAsync(10_000)
      expect(second?.getFencingToken()).to.equal(undefined)
      expect(countRecordReads(1) - before).to.be.at.most(40)
    })

    it('is acquired at once when it is told that the record has gone', async () => {
      const { timers, first, second } = await createWithPlanner()
      void first?.stop()
      await timers.advanceAsync(20)
      second?.checkNow()
      // The second gateway waits up to 200 ms by its rank.
      await timers.advanceAsync(250)
      expect(second?.getFencingToken()).to.not.equal(undefined)
    })
  })

  describe('when the store comes back from a copy', () => {
    it('is given up at once, and the next fencing token is higher although revisions are given out again', async () => {
      const { timers, fake, leases, listHolders } = createFixture(3)
      const copy = fake.saveCopy()
      for (const lease of leases) lease.start()
      await timers.advanceAsync(1000)
      const before = listHolders()[0]?.getFencingToken() ?? Infinity
      fake.restore(copy)
      expect(listHolders()).to.deep.equal([])
      await timers.advanceAsync(3000)
      expect(listHolders().length).to.equal(1)
      expect(listHolders()[0]?.getFencingToken()).to.be.greaterThan(before)
    })

    it('has at most one holder at any time', async () => {
      const { timers, fake, leases, listHolders } = createFixture(5)
      for (const lease of leases) lease.start()
      await timers.advanceAsync(1000)
      for (let step = 0; step < 200; step += 1) {
        const copy = fake.saveCopy()
        await timers.advanceAsync(70 + step % 9 * 60)
        expect(listHolders().length).to.be.at.most(1)
        if (step % 4 === 0) fake.restore(copy)
      }
      await timers.advanceAsync(5000)
      expect(listHolders().length).to.equal(1)
    })

    it('is not kept alive by the id of a lease that now belongs to another gateway', async () => {
      const { timers, fake, leases, listHolders } = createFixture(1)
      const copy = fake.saveCopy()
      leases[0]?.start()
      await timers.advanceAsync(1000)
      fake.restore(copy)
      // The same id as the planner's lease had in the era before.
      const foreign = await Promise.race([fake.store.grantLease(60_000), timers.advanceAsync(10).then(() => undefined)])
      expect(foreign?.isOk).to.equal(true)
      await timers.advanceAsync(100)
      expect(listHolders()).to.deep.equal([])
    })

    it('removes a record that names it but hangs on the lease of another gateway', async () => {
      const { timers, fake, leases, listHolders } = createFixture(1)
      void fake.store.grantLease(60_000).then(granted => {
        if (granted.isOk) void fake.store.write({ key, expectedRevision: 0, value: 'node-0 1', leaseId: granted.value.leaseId })
      })
      await timers.advanceAsync(100)
      leases[0]?.start()
      await timers.advanceAsync(3000)
      expect(listHolders()).to.deep.equal([])
      await timers.advanceAsync(4000)
      expect(listHolders().length).to.equal(1)
    })
  })
})
