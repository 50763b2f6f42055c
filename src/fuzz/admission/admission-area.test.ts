import { expect } from 'chai'

import type { AdmissionControl } from '../../coordination/admission/admission.js'
import { AdmissionKind, type AdmissionResult, type AdmissionRequest } from '../../coordination/admission/admission-types.js'
import { createCreditAllocator } from '../../coordination/routing/credit-allocator.js'
import { delay } from '../../shared/timer-service.js'
import { FinalPhase, fuzzAdmission } from './admission-area.js'
import { realParts, type WorldParts } from './admission-world.js'

const options = { seed: 1, runCount: 12, maxCommandCount: 40 }
/** Shorter histories, which shrink faster. */
const optionsOfBroken = { seed: 1, runCount: 60, maxCommandCount: 20 }

/** Runs with a broken part, which the oracle must catch; returns the message with the broken rule. */
async function findViolation (parts: Partial<WorldParts>, finalPhase: FinalPhase = FinalPhase.None): Promise<string> {
  const report = await fuzzAdmission(optionsOfBroken, { ...realParts, ...parts }, finalPhase)
  expect(report.isPassed).to.equal(false)
  return report.message ?? ''
}

function wrapRequests (change: (request: AdmissionRequest, admission: AdmissionControl) => Promise<AdmissionResult>): Partial<WorldParts> {
  return { wrapAdmission: admission => ({ ...admission, request: request => change(request, admission) }) }
}

describe('admission fuzz', () => {
  it('passes with the real parts', async () => {
    const report = await fuzzAdmission(options)
    expect(report.message).to.equal(undefined)
  })

  describe('catches', () => {
    it('a book that forgets what it granted', async () => {
      const parts: Partial<WorldParts> = {
        createBook: dependencies => createCreditAllocator({
          ...dependencies,
          settings: { ...dependencies.settings, forgetRouterAfterMs: 200, creditLifetimeMs: 0 }
        })
      }
      expect(await findViolation(parts)).to.match(/was given \d+ streams/)
    })

    it('a book that does not count what routers still hold', async () => {
      const parts: Partial<WorldParts> = {
        createBook (dependencies) {
          const book = createCreditAllocator(dependencies)
          return {
            ...book,
            recordPoll (nodeId, incarnation, demands, sequence) {
              const withoutHeld = demands.map(demand => ({
                ...demand,
                partners: demand.partners.map(partner => ({ ...partner, heldCreditCount: 0 }))
              }))
              book.recordPoll(nodeId, incarnation, withoutHeld, sequence)
            }
          }
        }
      }
      expect(await findViolation(parts, FinalPhase.Press)).to.match(/was given \d+ streams/)
    })

    it('a book that ignores the split', async () => {
      const parts: Partial<WorldParts> = {
        createBook: dependencies => createCreditAllocator({
          ...dependencies,
          getShares: () => dependencies.getShares().map(share => ({ ...share, capacityPercent: 50 }))
        })
      }
      expect(await findViolation(parts, FinalPhase.Press)).to.match(/instead of \d+ %/)
    })

    it('a book that lends nothing', async () => {
      const parts: Partial<WorldParts> = {
        createBook: dependencies => createCreditAllocator({
          ...dependencies,
          settings: { ...dependencies.settings, divider: { ...dependencies.settings.divider, reservePercent: 100 } }
        })
      }
      expect(await findViolation(parts, FinalPhase.Press)).to.match(/while the other was idle/)
    })

    it('a queue that holds what cannot meet its deadline', async () => {
      const parts = wrapRequests((request, admission) => admission.request({ ...request, deadlineMs: request.deadlineMs + 20_000 }))
      expect(await findViolation(parts)).to.match(/a request waited/)
    })

    it('a refusal that does not say when to come back', async () => {
      const parts = wrapRequests(async (request, admission) => {
        const answer = await admission.request(request)
        return answer.kind === AdmissionKind.Refused ? { ...answer, retryAfterMs: 0 } : answer
      })
      expect(await findViolation(parts)).to.match(/retry after 0 ms/)
    })

    it('a queue that keeps a request whose caller went away', async () => {
      const parts = wrapRequests(({ signal, ...request }, admission) => admission.request(request))
      expect(await findViolation(parts)).to.match(/cancelled request still waits/)
    })

    it('a slot that is never given back', async () => {
      const parts = wrapRequests(async (request, admission) => {
        const answer = await admission.request(request)
        return answer.kind === AdmissionKind.Admitted ? { ...answer, release: () => {} } : answer
      })
      expect(await findViolation(parts)).to.match(/counts \d+ streams/)
    })

    it('a refusal that comes late', async () => {
      const parts: Partial<WorldParts> = {
        wrapAdmission: (admission, timers) => ({
          ...admission,
          async request (request) {
            const answer = await admission.request(request)
            if (answer.kind === AdmissionKind.Refused) await delay(timers, request.deadlineMs)
            return answer
          }
        })
      }
      expect(await findViolation(parts)).to.match(/a request waited|cancelled request still waits/)
    })
  })
})
