import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'

import { ModelRequestShape, type EngineChunk } from '../coordination/ports/engine-streams.js'
import type { ModelStreams } from '../coordination/streams/model-streams.js'
import { StreamOutcomeKind, type ChunkSink, type ModelRequest, type StreamOutcome } from '../coordination/streams/stream-types.js'
import { DurationMetric, type Metrics } from '../observability/metrics.js'
import type { TraceSpan } from '../observability/traces.js'
import type { TimerService } from '../shared/timer-service.js'
import { failure, success, type Result } from '../shared/result.js'
import type { Deployment, FleetConfig } from '../state/fleet-config.js'
import { createResponseAssembly } from './response-assembly.js'
import type { ClientIdentity } from './authentication.js'
import { ApiErrorKind, createNotRunError, toErrorBody, WorkState, type ApiError } from './api-error.js'
import { parseModelRequest, type ParsedModelRequest } from './model-request.js'
import { parseJsonObject } from './request-body.js'
import { createPacedWriter, sendError, sendJson } from './response-writer.js'

const maxRequestTimeoutMs = 3_600_000
const eventStreamHeaders = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' }

export interface ModelHandlerDependencies {
  readonly streams: ModelStreams
  readonly timers: TimerService
  readonly metrics: Metrics
  /** A client that reads nothing for this time is disconnected. */
  readonly slowReaderTimeoutMs: number
}

/** An authenticated request with its complete body, and the response to it. */
export interface ApiExchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer
  readonly identity: ClientIdentity
  readonly config: FleetConfig
  readonly span: TraceSpan
}

/** Handles chat and completion requests with a streamed or a complete response. */
export interface ModelHandler {
  handle (exchange: ApiExchange, shape: ModelRequestShape): Promise<void>
}

/** Creates the handler of chat and completion requests. */
export function createModelHandler ({ streams, timers, metrics, slowReaderTimeoutMs }: ModelHandlerDependencies): ModelHandler {
  async function handle (exchange: ApiExchange, shape: ModelRequestShape): Promise<void> {
    const prepared = prepare(exchange, shape)
    if (!prepared.isOk) {
      metrics.countRequest(shape, prepared.error.kind)
      sendError(exchange.response, prepared.error)
      return
    }
    const { modelRequest, parsed } = prepared.value
    const abort = new AbortController()
    exchange.response.on('close', () => abort.abort())
    const startedMs = timers.nowMs()
    const outcome = parsed.isStream
      ? await streamResponse(exchange, modelRequest, parsed.includesUsage, abort.signal)
      : await sendCompleteResponse(exchange, modelRequest, abort.signal)
    metrics.countRequest(shape, outcome.kind)
    metrics.recordDuration(DurationMetric.WholeCall, timers.nowMs() - startedMs)
    exchange.span.addAttributes({ 'egretpaddle.outcome': outcome.kind })
  }

  async function streamResponse (
    exchange: ApiExchange,
    modelRequest: ModelRequest,
    includesUsage: boolean,
    signal: AbortSignal
  ): Promise<StreamOutcome> {
    const { response } = exchange
    const writer = createPacedWriter(response, timers, slowReaderTimeoutMs)
    const sink = recordTokenLatencies({
      async write (chunk) {
        if (chunk.isUsage && !includesUsage) return
        if (!response.headersSent) response.writeHead(200, eventStreamHeaders)
        await writer.write(`data: ${chunk.data}\n\n`)
      }
    })
    const outcome = await streams.run(modelRequest, sink, signal)
    if (outcome.kind === StreamOutcomeKind.Completed) {
      response.end('data: [DONE]\n\n')
      return outcome
    }
    const error = toApiError(outcome)
    if (!response.headersSent) sendError(response, error)
    else response.end(`data: ${JSON.stringify(toErrorBody(error))}\n\n`)
    return outcome
  }

  async function sendCompleteResponse (exchange: ApiExchange, modelRequest: ModelRequest, signal: AbortSignal): Promise<StreamOutcome> {
    const assembly = createResponseAssembly(modelRequest.shape)
    const sink = recordTokenLatencies({
      write (chunk) {
        assembly.add(chunk)
        return Promise.resolve()
      }
    })
    const outcome = await streams.run(modelRequest, sink, signal)
    const response = assembly.getResponse()
    if (outcome.kind === StreamOutcomeKind.Completed && response !== undefined) sendJson(exchange.response, 200, response)
    else sendError(exchange.response, toApiError(outcome))
    return outcome
  }

  function recordTokenLatencies (sink: ChunkSink): ChunkSink {
    let previousMs = timers.nowMs()
    let isFirst = true
    return {
      write (chunk: EngineChunk) {
        if (chunk.tokenCount > 0) {
          const nowMs = timers.nowMs()
          metrics.recordDuration(isFirst ? DurationMetric.FirstToken : DurationMetric.BetweenTokens, nowMs - previousMs)
          previousMs = nowMs
          isFirst = false
        }
        return sink.write(chunk)
      }
    }
  }

  return { handle }
}

interface PreparedRequest {
  readonly modelRequest: ModelRequest
  readonly parsed: ParsedModelRequest
}

function prepare (exchange: ApiExchange, shape: ModelRequestShape): Result<PreparedRequest, ApiError> {
  const body = parseJsonObject(exchange.body)
  if (!body.isOk) return body
  const parsed = parseModelRequest(shape, body.value)
  if (!parsed.isOk) return parsed
  const deployment = findDeployment(exchange.config, parsed.value.model)
  if (deployment === undefined) return failure(createNotRunError(ApiErrorKind.NotFound, `model "${parsed.value.model}" does not exist`))
  const timeoutMs = readRequestTimeoutMs(exchange.request, deployment.defaultDeadlineMs)
  if (!timeoutMs.isOk) return timeoutMs
  return success({
    parsed: parsed.value,
    modelRequest: {
      requestId: randomUUID(),
      ...exchange.identity,
      deployment: deployment.name,
      shape,
      body: { ...parsed.value.engineBody, model: deployment.model },
      prefixHash: parsed.value.prefixHash,
      isInteractive: exchange.request.headers['x-request-priority'] !== 'batch',
      timeoutMs: timeoutMs.value,
      traceParent: exchange.span.traceParent
    }
  })
}

/** Finds a deployment by its own name, else by the name of its model. */
function findDeployment (config: FleetConfig, model: string): Deployment | undefined {
  return config.deployments.find(deployment => deployment.name === model) ??
    config.deployments.find(deployment => deployment.model === model)
}

/** Returns the time for the whole response from the header `x-request-timeout-ms`, or the default without the header. */
export function readRequestTimeoutMs (request: IncomingMessage, defaultMs: number): Result<number, ApiError> {
  const header = request.headers['x-request-timeout-ms']
  if (header === undefined) return success(defaultMs)
  const timeoutMs = Number(header)
  if (Number.isInteger(timeoutMs) && timeoutMs > 0 && timeoutMs <= maxRequestTimeoutMs) return success(timeoutMs)
  return failure(createNotRunError(ApiErrorKind.MalformedRequest, `header "x-request-timeout-ms" is not a whole number from 1 to ${maxRequestTimeoutMs}`))
}

function toApiError (outcome: StreamOutcome): ApiError {
  switch (outcome.kind) {
    case StreamOutcomeKind.NotServed:
      return {
        kind: outcome.isOverload ? ApiErrorKind.Overloaded : ApiErrorKind.Unavailable,
        message: outcome.reason,
        workState: outcome.mayHaveExecuted ? WorkState.PartlyRun : WorkState.NotRun,
        retryAfterMs: outcome.retryAfterMs
      }
    case StreamOutcomeKind.BadRequest:
      return createNotRunError(ApiErrorKind.MalformedRequest, outcome.reason)
    case StreamOutcomeKind.Interrupted:
      return {
        kind: ApiErrorKind.Interrupted,
        message: `${outcome.reason}; ${outcome.tokenCount} tokens were produced`,
        workState: WorkState.PartlyRun,
        retryAfterMs: outcome.retryAfterMs
      }
    case StreamOutcomeKind.DeadlineExceeded:
      return {
        kind: ApiErrorKind.DeadlineExceeded,
        message: `deadline exceeded after ${outcome.tokenCount} tokens`,
        workState: outcome.tokenCount === 0 ? WorkState.Unknown : WorkState.PartlyRun
      }
    // A completed stream has an error only if the assembly did not get its last chunk.
    case StreamOutcomeKind.Completed:
    case StreamOutcomeKind.Cancelled:
      return { kind: ApiErrorKind.Interrupted, message: 'request was cancelled', workState: WorkState.PartlyRun }
  }
}
