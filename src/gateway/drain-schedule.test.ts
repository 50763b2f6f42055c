import { expect } from 'chai'

import { computeDrainSchedule, type DrainSchedule } from './drain-schedule.js'

/** Rounding errors of the fractions. */
const toleranceMs = 0.001

describe('drain schedule', () => {
  const limitsMs = Array.from({ length: 291 }, (_, index) => 1000 + index * 100)

  function checkAll (check: (schedule: DrainSchedule, limitMs: number) => void): void {
    for (const limitMs of limitsMs) check(computeDrainSchedule(limitMs), limitMs)
  }

  it('has the usual times for a limit of 8 s', () => {
    expect(computeDrainSchedule(8000)).to.eql({ lateFromMs: 2500, acceptsUntilMs: 2500, quietLimitMs: 1000, givesUpAtMs: 7300, lastResponsesMs: 100 })
  })

  it('is made of times in order, none of them negative, also for a limit of 0 or below', () => {
    for (const limitMs of [-1, 0, 1, ...limitsMs]) {
      const { lateFromMs, acceptsUntilMs, quietLimitMs, givesUpAtMs, lastResponsesMs } = computeDrainSchedule(limitMs)
      expect(Math.min(lateFromMs, quietLimitMs, lastResponsesMs)).to.be.at.least(0)
      expect(lateFromMs).to.be.at.most(acceptsUntilMs)
      expect(acceptsUntilMs).to.be.at.most(givesUpAtMs)
    }
  })

  describe('for limits of 1 s to 30 s', () => {
    it('leaves half of the limit to each request that is taken whatever it may last', () => {
      checkAll(({ lateFromMs, givesUpAtMs }, limitMs) => expect(givesUpAtMs - lateFromMs).to.be.at.least(limitMs / 2))
    })

    it('refuses late requests as soon as connections are not accepted any more', () => {
      checkAll(({ lateFromMs, acceptsUntilMs }) => expect(lateFromMs).to.be.at.most(acceptsUntilMs))
    })

    it('accepts connections until the balancer has noticed, if the limit leaves room for that', () => {
      checkAll(({ acceptsUntilMs }, limitMs) => {
        if (limitMs >= 6000) expect(acceptsUntilMs).to.equal(2500)
        expect(acceptsUntilMs).to.be.at.least(Math.min(2500, limitMs * 0.45))
      })
    })

    it('lets a connection that was just in use become quiet and be closed before the end', () => {
      checkAll(({ acceptsUntilMs, quietLimitMs, givesUpAtMs }) => expect(acceptsUntilMs + 2 * quietLimitMs).to.be.at.most(givesUpAtMs + toleranceMs))
    })

    it('gives requests up within the last sixth of the limit, and ends before it', () => {
      checkAll(({ givesUpAtMs, lastResponsesMs }, limitMs) => {
        expect(givesUpAtMs).to.be.at.least(limitMs * 5 / 6 - toleranceMs)
        expect(givesUpAtMs + lastResponsesMs).to.be.at.most(limitMs - Math.min(600, limitMs / 10))
      })
    })

    it('takes no step earlier for a longer limit', () => {
      let former = computeDrainSchedule(1000)
      checkAll(schedule => {
        expect(schedule.lateFromMs).to.be.at.least(former.lateFromMs)
        expect(schedule.acceptsUntilMs).to.be.at.least(former.acceptsUntilMs - toleranceMs)
        expect(schedule.givesUpAtMs).to.be.at.least(former.givesUpAtMs)
        former = schedule
      })
    })
  })
})
