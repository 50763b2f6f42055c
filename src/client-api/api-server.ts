import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

import { ModelRequestShape } from '../coordination/ports/engine-streams.js'
import type { Logger } from '../observability/log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Traces, TraceSpan } from '../observability/traces.js'
import type { ClientApiSettings } from '../settings/entry-settings.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { closeGently, createLingerLimit } from '../transport/gentle-close.js'
import type { ProcessBuffers } from '../transport/process-buffers.js'
import { createRequestQueue } from '../transport/request-queue.js'
import { createAuthenticator, type ClientIdentity } from './authentication.js'
import { ApiErrorKind, createNotRunError, createRefusal, WorkState, type ApiError } from './api-error.js'
import type { ApiExchange, ModelHandler } from './model-handler.js'
import { readBody } from './request-body.js'
import { sendError, sendJson } from './response-writer.js'
import type { ServiceHandler } from './service-handler.js'

const keepAliveTimeoutMs = 60_000
const notReadyRetryMs = 2000
const servicePathPattern = /^\/services\/([^/]+)(\/.*)$/
const orderStatusPathPattern = /^\/v1\/orders\/([^/]+)\/([^/]+)$/

/** Whether the node may accept new requests; the reason is a message for people. */
export type Readiness = { readonly isReady: true, readonly config: FleetConfig } | { readonly isReady: false, readonly reason: string }

export interface ApiServerDependencies {
  readonly settings: ClientApiSettings
  readonly buffers: ProcessBuffers
  readonly timers: TimerService
  readonly modelHandler: ModelHandler
  readonly serviceHandler: ServiceHandler
  readonly metrics: Metrics
  readonly traces: Traces
  readonly log: Logger
  /** Evaluated for each request; unless ready, the request is refused. */
  getReadiness (): Readiness
  /** Reported to the load balancer. Not ready from the start of a shutdown, while arriving requests are still served. */
  getBalancerReadiness (): Readiness
  /** Called before the metrics are rendered. */
  updateGauges (): void
}

/** The HTTP server for clients and for the platform's load balancer. */
export interface ApiServer {
  /** Resolves with the port once the server listens. */
  listen (): Promise<number>
  /** Closes the listening socket and resolves when the last request in flight has ended. */
  drain (): Promise<void>
  /** Closes all connections, which aborts the requests in flight. */
  destroy (): void
  getInFlightCount (): number
}

/** Creates the server, which does not listen yet. */
export function createApiServer (dependencies: ApiServerDependencies): ApiServer {
  const { settings, buffers, timers, modelHandler, serviceHandler, metrics, traces, log } = dependencies
  const authenticator = createAuthenticator()
  let inFlightCount = 0
  let isDraining = false
  let renderingMetrics: Promise<Buffer> | undefined

  const queue = createRequestQueue(buffers.requests)
  const lingerLimit = createLingerLimit()
  const server = createServer({
    maxHeaderSize: settings.maxHeaderBytes,
    headersTimeout: settings.headersTimeoutMs,
    requestTimeout: settings.requestTimeoutMs,
    keepAliveTimeout: keepAliveTimeoutMs,
    connectionsCheckingInterval: 1000
  }, (request, response) => queue.enqueue(request, response, () => { void handle(request, response) }))
  server.maxConnections = Math.min(settings.maxConnectionCount, buffers.maxConnectionCount)
  server.on('connection', prepareConnection)
  // Without a listener Node.js closes every connection on which nothing was sent for this time, also one whose response is not due yet.
  server.setTimeout(settings.slowReaderTimeoutMs, socket => { if (socket.writableLength > 0) socket.destroy() })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (!socket.writable) {
      socket.destroy()
      return
    }
    socket.write(createRawErrorResponse(error))
    socket.destroySoon()
  })

  function prepareConnection (socket: Socket): void {
    let isClosing = false
    // The HTTP server calls it after a response with `Connection: close`.
    socket.destroySoon = () => {
      if (isClosing) return
      isClosing = true
      closeGently(socket, timers, lingerLimit)
    }
  }

  /** Without this, a connection that was busy when the drain began would stay open until its keep-alive timeout. */
  function closeIdleWhenDraining (): void {
    if (isDraining) server.closeIdleConnections()
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => response.destroy())
    response.on('close', closeIdleWhenDraining)
    if (isDraining) response.setHeader('connection', 'close')
    const url = request.url ?? '/'
    if (await handleProbe(url, response)) return
    const span = traces.startRequest(`${request.method} ${url.split('?')[0]}`, request.headers.traceparent as string | undefined)
    inFlightCount += 1
    try {
      await handleCall(request, response, url, span)
      span.end()
    } catch (error) {
      log.error('A request failed unexpectedly.', { reason: (error as Error).message })
      span.end((error as Error).message)
      if (response.headersSent) response.destroy()
      else sendError(response, { kind: ApiErrorKind.Internal, message: 'internal error', workState: WorkState.Unknown })
    } finally {
      inFlightCount -= 1
    }
  }

  async function handleProbe (url: string, response: ServerResponse): Promise<boolean> {
    if (url === '/healthz') {
      sendJson(response, 200, { status: 'alive' })
      return true
    }
    if (url === '/readyz') {
      const readiness = dependencies.getBalancerReadiness()
      sendJson(response, readiness.isReady ? 200 : 503, readiness.isReady ? { status: 'ready' } : { status: 'unready', reason: readiness.reason })
      return true
    }
    if (url === '/metrics') {
      const text = await renderMetrics()
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
      response.end(text)
      return true
    }
    return false
  }

  /** Renders the metrics once for all requests that wait for them: a crowd of requests would fill the heap with copies. */
  function renderMetrics (): Promise<Buffer> {
    renderingMetrics ??= renderNow().finally(() => { renderingMetrics = undefined })
    return renderingMetrics
  }

  async function renderNow (): Promise<Buffer> {
    dependencies.updateGauges()
    return Buffer.from(await metrics.render())
  }

  async function handleCall (request: IncomingMessage, response: ServerResponse, url: string, span: TraceSpan): Promise<void> {
    const admitted = admitClient(request)
    if (!admitted.isOk) {
      metrics.countRequest('call', admitted.error.kind)
      sendError(response, admitted.error)
      return
    }
    const body = await readBody(request, { maxBodyBytes: settings.maxBodyBytes, budget: buffers.requests })
    if (!body.isOk) {
      metrics.countRequest('call', body.error.kind)
      // What follows is no longer handed to the HTTP parser.
      response.shouldKeepAlive = false
      sendError(response, body.error)
      return
    }
    if (response.destroyed) {
      body.value.release()
      return
    }
    response.once('close', body.value.release)
    span.addAttributes({ 'egretpaddle.partner': admitted.value.identity.partner, 'egretpaddle.team': admitted.value.identity.team })
    await dispatch({ request, response, body: body.value.body, span, ...admitted.value }, url)
  }

  function admitClient (request: IncomingMessage): Result<{ identity: ClientIdentity, config: FleetConfig }, ApiError> {
    const readiness = dependencies.getReadiness()
    if (!readiness.isReady) {
      return failure(createRefusal(request, ApiErrorKind.Unavailable, `node is not ready: ${readiness.reason}`, notReadyRetryMs))
    }
    const identity = authenticator.identify(readiness.config, request.headers.authorization)
    if (!identity.isOk) return identity
    return success({ identity: identity.value, config: readiness.config })
  }

  async function dispatch (exchange: ApiExchange, url: string): Promise<void> {
    const { method } = exchange.request
    if (url === '/v1/chat/completions' && method === 'POST') {
      await modelHandler.handle(exchange, ModelRequestShape.Chat)
      return
    }
    if (url === '/v1/completions' && method === 'POST') {
      await modelHandler.handle(exchange, ModelRequestShape.Completion)
      return
    }
    if (url === '/v1/models' && method === 'GET') {
      sendJson(exchange.response, 200, listModels(exchange.config))
      return
    }
    const statusPath = orderStatusPathPattern.exec(url)
    if (statusPath !== null && method === 'GET') {
      const [, service = '', key = ''] = statusPath
      await serviceHandler.handleStatus(exchange, service, decodePathSegment(key))
      return
    }
    const servicePath = servicePathPattern.exec(url)
    if (servicePath !== null) {
      const [, service = '', path = '/'] = servicePath
      await serviceHandler.handleCall(exchange, service, path)
      return
    }
    sendError(exchange.response, createNotRunError(ApiErrorKind.NotFound, `${method} ${url} does not exist`))
  }

  return {
    listen: () => listen(server, settings),
    drain () {
      isDraining = true
      return new Promise(resolve => {
        server.close(() => resolve())
        server.closeIdleConnections()
      })
    },
    destroy: () => server.closeAllConnections(),
    getInFlightCount: () => inFlightCount
  }
}

function listen (server: Server, settings: ClientApiSettings): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.port, settings.host, () => {
      const address = server.address()
      resolve(typeof address === 'object' && address !== null ? address.port : settings.port)
    })
  })
}

function listModels (config: FleetConfig): object {
  const data = config.deployments.map(deployment => ({ id: deployment.name, object: 'model', created: 0, owned_by: deployment.partner }))
  return { object: 'list', data }
}

function decodePathSegment (segment: string): string {
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}

function createRawErrorResponse (error: NodeJS.ErrnoException): string {
  const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
  return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
}
