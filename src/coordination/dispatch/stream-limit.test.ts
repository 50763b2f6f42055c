import { expect } from 'chai'

import { computeStreamLimit, estimateUnknownStreamCount, getQueueWaitMs, type StreamLimitInput } from './stream-limit.js'

describe('stream limit', () => {
  const slotCount = 20
  // A place costs 60 ms, and each other stream 2 ms.
  const input: StreamLimitInput = { slotCount, slotTimeMs: 1200, objectiveLeftMs: 400, unknownStreamCount: 0, getFirstEventMs: otherCount => 200 + 2 * otherCount }

  it('lets a stream queue while its first event meets the objective', () => {
    const limit = computeStreamLimit(input)
    expect(limit).to.equal(22)
    const getTotalMs = (count: number) => input.getFirstEventMs(slotCount - 1) + getQueueWaitMs(count - slotCount, slotCount, input.slotTimeMs)
    expect(getTotalMs(limit)).to.be.at.most(400)
    expect(getTotalMs(limit + 1)).to.be.greaterThan(400)
  })

  it('counts the time that has passed, and the pace of the replica', () => {
    expect(computeStreamLimit({ ...input, objectiveLeftMs: 300 })).to.equal(21)
    expect(computeStreamLimit(input, 1.3)).to.equal(21)
  })

  it('leaves slots free where other streams make the first event late', () => {
    expect(computeStreamLimit({ ...input, objectiveLeftMs: 220 })).to.equal(11)
  })

  it('leaves room for streams of other gateways that are not known yet', () => {
    expect(computeStreamLimit({ ...input, unknownStreamCount: 2.5 })).to.equal(20)
    expect(computeStreamLimit({ ...input, unknownStreamCount: 2.5, objectiveLeftMs: 240 })).to.equal(17)
    expect(estimateUnknownStreamCount(14, 1200, 60)).to.be.within(2, 3)
    expect(estimateUnknownStreamCount(14, 1200, 1)).to.equal(0)
    expect(estimateUnknownStreamCount(14, 0, 60)).to.equal(0)
  })

  // Guards against a limit that leaves slots free for nothing when objectives can't be met.
  it('gives up queueing, and no slots, when the objective is shorter than the time without other streams', () => {
    for (const objectiveLeftMs of [199, 0, -5000]) expect(computeStreamLimit({ ...input, objectiveLeftMs })).to.equal(slotCount)
  })

  it('is a quarter above the slots at most', () => {
    expect(computeStreamLimit({ ...input, objectiveLeftMs: 10_000 })).to.equal(25)
  })
})
