import { expect } from 'chai'

import { createConditionDurations } from './group-condition.js'

describe('hold times', () => {
  it('count from the first observation without a gap', () => {
    const holdTimes = createConditionDurations(1000)
    expect([0, 500, 1400].map(nowMs => holdTimes.track('missing', true, nowMs))).to.deep.equal([0, 500, 1400])
  })

  it('restart after the condition did not hold', () => {
    const holdTimes = createConditionDurations(1000)
    holdTimes.track('missing', true, 0)
    expect(holdTimes.track('missing', false, 500)).to.equal(0)
    expect(holdTimes.track('missing', true, 900)).to.equal(0)
  })

  it('restart after a gap, such as a process pause', () => {
    const holdTimes = createConditionDurations(1000)
    holdTimes.track('missing', true, 0)
    expect(holdTimes.track('missing', true, 60_000)).to.equal(0)
  })
})
