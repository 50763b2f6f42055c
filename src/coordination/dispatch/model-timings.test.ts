import { expect } from 'chai'

import { createModelTimings, type ModelTimings } from './model-timings.js'

describe('model timings', () => {
  let timings: ModelTimings

  beforeEach(() => {
    timings = createModelTimings()
  })

  function record (values: readonly number[], calculatedMs = 100): void {
    for (const value of values) timings.recordFirstEvent('s/m', value, calculatedMs)
  }

  it('are the calculated times before anything was measured', () => {
    expect(timings.getFirstEventMs('s/m', 130)).to.equal(130)
    expect(timings.getWritingMs('s/m')).to.equal(undefined)
  })

  it('add the measured overhead to the calculated time of another prompt, for each model by itself', () => {
    record(Array.from({ length: 40 }, () => 200))
    expect(timings.getFirstEventMs('s/m', 150)).to.be.closeTo(250, 1)
    expect(timings.getFirstEventMs('s/other', 150)).to.equal(150)
  })

  it('are times that most streams stay below', () => {
    const values = Array.from({ length: 200 }, (_, index) => 150 + (index * 37) % 100)
    record(values)
    const share = values.filter(value => value <= timings.getFirstEventMs('s/m', 100)).length / values.length
    expect(share).to.be.within(0.65, 0.95)
  })

  // Guards against queueing that is given up for long after one lost replica.
  it('forget one stream that was very late within some streams', () => {
    record(Array.from({ length: 20 }, () => 200))
    record([9000])
    record(Array.from({ length: 48 }, () => 200))
    expect(timings.getFirstEventMs('s/m', 100)).to.be.lessThan(220)
  })

  it('follow replicas that become slow and fast again', () => {
    record(Array.from({ length: 20 }, () => 200))
    record(Array.from({ length: 60 }, () => 500))
    expect(timings.getFirstEventMs('s/m', 100)).to.be.within(480, 560)
    record(Array.from({ length: 100 }, () => 150))
    expect(timings.getFirstEventMs('s/m', 100)).to.be.lessThan(180)
  })

  it('give the mean time of writing', () => {
    for (const value of [1000, 1200, 1100]) timings.recordWriting('s/m', value)
    expect(timings.getWritingMs('s/m')).to.be.closeTo(1100, 1)
  })
})
