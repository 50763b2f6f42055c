import { expect } from 'chai'

import type { EngineStreams } from '../ports/engine-streams.js'
import { runStreamsFuzz, type CreateModelStreams } from '../../fuzz/streams-area.js'
import { createModelStreams } from './model-streams.js'
import type { StreamAdmission } from './stream-types.js'

const options = { runCount: 150, maxCommandCount: 40 }

function wrap (change: { admission?: (admission: StreamAdmission) => StreamAdmission, engineStreams?: (streams: EngineStreams) => EngineStreams }): CreateModelStreams {
  return dependencies => createModelStreams({
    ...dependencies,
    admission: change.admission?.(dependencies.admission) ?? dependencies.admission,
    engineStreams: change.engineStreams?.(dependencies.engineStreams) ?? dependencies.engineStreams
  })
}

describe('model streams', () => {
  describe('under random faults', () => {
    for (const seed of [1, 2, 3]) {
      it(`deliver each token once and in order, with seed ${seed}`, async () => {
        const report = await runStreamsFuzz({ ...options, seed })
        expect(report.message ?? '').to.equal('')
      })
    }
  })

  describe('fail the fuzz run in a variant', () => {
    const variants: Record<string, CreateModelStreams> = {
      'that does not check the evidence before it sends a request': wrap({ admission: admission => ({ ...admission, canRouteTo: () => true }) }),
      'that ignores lost groups': wrap({
        admission: admission => ({ ...admission, onGroupLost: () => () => undefined })
      }),
      'that resumes from the first token without dropping delivered tokens': wrap({
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
      'that never releases its slot': wrap({
        admission: admission => ({
          ...admission,
          async acquire (request, context) {
            const result = await admission.acquire(request, context)
            if (!result.isGranted) return result
            return { isGranted: true, grant: { ...result.grant, release: () => undefined } }
          }
        })
      }),
      'that accepts chunks of other requests': wrap({
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
