/** One connection of a client: its requests are handled in turn, and it closes so that the last response arrives. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import type { BufferBudget } from '../shared/buffer-budget.js'
import type { TimerService } from '../shared/timer-service.js'
import { closeGently, type LingerLimit } from '../transport/gentle-close.js'
import { createWaitingRequests, maxWaitingCount } from '../transport/request-queue.js'
import { breakOffResponse } from './break-off-response.js'

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

/** A client's request and its response. */
export interface ClientExchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** When the head arrived; requests on one connection wait for the responses before theirs. */
  readonly arrivedAtMs: number
  /**
   * Says whether the response is still due once the client has closed its sending half. Where it is not, the connection
   * ends then, since a client that left looks the same.
   */
  setMustComplete (mustComplete: boolean): void
}

/** What the server of a connection knows and decides. */
export interface ClientConnectionOptions {
  readonly socket: Socket
  readonly timers: TimerService
  /** Whether responses ask clients to close their connections. */
  isDraining (): boolean
  readonly lingerLimit: LingerLimit
  /** Counts the requests that wait behind others; they are not counted when it is undefined. */
  readonly requestBudget?: BufferBudget | undefined
  handle (exchange: ClientExchange): void
  onIncomplete (incomplete: IncompleteResponse): void
}

/** Limits of a check of a connection. */
export interface ConnectionCheck {
  readonly idleLimitMs: number
  /** Time that a head which began to arrive just before the end of the idle time gets. */
  readonly headerLimitMs: number
  /** Closes a connection that has been idle for this time, whatever its client was told. */
  readonly quietLimitMs: number
}

export interface ClientConnection {
  /** `statedIdleMs` is what the response says; 0 if it says nothing. */
  receive (request: IncomingMessage, response: ServerResponse, statedIdleMs: number): void
  /** Ends the connection with this status line, after the responses that are due. */
  refuse (status: string, error: NodeJS.ErrnoException): void
  /** Marks the response in progress, if its head can still say so, as the last one of the connection. */
  beginDrain (): void
  /** Answers what has no response yet, since the process ends: 503 where no server has the request, else 504. */
  giveUp (): void
  /** Called when nothing was sent or received for the socket's timeout. */
  checkProgress (): void
  check (limits: ConnectionCheck): void
  /** Requests without a complete response. */
  countOutstanding (): number
}

/** Added to the idle limit that clients are told: a request that was sent just before its end must still be read. */
const idleMarginMs = 2000
/** Errors of a connection that the client or its network path causes; any other one is raised by the HTTP server. */
const clientErrorCodes: readonly string[] = ['ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH']

interface TrackedExchange extends ClientExchange {
  /** Whether the whole response was handed to the operating system. */
  isSent: boolean
  /** Undefined until the request's route is known. */
  mustComplete: boolean | undefined
}

/** Tracks a connection that the HTTP server has accepted. */
export function createClientConnection (options: ClientConnectionOptions): ClientConnection {
  const { socket, timers } = options
  /** In the order of arrival; the first one is being handled. */
  const exchanges: TrackedExchange[] = []
  let end: Pick<IncompleteResponse, 'endedBy' | 'reason'> | undefined
  let pendingRefusal: string | undefined
  let isClosing = false
  const waiting = options.requestBudget === undefined ? undefined : createWaitingRequests(socket, options.requestBudget)
  /** The response that is to announce the close because of the drain. */
  let announcing: ServerResponse | undefined
  let quietSinceMs = timers.nowMs()
  let quietBytesRead = 0
  let toldIdleMs = 0

  function describeEnd (): Pick<IncompleteResponse, 'endedBy' | 'reason'> {
    if (end !== undefined) return end
    const error: NodeJS.ErrnoException | null = socket.errored
    if (error === null) return { endedBy: socket.readableEnded ? ConnectionEnd.Client : ConnectionEnd.Gateway, reason: '' }
    const reason = error.code ?? error.message
    return { endedBy: clientErrorCodes.includes(reason) ? ConnectionEnd.Client : ConnectionEnd.HttpServer, reason }
  }

  function reportIncomplete ({ request, response }: TrackedExchange): void {
    options.onIncomplete({ request, response, ...describeEnd() })
  }

  function destroy (endedBy: ConnectionEnd, reason: string): void {
    end = { endedBy, reason }
    socket.destroy()
  }

  function begin (exchange: TrackedExchange): void {
    if (exchange.response.writableEnded) return
    if (options.isDraining()) announceClose()
    options.handle(exchange)
  }

  function beginWaiting (exchange: TrackedExchange): void {
    waiting?.remove(exchange.request)
    begin(exchange)
  }

  /** A response behind one that announces the close would not arrive. */
  function announceClose (): void {
    const [only, ...others] = exchanges
    if (only === undefined || others.length > 0 || only.response.headersSent || !only.response.shouldKeepAlive) return
    only.response.shouldKeepAlive = false
    announcing = only.response
  }

  /** For a request that arrives behind the response; the last one announces the close then. */
  function withdrawClose (): void {
    if (announcing?.headersSent === false) announcing.shouldKeepAlive = true
    announcing = undefined
  }

  function finish (exchange: TrackedExchange): void {
    const index = exchanges.indexOf(exchange)
    if (index === -1) return
    exchanges.splice(index, 1)
    if (!exchange.isSent) reportIncomplete(exchange)
    if (socket.destroyed) return
    if (isClosing) dropWaiting('the response before it closed the connection')
    else if (exchanges[0] !== undefined) beginWaiting(exchanges[0])
    else settle()
    if (socket.isPaused() && exchanges.length < maxWaitingCount) socket.resume()
  }

  function settle (): void {
    quietSinceMs = timers.nowMs()
    quietBytesRead = socket.bytesRead
    if (pendingRefusal === undefined) return
    socket.write(formatRefusal(pendingRefusal))
    endConnection()
  }

  function dropWaiting (reason: string): void {
    end ??= { endedBy: ConnectionEnd.Gateway, reason }
    for (const exchange of exchanges.splice(0)) reportIncomplete(exchange)
  }

  function endConnection (): void {
    if (isClosing) return
    isClosing = true
    closeGently(socket, timers, options.lingerLimit)
  }

  /** Refuses a request whose rest will not arrive. A response that has begun cannot be completed with another status. */
  function refuseIncomplete (response: ServerResponse, status: string, raised: NodeJS.ErrnoException): void {
    if (response.writableEnded) return
    if (response.headersSent) {
      destroy(ConnectionEnd.HttpServer, raised.code ?? raised.message)
      return
    }
    response.shouldKeepAlive = false
    respondWithoutBody(response, Number.parseInt(status))
  }

  function handleHalfClose (): void {
    const [current] = exchanges
    if (current?.mustComplete === false && !current.response.writableEnded) socket.destroy()
  }

  // The HTTP server calls it after a response with `Connection: close`.
  socket.destroySoon = endConnection
  socket.on('end', handleHalfClose)
  // Without a listener an error would end the process; `describeEnd` reports it.
  socket.on('error', () => {})
  socket.once('close', () => {
    for (const exchange of exchanges.splice(0)) {
      if (!exchange.isSent) reportIncomplete(exchange)
    }
  })

  return {
    receive (request, response, statedIdleMs) {
      if (isClosing || pendingRefusal !== undefined || socket.destroyed) return
      // What was told before holds while nothing else is told.
      if (statedIdleMs > 0) toldIdleMs = statedIdleMs
      const exchange: TrackedExchange = {
        request,
        response,
        arrivedAtMs: timers.nowMs(),
        isSent: false,
        mustComplete: undefined,
        setMustComplete (mustComplete) {
          exchange.mustComplete = mustComplete
          if (socket.readableEnded) handleHalfClose()
        }
      }
      withdrawClose()
      exchanges.push(exchange)
      // Node.js also emits it, and sets `writableFinished`, for what a connection did not send before an error.
      response.once('finish', () => { exchange.isSent = !socket.destroyed && socket.errored === null })
      response.once('close', () => finish(exchange))
      if (exchanges.length === 1) {
        begin(exchange)
        return
      }
      waiting?.add(request)
      if (exchanges.length >= maxWaitingCount) socket.pause()
    },
    refuse (status, raised) {
      if (isClosing || pendingRefusal !== undefined) return
      if (!socket.writable) {
        socket.destroy()
        return
      }
      const last = exchanges.at(-1)
      if (last !== undefined && !last.request.complete) {
        refuseIncomplete(last.response, status, raised)
        return
      }
      pendingRefusal = status
      if (last === undefined) settle()
      else if (!last.response.headersSent) last.response.shouldKeepAlive = false
    },
    beginDrain: announceClose,
    giveUp () {
      const last = exchanges.at(-1)
      if (last !== undefined && !last.response.headersSent) last.response.shouldKeepAlive = false
      for (const { response, mustComplete } of exchanges) {
        if (!response.headersSent) respondWithoutBody(response, mustComplete === undefined ? 503 : 504)
        // The end of the process closes the connection in order.
        else if (!response.chunkedEncoding && !response.writableEnded) breakOffResponse(response)
      }
    },
    checkProgress () {
      if (socket.writableLength > 0) destroy(ConnectionEnd.HttpServer, 'the client does not read')
    },
    check ({ idleLimitMs, headerLimitMs, quietLimitMs }) {
      const nowMs = timers.nowMs()
      if (isClosing || exchanges.length > 0) return
      const isArriving = socket.bytesRead > quietBytesRead
      const limitMs = Math.max(idleLimitMs, toldIdleMs) + idleMarginMs + (isArriving ? headerLimitMs : 0)
      const quietMs = nowMs - quietSinceMs
      if (quietMs >= limitMs || (!isArriving && quietMs >= quietLimitMs)) socket.destroy()
    },
    countOutstanding: () => exchanges.length
  }
}

/** Sends a response that the gateway makes itself before a request's route is known, or at the end of the process. */
export function respondWithoutBody (response: ServerResponse, statusCode: number): void {
  response.writeHead(statusCode, { 'Content-Length': '0' }).end()
}

function formatRefusal (status: string): string {
  return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
}
