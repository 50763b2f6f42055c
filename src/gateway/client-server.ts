import http, { type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { NetworkAddress } from '../shared/network-address.js'
import type { ClientLimits } from '../state/serving-config.js'

/** The server that callers connect to. */
export interface ClientServer {
  start (): Promise<void>
  applyLimits (limits: ClientLimits): void
  /** Answers from now on tell callers to close their connections. */
  beginDrain (): void
  /** Refuses new connections and closes idle ones; resolves when no request is in progress. */
  stop (): Promise<void>
  countInProgress (): number
  /** Whether a request has ever arrived. */
  hasServed (): boolean
}

export interface ClientServerOptions {
  readonly address: NetworkAddress
  readonly maxHeaderBytes: number
  handle (request: IncomingMessage, response: ServerResponse): void
}

/** Callers reuse a connection that was idle for up to the limit; it is closed only after it. */
const idleSlackMs = 2000
const backlogLength = 1024
const statusByErrorCode: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Creates the server; it listens after `start`. */
export function createClientServer ({ address, maxHeaderBytes, handle }: ClientServerOptions): ClientServer {
  let inProgressCount = 0
  let isDraining = false
  let hasServed = false

  const server = http.createServer({ maxHeaderSize: maxHeaderBytes, keepAlive: false, noDelay: true }, (request, response) => {
    inProgressCount += 1
    hasServed = true
    response.sendDate = false
    if (isDraining) response.shouldKeepAlive = false
    response.once('close', () => { inProgressCount -= 1 })
    handle(request, response)
  })
  server.on('clientError', refuseMalformed)

  return {
    start: () => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen({ host: address.host, port: address.port, backlog: backlogLength }, resolve)
    }),
    applyLimits (limits) {
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs + idleSlackMs
    },
    beginDrain () {
      isDraining = true
    },
    stop: () => new Promise(resolve => {
      isDraining = true
      server.close(() => resolve())
      server.closeIdleConnections()
    }),
    countInProgress: () => inProgressCount,
    hasServed: () => hasServed
  }
}

function refuseMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const status = statusByErrorCode[error.code ?? ''] ?? '400 Bad Request'
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
}
