import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createRetryShare } from './retry-share.js'

const settings = { ratio: 0.2, slackCount: 132, windowMs: 10_000 }

describe('retry share', () => {
  for (const requestsPerSecond of [0, 5, 40]) {
    it(`stays below the bound in every window when every request asks for second attempts (${requestsPerSecond}/s on each of 7 gateways)`, () => {
      const timers = createVirtualTimerService()
      const shares = Array.from({ length: 7 }, () => createRetryShare(timers, () => settings, () => 7))
      const takenAtMs: number[] = []
      const requestedAtMs: number[] = []
      for (let step = 0; step < 400; step += 1) {
        for (const share of shares) {
          if (step * requestsPerSecond % 10 < requestsPerSecond) {
            share.noteRequest()
            requestedAtMs.push(timers.nowMs())
          }
          for (let attempt = 0; attempt < 3; attempt += 1) {
            if (share.tryTake()) takenAtMs.push(timers.nowMs())
          }
        }
        timers.advance(100)
      }
      for (let startMs = 0; startMs <= 30_000; startMs += 500) {
        const isInside = (atMs: number) => atMs >= startMs && atMs < startMs + settings.windowMs
        const bound = settings.ratio * requestedAtMs.filter(isInside).length + settings.slackCount
        expect(takenAtMs.filter(isInside).length).to.be.at.most(bound)
      }
      expect(takenAtMs.length).to.be.greaterThan(0)
    })
  }
})
