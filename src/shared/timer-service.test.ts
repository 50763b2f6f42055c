import { expect } from 'chai'

import { createSystemTimerService } from './timer-service.js'

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

    it('runs a listener without delay', async () => {
      await new Promise<void>(resolve => createSystemTimerService().subscribeOnce(0, resolve))
    })
  })
})
