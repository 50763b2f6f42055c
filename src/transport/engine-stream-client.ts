import { Agent, buildConnector, request as sendRequest, type Dispatcher } from 'undici'

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
import { reportResets } from './reset-errors.js'
import { maxInformationalResponseCount } from './response-limits.js'
import { isFinalStatus, isInformationalStatus } from './response-status.js'

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

/** Error codes of Node and undici for a connection that was never established. */
const notSentCodes = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']

export interface EngineStreamClientOptions {
  readonly connectTimeoutMs: number
  /** A stream that receives no byte for this time fails with `Broken`. */
  readonly idleTimeoutMs: number
}

/** HTTP client for response streams of model engines. */
export interface EngineStreamClient extends EngineStreams {
  close (): Promise<void>
}

/** Creates the client. It never retries a request. */
export function createEngineStreamClient (options: EngineStreamClientOptions): EngineStreamClient {
  const connect = buildConnector({ timeout: options.connectTimeoutMs })
  const dispatcher = new Agent({
    connect (target, callback) {
      connect(target, (...result) => {
        if (result[0] === null) reportResets(result[1])
        callback(...result)
      })
    },
    headersTimeout: options.idleTimeoutMs,
    bodyTimeout: options.idleTimeoutMs,
    pipelining: 1
  })

  async function * open (address: string, request: EngineStreamRequest, signal: AbortSignal): AsyncGenerator<EngineChunk, EngineStreamError | undefined> {
    let response: Dispatcher.ResponseData
    let informationalCount = 0
    const limit = new AbortController()
    try {
      response = await sendRequest(`http://${address}${pathsByShape[request.shape]}`, {
        dispatcher,
        method: 'POST',
        headers: toHeaders(request),
        body: JSON.stringify(toEngineBody(request)),
        signal: AbortSignal.any([signal, limit.signal]),
        onInfo ({ statusCode }) {
          if (!isInformationalStatus(statusCode)) limit.abort(new Error(`the response has status ${statusCode}, which no final response has`))
          informationalCount += 1
          // Each of them starts undici's timeout for the head again.
          if (informationalCount > maxInformationalResponseCount) limit.abort(new Error(`more than ${maxInformationalResponseCount} informational responses arrived`))
        }
      })
    } catch (error) {
      return toOpenError(error as Error)
    }
    if (!isFinalStatus(response.statusCode)) {
      // What follows is not read, and may never end.
      response.body.on('error', () => {}).destroy()
      return toBrokenError(`the response has status ${response.statusCode}, which no final response has`)
    }
    if (response.statusCode !== 200) return await toStatusError(response)
    return yield * readChunks(response)
  }

  return { open, close: () => dispatcher.destroy() }
}

async function * readChunks (response: Dispatcher.ResponseData): AsyncGenerator<EngineChunk, EngineStreamError | undefined> {
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

function toHeaders (request: EngineStreamRequest): Record<string, string> {
  return {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    'x-group-id': request.groupId,
    'x-group-epoch': String(request.epoch),
    'x-request-id': request.requestId,
    ...(request.traceParent === undefined ? {} : { traceparent: request.traceParent })
  }
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

function toOpenError (error: Error & { code?: string }): EngineStreamError {
  const isNotSent = error.code !== undefined && notSentCodes.includes(error.code)
  return { kind: isNotSent ? EngineStreamErrorKind.NotSent : EngineStreamErrorKind.Broken, reason: error.message }
}

async function toStatusError (response: Dispatcher.ResponseData): Promise<EngineStreamError> {
  const text = await readErrorText(response)
  const kind = errorKindsByStatus[response.statusCode] ?? EngineStreamErrorKind.Broken
  return { kind, reason: `engine responded with status ${response.statusCode}: ${text.slice(0, maxErrorCharacters)}` }
}

/** Reads the beginning of the body; the connection of a larger one is closed. */
async function readErrorText (response: Dispatcher.ResponseData): Promise<string> {
  let text = ''
  try {
    for await (const bytes of response.body) {
      text += (bytes as Buffer).toString('utf8')
      if (text.length >= maxErrorCharacters) break
    }
  } catch (error) {
    return `${text} (the body broke off: ${(error as Error).message})`
  }
  return text
}
