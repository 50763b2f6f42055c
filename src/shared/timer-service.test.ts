import { expect } from 'chai'

import { mock } from 'node:test'

import { createSystemTimerService, maxTimeoutMs, type TimerService, type TimerSubscription } from './timer-service.js'

const dayMs = 86_400_000

describe('system timer service', () => {
  describe('subscribeOnce', () => {
    it('runs no listener before its delay has passed', async () => {
      const timers = createSystemTimerService()
      const delaysMs = Array.from({ length: 100 }, (_, index) => 5 + index * 0.19)
      const earlyByMs: number[] = []
      await Promise.all(delaysMs.map(delayMs => new Promise<void>(resolve => {
        const subscribedAtMs = timers.nowMs()
        timers.subscribeOnce(delayMs, () => {
          const elapsedMs = timers.nowMs() - subscribedAtMs
          if (elapsedMs < delayMs) earlyByMs.push(delayMs - elapsedMs)
          resolve()
        })
      })))
      expect(earlyByMs).to.deep.equal([])
    })

    for (const delayMs of [maxTimeoutMs + 1, 3e9, 2 ** 53, 1e300, Infinity]) {
      // Guards against a shutdown that cuts requests at once, since Node.js takes a delay of more than 24.8 days for 1 ms.
      it(`waits with a delay of ${delayMs} ms`, async () => {
        let runCount = 0
        const subscription = createSystemTimerService().subscribeOnce(delayMs, () => { runCount += 1 })
        await new Promise(resolve => setTimeout(resolve, 20))
        subscription.cancel()
        expect(runCount).to.equal(0)
      })
    }

    it('runs a listener without delay', async () => {
      await new Promise<void>(resolve => createSystemTimerService().subscribeOnce(0, resolve))
    })
  })

  describe('with delays that Node.js\'s timers do not hold', () => {
    beforeEach(() => mock.timers.enable({ apis: ['setTimeout', 'setInterval'] }))

    afterEach(() => mock.timers.reset())

    /** Advances the time by 200 days, and returns on which of them the listener ran. */
    function listDaysOfRuns (subscribe: (timers: TimerService, listener: () => void) => TimerSubscription, cancelAfterDays = 200): number[] {
      const days: number[] = []
      let hours = 0
      const subscription = subscribe(createSystemTimerService(), () => {
        if (days.push(Math.floor(hours / 24)) > 10) throw new Error('the listener runs far too often')
      })
      for (hours = 1; hours <= 200 * 24; hours += 1) {
        mock.timers.tick(dayMs / 24)
        if (hours === cancelAfterDays * 24) subscription.cancel()
      }
      return days
    }

    it('runs a listener once, when its delay has passed', () => {
      expect(listDaysOfRuns((timers, listener) => timers.subscribeOnce(60.2 * dayMs, listener))).to.deep.equal([60])
    })

    it('runs a listener after each interval', () => {
      expect(listDaysOfRuns((timers, listener) => timers.subscribeEvery(60.2 * dayMs, listener))).to.deep.equal([60, 120, 180])
    })

    it('runs no listener that was cancelled in a later step', () => {
      expect(listDaysOfRuns((timers, listener) => timers.subscribeOnce(60.2 * dayMs, listener), 30)).to.deep.equal([])
      expect(listDaysOfRuns((timers, listener) => timers.subscribeEvery(60.2 * dayMs, listener), 130)).to.deep.equal([60, 120])
    })
  })
})
