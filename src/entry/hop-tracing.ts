import type { EngineStreams } from '../coordination/ports/engine-streams.js'
import type { ServiceClient } from '../coordination/ports/service-client.js'
import { DurationMetric, type Metrics } from '../observability/metrics.js'
import type { Traces, TraceSpan } from '../observability/traces.js'
import type { TimerService } from '../shared/timer-service.js'

export interface HopTracingOptions {
  readonly traces: Traces
  readonly metrics: Metrics
  readonly timers: TimerService
}

/** Wraps outgoing clients so that each call to an engine or a plain service (a hop) records a span and a duration. */
export interface HopTracing {
  traceEngineStreams (streams: EngineStreams): EngineStreams
  traceServiceClient (client: ServiceClient): ServiceClient
}

/** Creates the tracing of the hops of an entry node. The span of a hop continues the trace of its request. */
export function createHopTracing ({ traces, metrics, timers }: HopTracingOptions): HopTracing {
  function startHop (name: string, traceParent: string | undefined, address: string): { span: TraceSpan, end: (reason?: string) => void } {
    const startedMs = timers.nowMs()
    const span = traces.startRequest(name, traceParent, { 'egretpaddle.backend_address': address })
    return {
      span,
      end (reason) {
        metrics.recordDuration(DurationMetric.Hop, timers.nowMs() - startedMs)
        span.end(reason)
      }
    }
  }

  return {
    traceEngineStreams (streams) {
      return {
        async * open (address, request, signal) {
          const hop = startHop('engine stream', request.traceParent, address)
          let reason: string | undefined
          try {
            const error = yield * streams.open(address, { ...request, traceParent: hop.span.traceParent }, signal)
            reason = error?.reason
            return error
          } finally {
            hop.end(reason)
          }
        }
      }
    },
    traceServiceClient (client) {
      return {
        async call (address, request) {
          const hop = startHop('service call', request.traceParent, address)
          const result = await client.call(address, { ...request, traceParent: hop.span.traceParent })
          hop.end(result.isOk ? undefined : result.error.reason)
          return result
        }
      }
    }
  }
}
