import { Readable } from 'node:stream'

import {
  EngineStreamErrorKind,
  ModelRequestShape,
  type EngineChunk,
  type EngineStreamError,
  type EngineStreamRequest,
  type EngineStreams
} from '../coordination/ports/engine-streams.js'
import { parseEngineChunk } from '../protocol/engine-chunk.js'
import { createSseParser } from '../protocol/sse-parser.js'
import { parseAddress } from '../shared/network-address.js'
import { failure, success, type Result } from '../shared/result.js'
import { createSystemTimerService, type TimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool, ExchangeFailureKind, type BackendConnectionPool, type BackendRequest, type ExchangeFailure } from './backend-connection-pool.js'

const maxEventCharacters = 1_048_576
const maxErrorCharacters = 500
const endOfStream = '[DONE]'

const pathsByShape = {
  [ModelRequestShape.Chat]: '/v1/chat/completions',
  [ModelRequestShape.Completion]: '/v1/completions'
}

/**
 * Status codes of the engine protocol. `WrongGroup` stands for 409 (the group has another epoch), 421 (the engine is not
 * the leader of a group) and 503 (the group's engine is loading or leaving, or refuses requests).
 */
const errorKindsByStatus: Readonly<Record<number, EngineStreamErrorKind>> = {
  400: EngineStreamErrorKind.BadRequest,
  409: EngineStreamErrorKind.WrongGroup,
  421: EngineStreamErrorKind.WrongGroup,
  422: EngineStreamErrorKind.BadRequest,
  429: EngineStreamErrorKind.Busy,
  503: EngineStreamErrorKind.WrongGroup
}

/** Idle connections kept for each engine: about as many as it has slots. */
const maxIdleConnectionsPerEngine = 32

export interface EngineStreamClientOptions {
  readonly timers?: TimerService
  readonly connectTimeoutMs: number
  /** A stream that receives no byte for this time fails with `Broken`, unless its reader has paused it. */
  readonly idleTimeoutMs: number
}

/** HTTP client for response streams of model engines. */
export interface EngineStreamClient extends EngineStreams {
  close (): Promise<void>
}

/** Creates the client. It never retries a request. */
export function createEngineStreamClient ({ timers = createSystemTimerService(), connectTimeoutMs, idleTimeoutMs }: EngineStreamClientOptions): EngineStreamClient {
  const connections = createBackendConnectionPool({ timers, maxIdleConnectionsPerServer: maxIdleConnectionsPerEngine, connectTimeoutMs })

  async function * open (address: string, request: EngineStreamRequest, signal: AbortSignal): AsyncGenerator<EngineChunk, EngineStreamError | undefined> {
    const target = parseAddress(address)
    if (target === undefined) return { kind: EngineStreamErrorKind.NotSent, reason: `the engine's address "${address}" is invalid` }
    const body = Buffer.from(JSON.stringify(toEngineBody(request)))
    const response = await openResponse({ connections, timers, idleTimeoutMs, signal }, {
      ...target,
      method: 'POST',
      path: pathsByShape[request.shape],
      rawHeaders: toRawHeaders(address, request, body.length),
      body,
      isDedicated: false
    })
    if (!response.isOk) return toOpenError(response.error)
    if (response.value.statusCode !== 200) return await toStatusError(response.value)
    return yield * readChunks(response.value)
  }

  return {
    open,
    close () {
      connections.close()
      return Promise.resolve()
    }
  }
}

interface EngineResponse {
  readonly statusCode: number
  /** Paces the engine: the connection is read only as fast as the body is. */
  readonly body: Readable
}

interface OpenDependencies {
  readonly connections: BackendConnectionPool
  readonly timers: TimerService
  readonly idleTimeoutMs: number
  readonly signal: AbortSignal
}

/** Sends the request and resolves with the head of the response; the body fails when the rest does not arrive. */
function openResponse ({ connections, timers, idleTimeoutMs, signal }: OpenDependencies, request: BackendRequest): Promise<Result<EngineResponse, ExchangeFailure>> {
  return new Promise(resolve => {
    let isPaused = false
    let lastProgressAtMs = timers.nowMs()
    let idleTimer = timers.subscribeOnce(idleTimeoutMs, checkIdle)
    const body = new Readable({
      read () {
        isPaused = false
        lastProgressAtMs = timers.nowMs()
        exchange.resume()
      },
      destroy (error, callback) {
        release()
        exchange.abort()
        callback(error)
      }
    })
    // Without a listener a body that fails before anybody reads it would end the process.
    body.on('error', () => {})

    function release (): void {
      idleTimer.cancel()
      signal.removeEventListener('abort', onAbort)
    }

    function fail (error: ExchangeFailure): void {
      resolve(failure(error))
      body.destroy(new Error(error.reason))
    }

    function onAbort (): void {
      fail({ kind: ExchangeFailureKind.Lost, reason: 'the request was cancelled' })
    }

    function checkIdle (): void {
      const waitedMs = isPaused ? 0 : timers.nowMs() - lastProgressAtMs
      if (waitedMs >= idleTimeoutMs) fail({ kind: ExchangeFailureKind.Lost, reason: `no byte arrived within ${idleTimeoutMs} ms` })
      else idleTimer = timers.subscribeOnce(idleTimeoutMs - waitedMs, checkIdle)
    }

    const exchange = connections.open(request, {
      onHead ({ statusCode }) {
        lastProgressAtMs = timers.nowMs()
        resolve(success({ statusCode, body }))
      },
      onData (chunk) {
        lastProgressAtMs = timers.nowMs()
        if (body.push(chunk)) return
        isPaused = true
        exchange.pause()
      },
      onEnd () {
        release()
        body.push(null)
      },
      onFailure: fail
    })
    if (signal.aborted) onAbort()
    else signal.addEventListener('abort', onAbort)
  })
}

async function * readChunks (response: EngineResponse): AsyncGenerator<EngineChunk, EngineStreamError | undefined> {
  const parser = createSseParser(maxEventCharacters)
  const decoder = new TextDecoder()
  try {
    for await (const bytes of response.body) {
      const events = parser.push(decoder.decode(bytes as Buffer, { stream: true }))
      if (!events.isOk) return toBrokenError(events.error.reason)
      for (const data of events.value) {
        if (data === endOfStream) continue
        const chunk = parseEngineChunk(data)
        if (!chunk.isOk) return toBrokenError(chunk.error.reason)
        yield chunk.value
      }
    }
  } catch (error) {
    return toBrokenError((error as Error).message)
  }
  return undefined
}

function toBrokenError (reason: string): EngineStreamError {
  return { kind: EngineStreamErrorKind.Broken, reason: `engine stream failed: ${reason}` }
}

/** Returns names and values in turn. */
function toRawHeaders (address: string, request: EngineStreamRequest, bodyLength: number): string[] {
  return [
    'host', address,
    'content-type', 'application/json',
    'content-length', String(bodyLength),
    'accept', 'text/event-stream',
    'x-group-id', request.groupId,
    'x-group-epoch', String(request.epoch),
    'x-request-id', request.requestId,
    ...(request.traceParent === undefined ? [] : ['traceparent', request.traceParent])
  ]
}

function toEngineBody (request: EngineStreamRequest): object {
  return {
    ...request.body,
    stream: true,
    stream_options: { include_usage: true },
    priority: request.priority,
    resume_from_token: request.resumeFromToken
  }
}

function toOpenError ({ kind, reason }: ExchangeFailure): EngineStreamError {
  return { kind: kind === ExchangeFailureKind.NotSent ? EngineStreamErrorKind.NotSent : EngineStreamErrorKind.Broken, reason }
}

async function toStatusError (response: EngineResponse): Promise<EngineStreamError> {
  const text = await readErrorText(response)
  const kind = errorKindsByStatus[response.statusCode] ?? EngineStreamErrorKind.Broken
  return { kind, reason: `engine responded with status ${response.statusCode}: ${text.slice(0, maxErrorCharacters)}` }
}

/** Reads the beginning of the body; the connection of a larger one is closed. */
async function readErrorText ({ body }: EngineResponse): Promise<string> {
  let text = ''
  try {
    for await (const bytes of body) {
      text += (bytes as Buffer).toString('utf8')
      if (text.length >= maxErrorCharacters) break
    }
  } catch (error) {
    return `${text} (the body broke off: ${(error as Error).message})`
  }
  return text
}
