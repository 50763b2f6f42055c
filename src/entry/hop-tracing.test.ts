import { expect } from 'chai'

import { ServiceErrorKind } from '../coordination/ports/service-client.js'
import { createMetrics } from '../observability/metrics.js'
import type { Traces, TraceSpan } from '../observability/traces.js'
import { failure } from '../shared/result.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createHopTracing } from './hop-tracing.js'

function createFakeTraces (ended: string[]): Traces {
  const createSpan = (name: string, parent: string | undefined): TraceSpan => ({
    traceParent: `${parent}/${name}`,
    startChild: child => createSpan(child, name),
    addAttributes: () => undefined,
    end: reason => { ended.push(`${name}: ${reason ?? 'done'}`) }
  })
  return { startRequest: createSpan, shutdown: () => Promise.resolve() }
}

describe('hop tracing', () => {
  const request = { method: 'POST', path: '/', contentType: '', body: Buffer.alloc(0), timeoutMs: 1, traceParent: 'request' }

  it('continues the trace of the request and ends the span with the error', async () => {
    const ended: string[] = []
    const seen: Array<string | undefined> = []
    const tracing = createHopTracing({ traces: createFakeTraces(ended), metrics: createMetrics(), timers: createVirtualTimerService() })
    const client = tracing.traceServiceClient({
      async call (_address, sent) {
        seen.push(sent.traceParent)
        return failure({ kind: ServiceErrorKind.NotSent, reason: 'refused' })
      }
    })
    await client.call('a:1', request)
    expect(seen).to.deep.equal(['request/service call'])
    expect(ended).to.deep.equal(['service call: refused'])
  })

  it('ends the span of a stream when its consumer stops reading', async () => {
    const ended: string[] = []
    const metrics = createMetrics()
    const tracing = createHopTracing({ traces: createFakeTraces(ended), metrics, timers: createVirtualTimerService() })
    const streams = tracing.traceEngineStreams({
      async * open () {
        yield { data: '', requestId: 'r', tokenIndex: 0, tokenCount: 1, isLast: false, isUsage: false }
        return undefined
      }
    })
    const chunks = streams.open('a:1', {} as never, new AbortController().signal)
    await chunks.next()
    expect(ended).to.deep.equal([])
    await chunks.return(undefined)
    expect(ended).to.deep.equal(['engine stream: done'])
    expect(await metrics.render()).to.contain('egretpaddle_hop_count 1')
  })
})
