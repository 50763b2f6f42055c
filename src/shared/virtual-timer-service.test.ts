import { expect } from 'chai'

import { delay } from './timer-service.js'
import { createVirtualTimerService } from './virtual-timer-service.js'

describe('virtual timer service', () => {
  describe('advance', () => {
    it('runs callbacks in the order of their due time', () => {
      const timers = createVirtualTimerService()
      const seen: string[] = []
      timers.subscribeOnce(20, () => seen.push(`late at ${timers.nowMs()}`))
      timers.subscribeEvery(10, () => seen.push(`tick at ${timers.nowMs()}`))
      timers.advance(25)
      expect(seen).to.deep.equal(['tick at 10', 'late at 20', 'tick at 20'])
      expect(timers.nowMs()).to.equal(25)
    })

    it('does not run a cancelled callback', () => {
      const timers = createVirtualTimerService()
      let runCount = 0
      const subscription = timers.subscribeOnce(5, () => { runCount += 1 })
      subscription.cancel()
      timers.advance(10)
      expect(runCount).to.equal(0)
    })
  })

  describe('advanceAsync', () => {
    it('lets promise continuations schedule further callbacks within the span', async () => {
      const timers = createVirtualTimerService()
      let finishedAtMs = -1
      void delay(timers, 10).then(() => delay(timers, 10)).then(() => { finishedAtMs = timers.nowMs() })
      await timers.advanceAsync(30)
      expect(finishedAtMs).to.equal(20)
    })
  })
})
