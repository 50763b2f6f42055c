import http, { type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { NetworkAddress } from '../shared/network-address.js'
import { createSharedTicker } from '../shared/shared-ticker.js'
import type { TimerService } from '../shared/timer-service.js'
import type { ClientLimits } from '../state/serving-config.js'
import { createClientConnection, respondWithoutBody, type ClientConnection, type ClientExchange, type IncompleteResponse } from './client-connection.js'

/** The HTTP server that clients connect to. */
export interface ClientServer {
  start (): Promise<void>
  /** Applies the header and idle timeouts. The body limit is checked when a body is read; the header limit is fixed. */
  applyLimits (limits: ClientLimits): void
  /** From now on responses ask clients to close their connections. */
  beginDrain (): void
  /** Stops accepting connections and closes idle ones; resolves once no request is in flight. */
  stop (): Promise<void>
  /** Requests in flight. */
  countInFlight (): number
  /** Whether any request has arrived since the start. */
  hasReceivedRequest (): boolean
}

export interface ClientServerOptions {
  readonly address: NetworkAddress
  readonly maxHeaderBytes: number
  readonly timers: TimerService
  handle (exchange: ClientExchange): void
  /** Called for each request whose response was not completed. */
  onIncomplete (incomplete: IncompleteResponse): void
}

const backlogLength = 1024
/** Added to the idle timeout: clients may reuse a connection until the timeout ends, so the server closes it later than that. */
const idleTimeoutMarginMs = 2000
/** Interval of the checks of what is due. A fraction of the time that a closing connection is given. */
const checkIntervalMs = 500
/** Status lines by Node.js error code; any other client error is answered with 400. */
const statusByErrorCode: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Creates the server; it listens after `start`. */
export function createClientServer ({ address, maxHeaderBytes, timers, handle, onIncomplete }: ClientServerOptions): ClientServer {
  const connections = new Map<Socket, ClientConnection>()
  const ticker = createSharedTicker(timers, checkIntervalMs)
  let isDraining = false
  let hasReceivedRequest = false

  // `keepAlive` is TCP keep-alive: HTTP connections are reused. A missing Host is refused in `receive`, in the order of requests.
  const server = http.createServer({ maxHeaderSize: maxHeaderBytes, keepAlive: false, noDelay: true, requireHostHeader: false }, receive)
  // The end of the sending half alone does not end the connection.
  Object.assign(server, { httpAllowHalfOpen: true })
  server.on('connection', track)
  server.on('checkExpectation', receive)
  server.on('connect', request => connections.get(request.socket)?.refuse('405 Method Not Allowed', new Error('the method is CONNECT')))
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    connections.get(socket)?.refuse(statusByErrorCode[error.code ?? ''] ?? '400 Bad Request', error)
  })

  function track (socket: Socket): void {
    const connection = createClientConnection({ socket, timers, isDraining: () => isDraining, handle: handleExchange, onIncomplete })
    connections.set(socket, connection)
    const subscription = ticker.subscribe(connection.check)
    socket.once('close', () => {
      subscription.cancel()
      connections.delete(socket)
    })
  }

  function receive (request: IncomingMessage, response: ServerResponse): void {
    hasReceivedRequest = true
    response.sendDate = false
    connections.get(request.socket)?.receive(request, response)
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

  return {
    start: () => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host: address.host, port: address.port, backlog: backlogLength }, resolve)
    }),
    applyLimits (limits) {
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs + idleTimeoutMarginMs
    },
    beginDrain () {
      isDraining = true
    },
    stop: () => new Promise(resolve => {
      isDraining = true
      server.close(() => resolve())
      server.closeIdleConnections()
    }),
    countInFlight: () => [...connections.values()].reduce((sum, connection) => sum + connection.countOutstanding(), 0),
    hasReceivedRequest: () => hasReceivedRequest
  }
}
