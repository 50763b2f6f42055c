import { expect } from 'chai'
import fc from 'fast-check'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createServiceRetryBudget, type ServiceRetryBudget, type ServiceRetryBudgetSettings } from './service-retry-budget.js'

const gatewayCount = 7
const gatewayStep = fc.record({
  gateway: fc.nat({ max: gatewayCount - 1 }),
  requestCount: fc.nat({ max: 20 }),
  attemptCount: fc.nat({ max: 20 }),
  pauseMs: fc.nat({ max: 800 })
})
const settings = { ratio: 0.2, slackCount: 132, windowMs: 10_000 }

/**
 * Checks the limit of `settings` on gateways that use `usedSettings`. The limit compares the attempts of a window with the
 * requests of the busiest of three windows, which start zero, half and one window earlier.
 */
function assertBound (usedSettings: ServiceRetryBudgetSettings): void {
  fc.assert(fc.property(fc.array(gatewayStep, { minLength: 100, maxLength: 200 }), steps => {
    const timers = createVirtualTimerService()
    const budgets = Array.from({ length: gatewayCount }, () => createServiceRetryBudget(timers, () => usedSettings, () => gatewayCount, -usedSettings.windowMs))
    const spentAtMs: number[] = []
    const requestedAtMs: number[] = []
    for (const { gateway, requestCount, attemptCount, pauseMs } of steps) {
      const budget = budgets[gateway] as ServiceRetryBudget
      for (let request = 0; request < requestCount; request += 1) {
        budget.recordRequest()
        requestedAtMs.push(timers.nowMs())
      }
      for (let attempt = 0; attempt < attemptCount; attempt += 1) {
        if (budget.trySpend()) spentAtMs.push(timers.nowMs())
      }
      timers.advance(pauseMs)
    }
    const count = (times: readonly number[], startMs: number) => times.filter(atMs => atMs >= startMs && atMs < startMs + settings.windowMs).length
    for (const startMs of spentAtMs) {
      const requestCount = Math.max(...[0, 0.5, 1].map(windows => count(requestedAtMs, startMs - windows * settings.windowMs)))
      expect(count(spentAtMs, startMs)).to.be.at.most(settings.ratio * requestCount + settings.slackCount)
    }
  }), { seed: 1, numRuns: 100, endOnFailure: true })
}

describe('service retry budget', () => {
  for (const requestsPerSecond of [0, 5, 40]) {
    it(`stays below the limit in every window when all gateways keep asking for second attempts (${requestsPerSecond}/s on each of 7 gateways)`, () => {
      const timers = createVirtualTimerService()
      const budgets = Array.from({ length: 7 }, () => createServiceRetryBudget(timers, () => settings, () => 7))
      const spentAtMs: number[] = []
      const requestedAtMs: number[] = []
      for (let step = 0; step < 400; step += 1) {
        for (const budget of budgets) {
          if (step * requestsPerSecond % 10 < requestsPerSecond) {
            budget.recordRequest()
            requestedAtMs.push(timers.nowMs())
          }
          for (let attempt = 0; attempt < 3; attempt += 1) {
            if (budget.trySpend()) spentAtMs.push(timers.nowMs())
          }
        }
        timers.advance(100)
      }
      for (let startMs = 0; startMs <= 30_000; startMs += 500) {
        const isInside = (atMs: number) => atMs >= startMs && atMs < startMs + settings.windowMs
        const bound = settings.ratio * requestedAtMs.filter(isInside).length + settings.slackCount
        expect(spentAtMs.filter(isInside).length).to.be.at.most(bound)
      }
      expect(spentAtMs.length).to.be.greaterThan(0)
    })
  }

  it('saves from the start of the process on, although the service is asked for later', () => {
    const timers = createVirtualTimerService()
    timers.advance(settings.windowMs)
    expect(createServiceRetryBudget(timers, () => settings, () => gatewayCount, 0).canSpend()).to.equal(true)
    expect(createServiceRetryBudget(timers, () => settings, () => gatewayCount).canSpend()).to.equal(false)
  })

  it('lets one gateway spend several saved attempts at once, as when a replica with several of its streams is lost', () => {
    const timers = createVirtualTimerService()
    const budget = createServiceRetryBudget(timers, () => ({ ...settings, slackCount: 312 }), () => 80)
    for (let step = 0; step < 120; step += 1) {
      budget.recordRequest()
      timers.advance(160)
    }
    const spentCount = Array.from({ length: 10 }, () => budget.trySpend()).filter(Boolean).length
    expect(spentCount).to.be.at.least(5)
  })

  it('stays below the limit for random requests and attempts at all gateways', () => {
    assertBound(settings)
  })

  it('exceeds the limit in random runs with twice the slack, or with four times the retries per request', () => {
    expect(() => assertBound({ ...settings, slackCount: 2 * settings.slackCount })).to.throw()
    expect(() => assertBound({ ...settings, ratio: 4 * settings.ratio })).to.throw()
  })

  it('stays below the limit when the load stops and all gateways ask for second attempts at once', () => {
    const timers = createVirtualTimerService()
    const budgets = Array.from({ length: 7 }, () => createServiceRetryBudget(timers, () => settings, () => 7))
    const spentAtMs: number[] = []
    const requestedAtMs: number[] = []
    for (let step = 0; step < 600; step += 1) {
      const isBusy = step < 200
      for (const budget of budgets) {
        for (let request = 0; request < (isBusy ? 4 : 0); request += 1) {
          budget.recordRequest()
          requestedAtMs.push(timers.nowMs())
        }
        for (let attempt = 0; attempt < (isBusy ? 0 : 5); attempt += 1) {
          if (budget.trySpend()) spentAtMs.push(timers.nowMs())
        }
      }
      timers.advance(100)
    }
    const count = (times: readonly number[], startMs: number) => times.filter(atMs => atMs >= startMs && atMs < startMs + settings.windowMs).length
    for (let startMs = 0; startMs <= 50_000; startMs += 250) {
      const requestCount = Math.max(...[0, 0.5, 1].map(windows => count(requestedAtMs, startMs - windows * settings.windowMs)))
      expect(count(spentAtMs, startMs)).to.be.at.most(settings.ratio * requestCount + settings.slackCount)
    }
  })

  // Guards against parts of the budget that are granted anew: to processes that start, or while the list of gateways is short (BUDGET).
  describe('stays below the limit for all gateways together', () => {
    const listedCount = 8

    interface Disturbance {
      readonly name: string
      readonly restartIntervalMs?: number
      getListedCount (nowMs: number): number
    }

    const disturbances: readonly Disturbance[] = [
      { name: 'while one of them starts again each second', restartIntervalMs: 1000, getListedCount: () => listedCount },
      { name: 'while one of them starts again each half second', restartIntervalMs: 500, getListedCount: () => listedCount },
      { name: 'while processes that start know no other gateway for a second', restartIntervalMs: 1000, getListedCount: ageMs => ageMs < 1000 ? 0 : listedCount },
      { name: 'while the list shows one gateway for 20 s', getListedCount: ageMs => ageMs > 30_000 && ageMs < 50_000 ? 1 : listedCount },
      { name: 'while the list shows one gateway from a time on', getListedCount: ageMs => ageMs > 30_000 ? 1 : listedCount },
      { name: 'while the list comes and goes each second', getListedCount: ageMs => ageMs % 2000 < 1000 ? 1 : listedCount }
    ]

    for (const requestsPerSecond of [1, 25]) {
      for (const { name, restartIntervalMs = Infinity, getListedCount } of disturbances) {
        it(`${name}, at ${requestsPerSecond} requests a second each`, () => {
          const timers = createVirtualTimerService()
          const start = () => {
            const startedAtMs = timers.nowMs()
            return createServiceRetryBudget(timers, () => ({ ...settings, slackCount: 134 }), () => getListedCount(timers.nowMs() - startedAtMs))
          }
          const budgets = Array.from({ length: listedCount }, start)
          const spentAtMs: number[] = []
          const requestedAtMs: number[] = []
          const stepMs = 40
          for (let step = 0; step < 60_000 / stepMs; step += 1) {
            const nowMs = timers.nowMs()
            if (nowMs > 0 && nowMs % restartIntervalMs < stepMs) budgets[Math.floor(nowMs / restartIntervalMs) % listedCount] = start()
            for (const budget of budgets) {
              if (step % (1000 / stepMs / requestsPerSecond) === 0) {
                budget.recordRequest()
                requestedAtMs.push(nowMs)
              }
              for (let attempt = 0; attempt < 20; attempt += 1) {
                if (budget.trySpend()) spentAtMs.push(nowMs)
              }
            }
            timers.advance(stepMs)
          }
          const count = (times: readonly number[], startMs: number) => times.filter(atMs => atMs >= startMs && atMs < startMs + settings.windowMs).length
          for (let startMs = 0; startMs <= 50_000; startMs += 500) {
            const requestCount = Math.max(...[0, 0.5, 1].map(windows => count(requestedAtMs, startMs - windows * settings.windowMs)))
            expect(count(spentAtMs, startMs), `from ${startMs} ms on`).to.be.at.most(settings.ratio * requestCount + 134)
          }
          expect(spentAtMs.length).to.be.greaterThan(0)
        })
      }
    }
  })
})
