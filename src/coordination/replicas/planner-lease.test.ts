import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createFakeRevisionedStore } from '../../testing/fake-revisioned-store.js'
import { createPlannerLease } from './planner-lease.js'

const key = 'egretpaddle/planner'
const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

function createWorld (nodeCount: number) {
  const timers = createVirtualTimerService()
  const fake = createFakeRevisionedStore(timers)
  const leases = Array.from({ length: nodeCount }, (_, index) => createPlannerLease({
    store: fake.store,
    timers,
    random: createRandomSource(index + 1),
    logger: silentLogger,
    nodeId: `node-${index}`,
    key,
    leaseMs: 2000,
    getRank: () => index,
    getRecord: () => fake.peek(key),
    isStoreViewCurrent: () => !fake.faults.isDown
  }))
  return { timers, fake, leases, listHolders: () => leases.filter(lease => lease.getGeneration() !== undefined) }
}

describe('planner lease', () => {
  it('is held by one gateway at a time, also over a long time', async () => {
    const { timers, leases, listHolders } = createWorld(5)
    for (const lease of leases) lease.start()
    for (let step = 0; step < 100; step += 1) {
      await timers.advanceAsync(200)
      expect(listHolders().length).to.be.at.most(1)
    }
    expect(listHolders().length).to.equal(1)
  })

  it('passes on with a higher generation when it is given back', async () => {
    const { timers, leases, listHolders } = createWorld(2)
    for (const lease of leases) lease.start()
    await timers.advanceAsync(1000)
    const first = listHolders()[0]
    const generation = first?.getGeneration() ?? 0
    void first?.stop()
    await timers.advanceAsync(1000)
    expect(listHolders().length).to.equal(1)
    expect(listHolders()[0]?.getGeneration()).to.be.greaterThan(generation)
  })

  it('is not used by its holder while the store does not answer for a lease', async () => {
    const { timers, fake, leases, listHolders } = createWorld(3)
    for (const lease of leases) lease.start()
    await timers.advanceAsync(1000)
    fake.faults.isDown = true
    await timers.advanceAsync(2100)
    expect(listHolders()).to.deep.equal([])
    fake.faults.isDown = false
    await timers.advanceAsync(4000)
    expect(listHolders().length).to.equal(1)
  })

  it('never has two holders when the answer to the write is lost or the write is late', async () => {
    const { timers, fake, leases, listHolders } = createWorld(4)
    fake.faults.lostAnswerCount = 2
    fake.faults.lateWriteCount = 2
    for (const lease of leases) lease.start()
    for (let step = 0; step < 100; step += 1) {
      await timers.advanceAsync(100)
      expect(listHolders().length).to.be.at.most(1)
    }
    expect(listHolders().length).to.equal(1)
  })
})
