import { expect } from 'chai'

import { computeQueueLimit, getQueueWaitMs } from './queue-limit.js'

describe('queue limit', () => {
  const slotCount = 20
  // A place costs 60 ms.
  const expected = { firstEventMs: 200, slotTimeMs: 1200, objectiveLeftMs: 350 }

  it('lets a stream queue while its first event meets the objective', () => {
    const limit = computeQueueLimit(slotCount, expected)
    expect(limit).to.equal(2)
    expect(expected.firstEventMs + getQueueWaitMs(limit, slotCount, expected.slotTimeMs)).to.be.at.most(expected.objectiveLeftMs)
    expect(expected.firstEventMs + getQueueWaitMs(limit + 1, slotCount, expected.slotTimeMs)).to.be.greaterThan(expected.objectiveLeftMs)
  })

  it('counts the time that has passed, and the pace of the replica', () => {
    expect(computeQueueLimit(slotCount, { ...expected, objectiveLeftMs: 280 })).to.equal(1)
    expect(computeQueueLimit(slotCount, expected, 1.3)).to.equal(1)
  })

  // Guards against a negative limit, which would leave slots free when objectives can't be met.
  it('gives up queueing, and no slots, when the objective is shorter than the time without a queue', () => {
    for (const objectiveLeftMs of [199, 0, -5000]) expect(computeQueueLimit(slotCount, { ...expected, objectiveLeftMs })).to.equal(0)
  })

  it('is a quarter of the slots at most, and without known times', () => {
    expect(computeQueueLimit(slotCount, { ...expected, objectiveLeftMs: 10_000 })).to.equal(5)
    expect(computeQueueLimit(slotCount, undefined)).to.equal(5)
    expect(computeQueueLimit(slotCount, { ...expected, slotTimeMs: 0 })).to.equal(5)
  })
})
