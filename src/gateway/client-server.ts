import http, { type IncomingMessage, type ServerResponse } from 'node:http'
import net, { type Socket } from 'node:net'

import type { BufferBudget } from '../shared/buffer-budget.js'
import type { NetworkAddress } from '../shared/network-address.js'
import { createSharedTicker } from '../shared/shared-ticker.js'
import { maxTimeoutMs, type TimerService, type TimerSubscription } from '../shared/timer-service.js'
import type { ClientLimits } from '../state/serving-config.js'
import { createLingerLimit } from '../transport/gentle-close.js'
import { createClientConnection, respondWithoutBody, type ClientConnection, type ClientExchange, type IncompleteResponse } from './client-connection.js'

/** The HTTP server that clients connect to. */
export interface ClientServer {
  start (): Promise<void>
  /** Applies the header and idle timeouts. The body limit is checked when a body is read; the header limit is fixed. */
  applyLimits (limits: ClientLimits): void
  /** From now on responses ask clients to close their connections. */
  beginDrain (): void
  /** Stops accepting connections and closes those that are idle for this time; resolves once all are closed. */
  stop (quietLimitMs: number): Promise<void>
  /** Answers the requests in flight that have no response yet with a failure, since the process ends. */
  giveUp (): void
  /** Requests in flight. */
  countInFlight (): number
  /** Whether any request has arrived since the start. */
  hasReceivedRequest (): boolean
}

export interface ClientServerOptions {
  readonly address: NetworkAddress
  readonly maxHeaderBytes: number
  /** Further connections are closed at once. */
  readonly maxConnectionCount?: number
  /** Counts the requests that wait behind others on their connections. */
  readonly requestBudget?: BufferBudget
  readonly timers: TimerService
  /** Time for a body to arrive, beside the limit on the head. */
  readonly bodyLimitMs?: number
  /** Time after which a client that takes no byte of its response counts as gone. */
  readonly sendStallLimitMs?: number
  handle (exchange: ClientExchange): void
  /** Called for each request whose response was not completed. */
  onIncomplete (incomplete: IncompleteResponse): void
  /** Called for each connection beyond `maxConnectionCount`. */
  onDropped? (): void
}

/**
 * Node.js fixes this limit when the server is created, and refuses requests above it before they are read. The
 * configuration's limit, `limits.maxHeaderBytes`, is checked for each request and applies below it.
 */
export const maxParsedHeaderBytes = 65_536
const backlogLength = 1024
/** In force until a configuration is known; the values are those of Node.js. */
const defaultHeaderLimitMs = 60_000
const defaultIdleLimitMs = 5000
/** Interval of the checks of timeouts, which are late by as much. A fraction of the shortest timeouts of operators, which are seconds. */
const checkIntervalMs = 500
/** For bodies and for responses; no client of the platform waits as long for a response. */
const defaultTransferLimitMs = 30_000
/** `Keep-Alive` states whole seconds. */
const shortestStatedIdleMs = 1000
/** Node.js starts a timer of this time and some more. */
const longestStatedIdleMs = maxTimeoutMs / 2
/** Status lines by Node.js error code; any other client error is answered with 400. */
const statusByErrorCode: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Creates the server; it listens after `start`. */
export function createClientServer ({
  address, maxHeaderBytes, maxConnectionCount, requestBudget, timers, handle, onIncomplete, onDropped, bodyLimitMs = defaultTransferLimitMs, sendStallLimitMs = defaultTransferLimitMs
}: ClientServerOptions): ClientServer {
  const connections = new Map<Socket, ClientConnection>()
  const ticker = createSharedTicker(timers, checkIntervalMs)
  let idleLimitMs = defaultIdleLimitMs
  let isDraining = false
  let quietLimitMs = Infinity
  let hasReceivedRequest = false
  const lingerLimit = createLingerLimit()
  /** Undefined until a configuration is known. */
  let headerLimitMs: number | undefined
  let lowering: { readonly limitMs: number, readonly appliesAtMs: number, readonly timer: TimerSubscription } | undefined

  // `keepAlive` is TCP keep-alive: HTTP connections are reused. A missing Host is refused in `handleExchange`, in the order of requests.
  const server = http.createServer({
    maxHeaderSize: maxHeaderBytes, keepAlive: false, noDelay: true, requireHostHeader: false, headersTimeout: defaultHeaderLimitMs, connectionsCheckingInterval: checkIntervalMs
  }, receive)
  server.requestTimeout = defaultHeaderLimitMs + bodyLimitMs
  server.timeout = sendStallLimitMs
  if (maxConnectionCount !== undefined) server.maxConnections = maxConnectionCount
  server.on('drop', () => onDropped?.())
  // The end of the sending half alone does not end the connection.
  Object.assign(server, { httpAllowHalfOpen: true })
  server.on('connection', track)
  server.on('checkExpectation', receive)
  server.on('connect', request => connections.get(request.socket)?.refuse('405 Method Not Allowed', new Error('the method is CONNECT')))
  server.on('timeout', (socket: Socket) => connections.get(socket)?.checkProgress())
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    // A connection without any byte is idle, not slow.
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && socket.bytesRead === 0) return
    connections.get(socket)?.refuse(statusByErrorCode[error.code ?? ''] ?? '400 Bad Request', error)
  })

  function track (socket: Socket): void {
    const connection = createClientConnection({ socket, timers, isDraining: () => isDraining, lingerLimit, requestBudget, handle: handleExchange, onIncomplete })
    connections.set(socket, connection)
    // After a suspension, what has arrived is read before its connection counts as idle.
    const subscription = ticker.subscribe(() => setImmediate(checkConnection, connection))
    socket.once('close', () => {
      subscription.cancel()
      connections.delete(socket)
    })
  }

  function checkConnection (connection: ClientConnection): void {
    connection.check({ idleLimitMs, headerLimitMs: server.headersTimeout, quietLimitMs })
  }

  function checkConnections (): void {
    for (const connection of connections.values()) checkConnection(connection)
  }

  function receive (request: IncomingMessage, response: ServerResponse): void {
    hasReceivedRequest = true
    response.sendDate = false
    connections.get(request.socket)?.receive(request, response, server.keepAliveTimeout)
  }

  function handleExchange (exchange: ClientExchange): void {
    const { request, response } = exchange
    const isHostMissing = request.httpVersion === '1.1' && request.headers.host === undefined
    const hasUnknownExpectation = request.headers.expect !== undefined && !/^100-continue$/i.test(request.headers.expect)
    if (!isHostMissing && !hasUnknownExpectation) {
      handle(exchange)
      return
    }
    response.shouldKeepAlive = false
    respondWithoutBody(response, isHostMissing ? 400 : 417)
  }

  /** A head that is arriving keeps the limit under which it began. */
  function applyHeaderLimit (limitMs: number): void {
    const formerLimitMs = lowering?.limitMs ?? headerLimitMs
    if (limitMs === formerLimitMs) return
    lowering?.timer.cancel()
    if (headerLimitMs === undefined || formerLimitMs === undefined || limitMs >= headerLimitMs) {
      setHeaderLimit(limitMs)
      return
    }
    const appliesAtMs = Math.max(lowering?.appliesAtMs ?? 0, timers.nowMs() + formerLimitMs)
    lowering = { limitMs, appliesAtMs, timer: timers.subscribeOnce(appliesAtMs - timers.nowMs(), () => setHeaderLimit(limitMs)) }
  }

  function setHeaderLimit (limitMs: number): void {
    lowering = undefined
    headerLimitMs = limitMs
    server.headersTimeout = limitMs
    // Node.js exchanges the two where the limit on the whole request is the shorter one.
    server.requestTimeout = limitMs + bodyLimitMs
  }

  return {
    start: () => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host: address.host, port: address.port, backlog: backlogLength }, resolve)
    }),
    applyLimits (limits) {
      applyHeaderLimit(limits.headerTimeoutMs)
      idleLimitMs = limits.idleTimeoutMs
      // Stated in responses. The server closes idle connections by `checkConnection`, later.
      server.keepAliveTimeout = idleLimitMs >= shortestStatedIdleMs ? Math.min(idleLimitMs, longestStatedIdleMs) : 0
    },
    beginDrain () {
      isDraining = true
      for (const connection of connections.values()) connection.beginDrain()
    },
    stop: newQuietLimitMs => new Promise(resolve => {
      isDraining = true
      quietLimitMs = newQuietLimitMs
      const checks = timers.subscribeEvery(Math.min(checkIntervalMs, quietLimitMs), () => setImmediate(checkConnections))
      // Connections that the kernel has accepted are taken first. The method of `http.Server` would close idle connections at once.
      setImmediate(() => {
        net.Server.prototype.close.call(server, () => {
          checks.cancel()
          resolve()
        })
        checkConnections()
      })
    }),
    giveUp () {
      for (const connection of connections.values()) connection.giveUp()
    },
    countInFlight: () => [...connections.values()].reduce((sum, connection) => sum + connection.countOutstanding(), 0),
    hasReceivedRequest: () => hasReceivedRequest
  }
}
