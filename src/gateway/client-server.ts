import http, { type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { NetworkAddress } from '../shared/network-address.js'
import type { ClientLimits } from '../state/serving-config.js'

/** Who ended a connection on which a request has no complete response. The values are logged. */
export enum ConnectionEnd {
  /** The gateway closed it, since the response cannot be completed. */
  Gateway = 'gateway',
  /** The client closed or reset it, or its network path broke. */
  Client = 'client',
  /** The HTTP server closed it by itself, after a timeout or for bytes that are no request. */
  HttpServer = 'http_server'
}

/** A request whose connection closed before its response was complete. */
export interface IncompleteResponse {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly endedBy: ConnectionEnd
  /** Error of the connection; empty when it was closed in order. */
  readonly reason: string
}

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
  handle (request: IncomingMessage, response: ServerResponse): void
  /** Called for each request whose response was not completed. */
  onIncomplete (incomplete: IncompleteResponse): void
}

/** Added to the idle timeout: clients may reuse a connection until the timeout ends, so the server closes it later than that. */
const idleTimeoutMarginMs = 2000
const backlogLength = 1024
/** Status lines by Node.js error code; any other client error is answered with 400. */
const statusByErrorCode: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}
/** Errors of a connection that the client or its network path causes; any other one is raised by the HTTP server. */
const clientErrorCodes: readonly string[] = ['ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']

/** Creates the server; it listens after `start`. */
export function createClientServer ({ address, maxHeaderBytes, handle, onIncomplete }: ClientServerOptions): ClientServer {
  let inFlightCount = 0
  let isDraining = false
  let hasReceivedRequest = false
  const connectionErrors = new WeakMap<Socket, NodeJS.ErrnoException>()

  // `keepAlive` is TCP keep-alive: HTTP connections are reused.
  const server = http.createServer({ maxHeaderSize: maxHeaderBytes, keepAlive: false, noDelay: true }, (request, response) => {
    inFlightCount += 1
    hasReceivedRequest = true
    response.sendDate = false
    if (isDraining) response.shouldKeepAlive = false
    response.once('close', () => {
      inFlightCount -= 1
      if (!response.writableFinished) onIncomplete({ request, response, ...describeEnd(request.socket, connectionErrors.get(request.socket)) })
    })
    handle(request, response)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    connectionErrors.set(socket, error)
    rejectMalformedRequest(error, socket)
  })

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
    countInFlight: () => inFlightCount,
    hasReceivedRequest: () => hasReceivedRequest
  }
}

function describeEnd (socket: Socket, error: NodeJS.ErrnoException | undefined): Pick<IncompleteResponse, 'endedBy' | 'reason'> {
  const reason = error?.code ?? error?.message ?? ''
  if (error !== undefined) return { endedBy: clientErrorCodes.includes(error.code ?? '') ? ConnectionEnd.Client : ConnectionEnd.HttpServer, reason }
  return { endedBy: socket.readableEnded ? ConnectionEnd.Client : ConnectionEnd.Gateway, reason }
}

function rejectMalformedRequest (error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const status = statusByErrorCode[error.code ?? ''] ?? '400 Bad Request'
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
}
