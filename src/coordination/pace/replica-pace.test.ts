import { expect } from 'chai'

import { adoptStatement, createFullPace, fullFraction, lower, rampByTime, recordInTime, recordLate, startPace, toStreamLimit, type ReplicaPace } from './replica-pace.js'

const slotCount = 14

describe('pace of a replica', () => {
  let pace: ReplicaPace

  beforeEach(() => { pace = createFullPace() })

  describe('that starts', () => {
    beforeEach(() => startPace(pace))

    it('has a quarter of its slots, at least two streams', () => {
      expect(toStreamLimit(pace.fraction, slotCount)).to.equal(4)
      expect(toStreamLimit(pace.fraction, 4)).to.equal(2)
    })

    it('has all slots after two responses in time', () => {
      recordInTime(pace)
      expect(toStreamLimit(pace.fraction, slotCount)).to.equal(7)
      recordInTime(pace)
      expect(toStreamLimit(pace.fraction, slotCount)).to.equal(slotCount)
    })

    it('falls for one late response', () => {
      expect(recordLate(pace, 1000, 4)).to.equal(true)
      expect(toStreamLimit(pace.fraction, slotCount)).to.equal(2)
    })

    // Guards against a ramp that ends before the replica has served anything.
    it('does not rise by time without streams', () => {
      for (let nowMs = 0; nowMs < 10_000; nowMs += 100) rampByTime(pace, nowMs, false, false)
      expect(toStreamLimit(pace.fraction, slotCount)).to.equal(4)
    })

    it('rises by time while it has streams, but not while one is overdue', () => {
      for (let nowMs = 0; nowMs <= 600; nowMs += 100) rampByTime(pace, nowMs, true, false)
      expect(toStreamLimit(pace.fraction, slotCount)).to.equal(7)
      for (let nowMs = 700; nowMs <= 5000; nowMs += 100) rampByTime(pace, nowMs, true, true)
      expect(toStreamLimit(pace.fraction, slotCount)).to.equal(7)
    })
  })

  describe('after a fall', () => {
    // Guards against one long prompt that lowers the limit of a sound replica.
    it('takes two late signals in a row at a proven replica', () => {
      recordInTime(pace)
      expect(recordLate(pace, 1000, 3)).to.equal(false)
      recordInTime(pace)
      expect(recordLate(pace, 1300, 3)).to.equal(false)
      expect(recordLate(pace, 1600, 3)).to.equal(true)
    })

    it('rises in even steps', () => {
      lower(pace, 1000, 1)
      const fractions = Array.from({ length: 2 }, () => {
        recordInTime(pace)
        return pace.fraction
      })
      expect(fractions).to.deep.equal([0.75, fullFraction])
    })

    // Guards against several streams of one pass that lower the limit once each.
    it('does not fall again for what was sent at the same time', () => {
      expect(lower(pace, 1000, 1)).to.equal(true)
      expect(lower(pace, 1100, 1)).to.equal(false)
      expect(lower(pace, 1200, 1)).to.equal(true)
    })

    it('never goes below one stream', () => {
      for (let nowMs = 0; nowMs < 10_000; nowMs += 200) lower(pace, nowMs, 1)
      expect(toStreamLimit(pace.fraction, slotCount)).to.be.within(1, 2)
      expect(toStreamLimit(pace.fraction, 4)).to.equal(1)
    })
  })

  describe('and the statement of another gateway', () => {
    it('is adopted when the replica fell there', () => {
      recordInTime(pace)
      expect(adoptStatement(pace, { limitPercent: 25, factorPercent: 400, isFallen: true }, 1000)).to.equal(true)
      expect(pace).to.include({ fraction: 0.25, isProven: false, hasOwnEvidence: false })
    })

    // Guards against old reports of gateways on the same way up, which would slow each other down.
    it('does not lower the limit when it is rising there and this gateway has had responses in time', () => {
      startPace(pace)
      recordInTime(pace)
      expect(adoptStatement(pace, { limitPercent: 25, factorPercent: 100, isFallen: false }, 1000)).to.equal(false)
      expect(pace.fraction).to.equal(0.5)
    })

    it('lowers the limit when it is rising there and this gateway knows nothing of the replica', () => {
      expect(adoptStatement(pace, { limitPercent: 25, factorPercent: 100, isFallen: false }, 1000)).to.equal(true)
      expect(pace.fraction).to.equal(0.25)
    })

    it('cannot take the last stream', () => {
      adoptStatement(pace, { limitPercent: 0, factorPercent: 100, isFallen: true }, 1000)
      expect(toStreamLimit(pace.fraction, slotCount)).to.be.at.least(1)
    })
  })
})
