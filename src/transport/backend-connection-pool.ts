import { readSync } from 'node:fs'
import http from 'node:http'
import type { Socket } from 'node:net'

import { failure, success, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { findHeadFault } from './response-head.js'
import { framingBytesPerChunk, maxBytesWithoutBody, maxFramingBytes, maxInformationalResponseCount } from './response-limits.js'

/** A request to a backend server, forwarded with its headers as given. */
export interface BackendRequest {
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer | undefined
  /** Opens a connection for this request alone, which rules out a reused one that the server has just closed. */
  readonly isDedicated: boolean
  /** Names the request in reports of errors. */
  readonly requestId?: string | undefined
}

/** The status line and headers of a server's response. */
export interface ResponseHead {
  readonly statusCode: number
  readonly statusMessage: string
  readonly rawHeaders: readonly string[]
  readonly headers: http.IncomingHttpHeaders
  /** The end of the connection marks that of the response, which may be the end of the server's process instead. */
  readonly endsWithConnection: boolean
}

/** Whether the request of a failed exchange may have reached the server. */
export enum ExchangeFailureKind {
  /** No byte of the request was sent, and none will be. */
  NotSent = 'notSent',
  /** The connection broke or the response is malformed; the request may have been executed. */
  Lost = 'lost'
}

export interface ExchangeFailure {
  readonly kind: ExchangeFailureKind
  readonly reason: string
  /** The server sent more than a response may hold. */
  readonly isOverrun?: boolean
}

/**
 * Called in order: `onHead`, then `onData`, then either `onEnd` or `onFailure`. A failure may come at any point. If one of the
 * others throws, `onFailure` follows and the exchange is lost.
 */
export interface ExchangeListener {
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  /** The complete response has arrived, as far as its head tells. */
  onEnd (): void
  onFailure (failure: ExchangeFailure): void
}

/** One request in progress at a backend server. */
export interface BackendExchange {
  /** Closes the connection; the listener is not called again. */
  abort (): void
  pause (): void
  resume (): void
}

/** Connections to backend servers: a pool of reused ones for each server, and dedicated ones for single requests. */
export interface BackendConnectionPool {
  open (request: BackendRequest, listener: ExchangeListener): BackendExchange
  close (): void
}

export interface BackendConnectionPoolOptions {
  readonly timers: TimerService
  readonly maxIdleConnectionsPerServer: number
  /** A server that takes longer to accept a connection counts as unreachable; `defaultConnectTimeoutMs` when undefined. */
  readonly connectTimeoutMs?: number
  /** Called with what a listener threw. It is called in events of sockets, where the exception would end the process. */
  onListenerError? (error: Error, request: BackendRequest): void
}

/** A reachable server accepts a connection within a few milliseconds. */
const defaultConnectTimeoutMs = 300
/** Idle connections are closed after this time, earlier than most servers close them. */
const idleTimeoutMs = 4000

/** Creates the pool; it never retries a request. */
export function createBackendConnectionPool ({ timers, maxIdleConnectionsPerServer, connectTimeoutMs = defaultConnectTimeoutMs, onListenerError = () => {} }: BackendConnectionPoolOptions): BackendConnectionPool {
  const pooled = new http.Agent({ keepAlive: true, maxFreeSockets: maxIdleConnectionsPerServer, timeout: idleTimeoutMs })
  const dedicated = new http.Agent({ keepAlive: false, maxSockets: Infinity })

  return {
    open (request, listener) {
      const created = createClientRequest(request.isDedicated ? dedicated : pooled, request)
      return created.isOk ? openExchange({ timers, connectTimeoutMs, onListenerError }, created.value, request, listener) : failExchange(created.error, listener)
    },
    close () {
      pooled.destroy()
      dedicated.destroy()
    }
  }
}

/** Returns a reason when Node.js rejects a part of the request, such as a header with a character that none can hold. */
function createClientRequest (agent: http.Agent, request: BackendRequest): Result<http.ClientRequest, string> {
  try {
    return success(http.request({
      agent,
      host: request.host,
      port: request.port,
      method: request.method,
      path: request.path,
      headers: request.rawHeaders as unknown as http.OutgoingHttpHeaders,
      // Overrides --insecure-http-parser, under which heads are accepted that cannot be passed on, or whose framing is ambiguous.
      insecureHTTPParser: false,
      setHost: false
    }))
  } catch (error) {
    return failure((error as Error).message)
  }
}

/** An exchange whose request cannot be sent. */
function failExchange (reason: string, listener: ExchangeListener): BackendExchange {
  const timer = setImmediate(() => listener.onFailure({ kind: ExchangeFailureKind.NotSent, reason }))
  return { abort: () => clearImmediate(timer), pause () {}, resume () {} }
}

const resetSockets = new WeakSet<Socket>()
const watchedSockets = new WeakSet<Socket>()

/**
 * Records connections that were reset rather than closed in order. When data and a reset arrive together, libuv reports
 * an end; only a read of the file descriptor still returns the error.
 */
function watchForReset (socket: Socket): void {
  if (watchedSockets.has(socket)) return
  watchedSockets.add(socket)
  socket.prependListener('end', () => {
    const { fd } = (socket as Socket & { _handle?: { fd?: number } })._handle ?? {}
    if (fd === undefined || fd < 0 || !isCleanEnd(fd)) resetSockets.add(socket)
  })
}

function isCleanEnd (fd: number): boolean {
  try {
    return readSync(fd, Buffer.alloc(1)) === 0
  } catch {
    // Any error of the read means that the server did not close the connection in order: a close-delimited response is lost.
    return false
  }
}

/** The exchange that uses a socket, or used it last, learns of each chunk before Node.js parses it. */
const byteWatchers = new WeakMap<Socket, (byteCount: number) => void>()

function watchBytes (socket: Socket, watcher: (byteCount: number) => void): void {
  if (!byteWatchers.has(socket)) socket.prependListener('data', (chunk: Buffer) => byteWatchers.get(socket)?.(chunk.length))
  byteWatchers.set(socket, watcher)
}

type ExchangeOptions = Required<Omit<BackendConnectionPoolOptions, 'maxIdleConnectionsPerServer'>>

function openExchange ({ timers, connectTimeoutMs, onListenerError }: ExchangeOptions, clientRequest: http.ClientRequest, request: BackendRequest, listener: ExchangeListener): BackendExchange {
  let isFinished = false
  /** False once the listener must not be called any more. */
  let isListening = true
  let isConnected = false
  let currentResponse: http.IncomingMessage | undefined
  let informationalCount = 0
  let deliveredByteCount = 0
  let knownBodyByteCount = 0
  let byteCountWithoutBody = 0
  let chunkCount = 0

  const connectTimer = timers.subscribeOnce(connectTimeoutMs, () => {
    if (!isConnected) fail(`no connection to ${request.host}:${request.port} within ${connectTimeoutMs} ms`)
  })

  function finish (): boolean {
    if (isFinished) return false
    isFinished = true
    connectTimer.cancel()
    return true
  }

  function fail (reason: string, isOverrun = false): void {
    if (!finish()) return
    clientRequest.destroy()
    reportFailure({ kind: isConnected ? ExchangeFailureKind.Lost : ExchangeFailureKind.NotSent, reason, isOverrun })
  }

  function reportFailure (exchangeFailure: ExchangeFailure): void {
    isListening = false
    notify(() => listener.onFailure(exchangeFailure))
  }

  /** Calls the listener. An exception fails this exchange and no other one. */
  function notify (call: () => void): void {
    try {
      call()
    } catch (error) {
      onListenerError(error as Error, request)
      if (!isListening) return
      finish()
      clientRequest.destroy()
      reportFailure({ kind: ExchangeFailureKind.Lost, reason: `an unexpected error occurred: ${(error as Error).message}` })
    }
  }

  function watchArrivingBytes (socket: Socket, byteCount: number): void {
    if (isFinished || currentResponse?.complete === true) {
      // They belong to no request. A complete response that is not yet delivered still will be.
      socket.destroy()
      return
    }
    const bodyByteCount = deliveredByteCount + (currentResponse?.readableLength ?? 0)
    if (bodyByteCount > knownBodyByteCount) byteCountWithoutBody = 0
    knownBodyByteCount = bodyByteCount
    if (byteCountWithoutBody > maxBytesWithoutBody) fail(`more than ${maxBytesWithoutBody} bytes arrived that are no body`, true)
    byteCountWithoutBody += byteCount
  }

  clientRequest.on('socket', socket => {
    watchForReset(socket)
    watchBytes(socket, byteCount => watchArrivingBytes(socket, byteCount))
    if (!socket.connecting) isConnected = true
    else socket.once('connect', () => { isConnected = true })
  })
  clientRequest.on('error', error => {
    // A response that has arrived completely is delivered, whatever happens to the connection afterwards.
    if (currentResponse?.complete !== true) fail(error.message)
  })
  clientRequest.on('close', () => {
    // With a response, the request may close before the listener has read all of it; the response's own end or close decides.
    if (currentResponse === undefined) fail('the connection closed without a response')
  })
  clientRequest.on('information', () => {
    informationalCount += 1
    if (informationalCount > maxInformationalResponseCount) fail(`more than ${maxInformationalResponseCount} informational responses arrived`)
  })
  clientRequest.on('response', response => {
    currentResponse = response
    if (isFinished) return
    const { statusCode = 0, statusMessage = '', headers } = response
    const fault = findHeadFault({ statusCode, headers })
    if (fault !== undefined) {
      fail(fault)
      return
    }
    if (!canForwardReason(statusMessage)) {
      fail('the reason phrase of the response is malformed')
      return
    }
    notify(() => listener.onHead({
      statusCode,
      statusMessage,
      rawHeaders: response.rawHeaders,
      headers,
      endsWithConnection: isCloseDelimited(response)
    }))
    response.on('data', (chunk: Buffer) => {
      deliveredByteCount += chunk.length
      chunkCount += 1
      const framingByteCount = headers['transfer-encoding'] === undefined ? 0 : chunkCount * framingBytesPerChunk
      if (framingByteCount > maxFramingBytes + deliveredByteCount) fail(`more than ${maxFramingBytes} bytes of chunk sizes arrived with a small body`, true)
      if (!isFinished) notify(() => listener.onData(chunk))
    })
    response.on('end', () => {
      if (!response.complete || (isCloseDelimited(response) && resetSockets.has(response.socket))) {
        fail('the response ended early')
        return
      }
      if (finish()) notify(() => listener.onEnd())
    })
    response.on('error', error => fail(error.message))
    response.on('close', () => fail('the response ended early'))
  })
  clientRequest.end(request.body)

  return {
    abort () {
      isListening = false
      if (finish()) clientRequest.destroy()
    },
    pause () {
      currentResponse?.pause()
    },
    resume () {
      currentResponse?.resume()
    }
  }
}

/** Whether Node.js accepts the reason phrase in a response of its own; its parser accepts more than that. */
function canForwardReason (statusMessage: string): boolean {
  try {
    http.validateHeaderValue('reason phrase', statusMessage)
    return true
  } catch {
    // Thrown for characters that a status line must not have.
    return false
  }
}

/** Whether the end of the connection marks the end of the response. */
function isCloseDelimited (response: http.IncomingMessage): boolean {
  return response.headers['content-length'] === undefined && response.headers['transfer-encoding'] === undefined
}
