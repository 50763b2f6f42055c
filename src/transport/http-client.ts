import type { IncomingHttpHeaders } from 'node:http'

import { Agent, type Dispatcher } from 'undici'

import { failure, success, type Result } from '../shared/result.js'
import { createSystemTimerService, type TimerService } from '../shared/timer-service.js'
import type { BufferBudget } from '../shared/buffer-budget.js'
import { createByteCollector } from '../shared/byte-collector.js'
import { createReadGuard, type ReadGuard } from './read-guard.js'
import { findHeadFault } from './response-head.js'
import { maxInformationalResponseCount } from './response-limits.js'
import { isInformationalStatus } from './response-status.js'
import { TransportErrorKind, type TransportError } from './transport-error.js'

export interface HttpClientRequest {
  /** Scheme, host and port, such as `http://10.0.0.1:8080`. */
  readonly origin: string
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Buffer | string
  /** Limit for the whole call, from connecting to the end of the response body. */
  readonly timeoutMs: number
  /** Limit on the response's body; a larger one fails the call and closes the connection. */
  readonly maxResponseBytes: number
}

/** A complete response. */
export interface HttpClientResponse {
  readonly statusCode: number
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
}

export interface HttpClientOptions {
  readonly timers?: TimerService
  /** Counts the bodies of responses while they arrive. */
  readonly bufferBudget?: BufferBudget
  /** False opens a new connection for each call, which rules out a reused one that the server has just closed. */
  readonly reusesConnections?: boolean
  /** Replaces the function that opens connections; for tests. */
  readonly connect?: Agent.Options['connect']
}

/** HTTP client that returns complete responses. It sends each request at most once. */
export interface HttpClient {
  send (request: HttpClientRequest): Promise<Result<HttpClientResponse, TransportError>>
  /** Closes all connections. */
  close (): Promise<void>
}

/** Creates a client. Its errors distinguish requests that were never sent (`NotSent`) from those that may have arrived. */
export function createHttpClient (options: HttpClientOptions = {}): HttpClient {
  const timers = options.timers ?? createSystemTimerService()
  const guard = createReadGuard(options.connect)
  const agent = new Agent({
    connect: guard.connect,
    // The timeout of the whole call replaces those of its phases.
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: options.reusesConnections === false ? 0 : 1
  })
  return {
    send: request => sendOnce({ agent, guard, timers, bufferBudget: options.bufferBudget }, request),
    close: () => agent.destroy()
  }
}

const noMemoryReason = 'the memory for responses is used up'

interface SendDependencies {
  readonly agent: Agent
  readonly guard: ReadGuard
  readonly timers: TimerService
  readonly bufferBudget: BufferBudget | undefined
}

function sendOnce ({ agent, guard, timers, bufferBudget }: SendDependencies, request: HttpClientRequest): Promise<Result<HttpClientResponse, TransportError>> {
  return new Promise(resolve => {
    const account = bufferBudget?.open({ owner: request.origin, evict: () => stop(noMemoryReason) })
    const body = createByteCollector(request.maxResponseBytes, account)
    let receivedByteCount = 0
    let informationalCount = 0
    let statusCode = 0
    let headers: IncomingHttpHeaders = {}
    let controller: Dispatcher.DispatchController | undefined
    let isFinished = false

    function finish (result: Result<HttpClientResponse, TransportError>): void {
      if (isFinished) return
      isFinished = true
      timeout.cancel()
      account?.close()
      resolve(result)
    }

    /** Fails with `kind`, or with `NotSent` if the request was not started. */
    function fail (kind: TransportErrorKind.TimedOut | TransportErrorKind.ConnectionLost, reason: string): void {
      const hasStarted = controller !== undefined
      finish(failure({ kind: hasStarted ? kind : TransportErrorKind.NotSent, reason }))
    }

    /** Fails the call and closes its connection. */
    function stop (reason: string): void {
      fail(TransportErrorKind.ConnectionLost, `call to ${request.origin} failed: ${reason}`)
      controller?.abort(new Error(reason))
    }

    const timeout = timers.subscribeOnce(request.timeoutMs, () => {
      fail(TransportErrorKind.TimedOut, `no response from ${request.origin} within ${request.timeoutMs} ms`)
      controller?.abort(new Error('timed out'))
    })

    // undici calls `onRequestStart` right before it writes the first byte.
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart (started) {
        if (isFinished || controller !== undefined) {
          started.abort(new Error('undici tried to send the request again or after its timeout'))
          return
        }
        controller = started
      },
      onResponseStart (_controller, responseStatusCode, responseHeaders) {
        if (isInformationalStatus(responseStatusCode)) {
          informationalCount += 1
          if (informationalCount > maxInformationalResponseCount) stop(`more than ${maxInformationalResponseCount} informational responses arrived`)
          return
        }
        const fault = findHeadFault({ statusCode: responseStatusCode, headers: responseHeaders })
        if (fault !== undefined) {
          stop(fault)
          return
        }
        guard.recordProgress()
        statusCode = responseStatusCode
        headers = responseHeaders
      },
      onResponseData (_controller, chunk) {
        guard.recordProgress()
        receivedByteCount += chunk.length
        if (body.append(chunk)) return
        stop(receivedByteCount > request.maxResponseBytes ? `the response is larger than ${request.maxResponseBytes} bytes` : noMemoryReason)
      },
      onResponseEnd () {
        guard.recordProgress()
        finish(success({ statusCode, headers, body: body.toBuffer() }))
      },
      onResponseError (_controller, error) {
        fail(TransportErrorKind.ConnectionLost, `call to ${request.origin} failed: ${describeError(error)}`)
      }
    }
    dispatch(agent, request, handler, error => {
      fail(TransportErrorKind.ConnectionLost, `call to ${request.origin} failed: ${describeError(error)}`)
    })
  })
}

function dispatch (agent: Agent, request: HttpClientRequest, handler: Dispatcher.DispatchHandler, onThrow: (error: unknown) => void): void {
  try {
    agent.dispatch({
      origin: request.origin,
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body
    }, handler)
  } catch (error) {
    onThrow(error)
  }
}

/** Describes an error of Node or undici in one line. */
export function describeError (error: unknown): string {
  if (error instanceof AggregateError) return error.errors.map(describeError).join('; ')
  return error instanceof Error ? error.message : String(error)
}
