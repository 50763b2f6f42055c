import { expect } from 'chai'

import type { EngineStreams } from '../ports/engine-streams.js'
import { runStreamsFuzz, type CreateModelStreams } from '../../fuzz/streams-area.js'
import { createModelStreams } from './model-streams.js'
import type { StreamAdmission } from './stream-outcome.js'

const options = { runCount: 150, maxCommandCount: 40 }

function wrap (change: { gate?: (gate: StreamAdmission) => StreamAdmission, engineStreams?: (streams: EngineStreams) => EngineStreams }): CreateModelStreams {
  return dependencies => createModelStreams({
    ...dependencies,
    admission: change.gate?.(dependencies.admission) ?? dependencies.admission,
    engineStreams: change.engineStreams?.(dependencies.engineStreams) ?? dependencies.engineStreams
  })
}

describe('model streams', () => {
  describe('under random faults', () => {
    for (const seed of [1, 2, 3]) {
      it(`delivers each token once and in order, with seed ${seed}`, async () => {
        const report = await runStreamsFuzz({ ...options, seed })
        expect(report.message ?? '').to.equal('')
      })
    }
  })

  describe('a broken variant is caught', () => {
    const variants: Record<string, CreateModelStreams> = {
      'that hands over without a check of the evidence': wrap({ gate: gate => ({ ...gate, canRouteTo: () => true }) }),
      'that does not hear of lost groups': wrap({
        gate: gate => ({ ...gate, onGroupLost: () => () => undefined })
      }),
      'that resumes from the beginning without dropping what was delivered': wrap({
        engineStreams: streams => ({
          async * open (address, request, signal) {
            const chunks = streams.open(address, { ...request, resumeFromToken: 0 }, signal)
            let shift = 0
            for (;;) {
              const next = await chunks.next()
              if (next.done === true) return next.value
              const { tokenIndex } = next.value
              if (tokenIndex === 0) shift = request.resumeFromToken
              yield { ...next.value, tokenIndex: tokenIndex === undefined ? undefined : tokenIndex + shift }
            }
          }
        })
      }),
      'that never gives its slot back': wrap({
        gate: gate => ({
          ...gate,
          async acquire (request, context) {
            const result = await gate.acquire(request, context)
            if (!result.isGranted) return result
            return { isGranted: true, grant: { ...result.grant, release: () => undefined } }
          }
        })
      }),
      'that takes every chunk for its own': wrap({
        engineStreams: streams => ({
          async * open (address, request, signal) {
            const chunks = streams.open(address, request, signal)
            for (;;) {
              const next = await chunks.next()
              if (next.done === true) return next.value
              const isOther = next.value.requestId !== request.requestId
              yield { ...next.value, requestId: request.requestId, ...(isOther ? { tokenIndex: undefined, isLast: true } : {}) }
            }
          }
        })
      })
    }
    for (const [name, createBroken] of Object.entries(variants)) {
      it(name, async () => {
        const report = await runStreamsFuzz({ ...options, seed: 1 }, createBroken)
        expect(report.isPassed).to.equal(false)
      })
    }
  })
})
