import { expect } from 'chai'

import type { AdmissionControl } from '../../coordination/admission/admission.js'
import { AdmissionKind, type AdmissionResult, type AdmissionRequest } from '../../coordination/admission/admission-types.js'
import { createCreditAllocator } from '../../coordination/routing/credit-allocator.js'
import { delay } from '../../shared/timer-service.js'
import { FinalPhase, runAdmissionFuzz } from './admission-area.js'
import { realParts, type WorldParts } from './admission-world.js'

const options = { seed: 1, runCount: 12, maxCommandCount: 40 }
/** Options for broken parts, with shorter histories that shrink faster. */
const brokenPartOptions = { seed: 1, runCount: 60, maxCommandCount: 20 }

/** Fuzzes a broken part, expects a violation and returns its message. */
async function findViolation (parts: Partial<WorldParts>, finalPhase: FinalPhase = FinalPhase.None): Promise<string> {
  const report = await runAdmissionFuzz(brokenPartOptions, { ...realParts, ...parts }, finalPhase)
  expect(report.isPassed).to.equal(false)
  return report.message ?? ''
}

function wrapRequests (change: (request: AdmissionRequest, admission: AdmissionControl) => Promise<AdmissionResult>): Partial<WorldParts> {
  return { wrapAdmission: admission => ({ ...admission, request: request => change(request, admission) }) }
}

describe('admission fuzz', () => {
  it('passes with the real parts', async () => {
    const report = await runAdmissionFuzz(options)
    expect(report.message).to.equal(undefined)
  })

  describe('catches', () => {
    it('an allocator that forgets the credits it granted', async () => {
      const parts: Partial<WorldParts> = {
        createAllocator: dependencies => createCreditAllocator({
          ...dependencies,
          settings: { ...dependencies.settings, forgetRouterAfterMs: 200, creditLifetimeMs: 0 }
        })
      }
      expect(await findViolation(parts)).to.match(/serves \d+ streams, but only \d+ are allowed/)
    })

    it('an allocator that does not count the credits that routers hold', async () => {
      const parts: Partial<WorldParts> = {
        createAllocator (dependencies) {
          const allocator = createCreditAllocator(dependencies)
          return {
            ...allocator,
            recordPoll (nodeId, incarnation, demands, sequence) {
              const withoutHeld = demands.map(demand => ({
                ...demand,
                partners: demand.partners.map(partner => ({ ...partner, heldCreditCount: 0 }))
              }))
              allocator.recordPoll(nodeId, incarnation, withoutHeld, sequence)
            }
          }
        }
      }
      expect(await findViolation(parts, FinalPhase.Saturate)).to.match(/serves \d+ streams, but only \d+ are allowed/)
    })

    it('an allocator that ignores the traffic split', async () => {
      const parts: Partial<WorldParts> = {
        createAllocator: dependencies => createCreditAllocator({
          ...dependencies,
          getShares: () => dependencies.getShares().map(share => ({ ...share, capacityPercent: 50 }))
        })
      }
      expect(await findViolation(parts, FinalPhase.Saturate)).to.match(/instead of \d+ %/)
    })

    it('an allocator that lends no credits', async () => {
      const parts: Partial<WorldParts> = {
        createAllocator: dependencies => createCreditAllocator({
          ...dependencies,
          settings: { ...dependencies.settings, divider: { ...dependencies.settings.divider, reservePercent: 100 } }
        })
      }
      expect(await findViolation(parts, FinalPhase.Saturate)).to.match(/while the other was idle/)
    })

    it('a queue that keeps a request that cannot meet its deadline', async () => {
      const parts = wrapRequests((request, admission) => admission.request({ ...request, deadlineMs: request.deadlineMs + 20_000 }))
      expect(await findViolation(parts)).to.match(/a request waited/)
    })

    it('a refusal without a retry delay', async () => {
      const parts = wrapRequests(async (request, admission) => {
        const result = await admission.request(request)
        return result.kind === AdmissionKind.Refused ? { ...result, retryAfterMs: 0 } : result
      })
      expect(await findViolation(parts)).to.match(/retry after 0 ms/)
    })

    it('a queue that keeps a cancelled request', async () => {
      const parts = wrapRequests(({ signal, ...request }, admission) => admission.request(request))
      expect(await findViolation(parts)).to.match(/cancelled request still waits/)
    })

    it('a slot that is never released', async () => {
      const parts = wrapRequests(async (request, admission) => {
        const result = await admission.request(request)
        return result.kind === AdmissionKind.Admitted ? { ...result, release: () => {} } : result
      })
      expect(await findViolation(parts)).to.match(/counts \d+ streams/)
    })

    it('a refusal after the deadline', async () => {
      const parts: Partial<WorldParts> = {
        wrapAdmission: (admission, timers) => ({
          ...admission,
          async request (request) {
            const result = await admission.request(request)
            if (result.kind === AdmissionKind.Refused) await delay(timers, request.deadlineMs)
            return result
          }
        })
      }
      expect(await findViolation(parts)).to.match(/a request waited|cancelled request still waits/)
    })
  })
})
