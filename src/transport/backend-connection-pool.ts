import { readSync } from 'node:fs'
import http from 'node:http'
import type { Socket } from 'node:net'

import type { TimerService } from '../shared/timer-service.js'

export interface BackendRequest {
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[]
  readonly body: Buffer | undefined
  /** Opens a connection for this request alone, so that it meets none that the server has just closed. */
  readonly isDedicated: boolean
}

/** The status line and headers of a server's answer. */
export interface ResponseHead {
  readonly statusCode: number
  readonly statusMessage: string
  readonly rawHeaders: readonly string[]
  readonly headers: http.IncomingHttpHeaders
}

export enum ExchangeFailureKind {
  /** No byte of the request was sent, and none will be. */
  NotSent = 'notSent',
  /** The connection broke or the answer is malformed; the request may have run. */
  Lost = 'lost'
}

export interface ExchangeFailure {
  readonly kind: ExchangeFailureKind
  readonly reason: string
}

/** Called in order: the head, then data, then either the end or a failure. */
export interface ExchangeListener {
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  /** The whole answer has arrived. */
  onEnd (): void
  onFailure (failure: ExchangeFailure): void
}

/** One request in progress at a server. */
export interface BackendExchange {
  /** Closes the connection; the listener hears nothing further. */
  abort (): void
  pause (): void
  resume (): void
}

export interface BackendConnectionPool {
  open (request: BackendRequest, listener: ExchangeListener): BackendExchange
  close (): void
}

export interface BackendConnectionPoolOptions {
  readonly timers: TimerService
  readonly maxIdleConnectionsPerServer: number
}

/** A server in reach accepts a connection within a few milliseconds. */
const connectTimeoutMs = 300
/** Connections without a request are closed after this time, before most servers do. */
const idleTimeoutMs = 4000

/** Creates the connections of this process to backend servers. */
export function createBackendConnectionPool ({ timers, maxIdleConnectionsPerServer }: BackendConnectionPoolOptions): BackendConnectionPool {
  const pooled = new http.Agent({ keepAlive: true, maxFreeSockets: maxIdleConnectionsPerServer, timeout: idleTimeoutMs })
  const dedicated = new http.Agent({ keepAlive: false, maxSockets: Infinity })
  pooled.on('free', guardIdleSocket)

  return {
    open: (request, listener) => openExchange(timers, request.isDedicated ? dedicated : pooled, request, listener),
    close () {
      pooled.destroy()
      dedicated.destroy()
    }
  }
}

const resetSockets = new WeakSet<Socket>()
const watchedSockets = new WeakSet<Socket>()

/**
 * Remembers connections that were reset rather than ended. When data and a reset arrive together, libuv
 * reports an end; only a read of the descriptor still returns the error.
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
    // Any error of the read means that the peer did not end the connection in order; the caller reports it.
    return false
  }
}

const guardedSockets = new WeakSet<Socket>()

/** Bytes that arrive while no request is in progress belong to no request; the connection is closed. */
function guardIdleSocket (socket: Socket): void {
  if (guardedSockets.has(socket)) return
  guardedSockets.add(socket)
  socket.prependListener('data', () => {
    const isIdle = (socket as Socket & { _httpMessage?: unknown })._httpMessage === null
    if (isIdle) socket.destroy()
  })
}

function openExchange (timers: TimerService, agent: http.Agent, request: BackendRequest, listener: ExchangeListener): BackendExchange {
  let isFinished = false
  let isConnected = false
  let answer: http.IncomingMessage | undefined

  const clientRequest = http.request({
    agent,
    host: request.host,
    port: request.port,
    method: request.method,
    path: request.path,
    headers: request.rawHeaders as unknown as http.OutgoingHttpHeaders,
    setHost: false
  })

  const connectTimer = timers.subscribeOnce(connectTimeoutMs, () => {
    if (!isConnected) fail(`no connection to ${request.host}:${request.port} within ${connectTimeoutMs} ms`)
  })

  function finish (): boolean {
    if (isFinished) return false
    isFinished = true
    connectTimer.cancel()
    return true
  }

  function fail (reason: string): void {
    if (!finish()) return
    clientRequest.destroy()
    listener.onFailure({ kind: isConnected ? ExchangeFailureKind.Lost : ExchangeFailureKind.NotSent, reason })
  }

  clientRequest.on('socket', socket => {
    watchForReset(socket)
    if (!socket.connecting) isConnected = true
    else socket.once('connect', () => { isConnected = true })
  })
  clientRequest.on('error', error => fail(error.message))
  clientRequest.on('close', () => fail('the connection closed without an answer'))
  clientRequest.on('response', response => {
    answer = response
    if (isFinished) return
    listener.onHead({
      statusCode: response.statusCode ?? 0,
      statusMessage: response.statusMessage ?? '',
      rawHeaders: response.rawHeaders,
      headers: response.headers
    })
    response.on('data', (chunk: Buffer) => {
      if (!isFinished) listener.onData(chunk)
    })
    response.on('end', () => {
      if (!response.complete || (isUnframed(response) && resetSockets.has(response.socket))) {
        fail('the answer ended early')
        return
      }
      if (finish()) listener.onEnd()
    })
    response.on('error', error => fail(error.message))
    response.on('close', () => fail('the answer ended early'))
  })
  clientRequest.end(request.body)

  return {
    abort () {
      if (finish()) clientRequest.destroy()
    },
    pause () {
      answer?.pause()
    },
    resume () {
      answer?.resume()
    }
  }
}

/** Whether the end of the connection is the end of the answer. */
function isUnframed (response: http.IncomingMessage): boolean {
  return response.headers['content-length'] === undefined && response.headers['transfer-encoding'] === undefined
}
