import { expect } from 'chai'

import { createHoldTimes } from './group-condition.js'

describe('hold times', () => {
  it('measure from the first of consecutive sightings', () => {
    const holdTimes = createHoldTimes(1000)
    expect([0, 500, 1400].map(nowMs => holdTimes.track('missing', true, nowMs))).to.deep.equal([0, 500, 1400])
  })

  it('begin anew after a sighting to the contrary', () => {
    const holdTimes = createHoldTimes(1000)
    holdTimes.track('missing', true, 0)
    expect(holdTimes.track('missing', false, 500)).to.equal(0)
    expect(holdTimes.track('missing', true, 900)).to.equal(0)
  })

  it('begin anew after a gap, such as a pause of the process', () => {
    const holdTimes = createHoldTimes(1000)
    holdTimes.track('missing', true, 0)
    expect(holdTimes.track('missing', true, 60_000)).to.equal(0)
  })
})
