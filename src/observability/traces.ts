import { appendFile } from 'node:fs/promises'

import { defaultTextMapGetter, ROOT_CONTEXT, SpanStatusCode, trace, type Span, type Tracer } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  type ReadableSpan,
  type SpanExporter,
  type SpanProcessor
} from '@opentelemetry/sdk-trace-node'

import type { TraceSettings } from '../settings/entry-settings.js'

/** A span of a request's trace; each hop of the request has its own. */
export interface TraceSpan {
  /** Value of the W3C `traceparent` header to pass on. */
  readonly traceParent: string
  /** Starts a child span for the next hop. */
  startChild (name: string, attributes?: SpanAttributes): TraceSpan
  addAttributes (attributes: SpanAttributes): void
  end (errorMessage?: string): void
}

export type SpanAttributes = Readonly<Record<string, string | number | boolean>>

/** The traces of one program. */
export interface Traces {
  /** Starts the span of a request; continues the client's trace if a `traceparent` value is given. */
  startRequest (name: string, traceParent: string | undefined, attributes?: SpanAttributes): TraceSpan
  /** Exports the pending spans and shuts the exporters down. */
  shutdown (): Promise<void>
}

const nanosecondsPerSecond = 1_000_000_000n

/** Creates the traces of a program. Without an exporter in the settings, spans still propagate their context. */
export function createTraces (settings: TraceSettings, nodeId: string): Traces {
  const provider = new NodeTracerProvider({ spanProcessors: createProcessors(settings) })
  // The provider isn't registered globally, because its context manager would add hooks to every promise of the process.
  const propagator = new W3CTraceContextPropagator()
  const tracer = provider.getTracer('egretpaddle')

  return {
    startRequest (name, traceParent, attributes) {
      const carrier = traceParent === undefined ? {} : { traceparent: traceParent }
      const parent = propagator.extract(ROOT_CONTEXT, carrier, defaultTextMapGetter)
      const span = tracer.startSpan(name, { attributes: { 'egretpaddle.node_id': nodeId, ...attributes } }, parent)
      return wrapSpan(tracer, span)
    },
    shutdown: () => provider.shutdown()
  }
}

function createProcessors (settings: TraceSettings): SpanProcessor[] {
  const exporters: SpanExporter[] = []
  if (settings.otlpUrl !== undefined) exporters.push(new OTLPTraceExporter({ url: settings.otlpUrl }))
  if (settings.file !== undefined) exporters.push(createFileExporter(settings.file))
  return exporters.map(exporter => new BatchSpanProcessor(exporter, { scheduledDelayMillis: 500 }))
}

function wrapSpan (tracer: Tracer, span: Span): TraceSpan {
  const spanContext = span.spanContext()
  const flags = spanContext.traceFlags.toString(16).padStart(2, '0')
  return {
    traceParent: `00-${spanContext.traceId}-${spanContext.spanId}-${flags}`,
    startChild (name, attributes) {
      const parent = trace.setSpan(ROOT_CONTEXT, span)
      return wrapSpan(tracer, tracer.startSpan(name, { attributes: { ...attributes } }, parent))
    },
    addAttributes: attributes => { span.setAttributes({ ...attributes }) },
    end (errorMessage) {
      if (errorMessage !== undefined) span.setStatus({ code: SpanStatusCode.ERROR, message: errorMessage })
      span.end()
    }
  }
}

/** Appends each span to a file as a line of JSON. */
function createFileExporter (file: string): SpanExporter {
  return {
    export (spans, done) {
      const lines = spans.map(span => `${JSON.stringify(toPlainSpan(span))}\n`).join('')
      appendFile(file, lines).then(() => done({ code: 0 }), (error: Error) => done({ code: 1, error }))
    },
    shutdown: () => Promise.resolve()
  }
}

function toPlainSpan (span: ReadableSpan): object {
  return {
    traceId: span.spanContext().traceId,
    spanId: span.spanContext().spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    startTimeUnixNano: toNanoseconds(span.startTime),
    endTimeUnixNano: toNanoseconds(span.endTime),
    attributes: span.attributes,
    status: span.status
  }
}

function toNanoseconds (time: readonly [number, number]): string {
  return String(BigInt(time[0]) * nanosecondsPerSecond + BigInt(time[1]))
}
