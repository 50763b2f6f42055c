/** Servers for the platform and other gateways: readiness, metrics and relay requests. */
import http from 'node:http'

import type { Logger } from '../observability/log.js'
import type { Metrics } from '../observability/metrics.js'
import { decodeRelayRequest, encodeRelayResponse, relayPath } from '../protocol/relay-messages.js'
import type { NetworkAddress } from '../shared/network-address.js'
import type { BufferBudget } from '../shared/buffer-budget.js'
import { BodyResultKind, readRequestBody } from '../transport/request-body.js'
import { createRequestQueue } from '../transport/request-queue.js'
import type { RelayHandler } from './relay-handler.js'

const metricsPath = '/metrics'
/** A relay request has the sender's load report, which names a few dozen replicas. */
const maxRelayRequestBytes = 256 * 1024
/** Heads and whole requests of machines of the platform arrive within milliseconds; the rest is for lost packets. */
const headerLimitMs = 2000
const requestLimitMs = 5000
/** Longest time without a byte in either direction. Relay requests wait for 2 s at most (`maxWaitMs` of the relay handler). */
const silenceLimitMs = 4000
/** Interval of the checks of the limits on requests, a fraction of the shortest. */
const checkIntervalMs = 500
/** Connections to the readiness and to the metrics port. The platform's balancer and the collectors of metrics use a few each. */
const maxPlatformConnectionCount = 64
/** Connections of other gateways. A relay has 24 (docs/CAPACITY.md), and more for seconds when others of its zone end. */
const maxRelayConnectionCount = 512

/** Creates the server of the load balancer's readiness check: 200 while the gateway accepts connections, else 503. */
export function createReadinessServer (address: NetworkAddress, budget: BufferBudget, isReady: () => boolean) {
  return createInternalServer({ address, budget, maxConnectionCount: maxPlatformConnectionCount }, (_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'Content-Length': '0' })
    response.end()
  })
}

/** Creates the server of the metrics in the Prometheus text format; `refreshGauges` is called before each response. */
export function createMetricsServer (address: NetworkAddress, budget: BufferBudget, metrics: Metrics, refreshGauges: () => void) {
  return createInternalServer({ address, budget, maxConnectionCount: maxPlatformConnectionCount }, (request, response) => {
    if (request.url !== metricsPath) {
      response.writeHead(404).end()
      return
    }
    refreshGauges()
    metrics.render().then(text => response.end(text), (error: Error) => response.writeHead(500).end(error.message))
  })
}

/** Creates the server of relay requests, with which other gateways read the store's content. */
export function createRelayServer (address: NetworkAddress, handler: RelayHandler, budget: BufferBudget, logger: Logger) {
  async function handleRequest (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { result, release } = readRequestBody(request, { maxBytes: maxRelayRequestBytes, budget })
    const body = await result
    release()
    const relayRequest = body.kind === BodyResultKind.Whole ? decodeRelayRequest(body.body?.toString('utf8') ?? '') : undefined
    if (request.url !== relayPath || relayRequest === undefined) {
      logger.warn('A relay request is invalid; it was refused with status 400.', { path: request.url ?? '', from: request.socket.remoteAddress ?? '' })
      // The rest of a body that is too large is not read.
      response.writeHead(400, { Connection: 'close' }).end()
      return
    }
    const relayResponse = await handler.handle(relayRequest)
    if (relayResponse === undefined) response.writeHead(503).end()
    else response.writeHead(200, { 'Content-Type': 'application/json' }).end(encodeRelayResponse(relayResponse))
  }

  return createInternalServer({ address, budget, maxConnectionCount: maxRelayConnectionCount }, (request, response) => {
    handleRequest(request, response).catch((error: Error) => {
      logger.warn('A relay request could not be answered.', { reason: error.message })
      response.destroy()
    })
  })
}

interface InternalServerOptions {
  readonly address: NetworkAddress
  /** Counts the requests that wait behind others on their connections. */
  readonly budget: BufferBudget
  /** Further connections are closed at once. */
  readonly maxConnectionCount: number
}

function createInternalServer ({ address, budget, maxConnectionCount }: InternalServerOptions, listener: http.RequestListener) {
  const queue = createRequestQueue(budget)
  const server = http.createServer({ headersTimeout: headerLimitMs, requestTimeout: requestLimitMs, connectionsCheckingInterval: checkIntervalMs }, (request, response) => queue.enqueue(request, response, () => listener(request, response)))
  server.maxConnections = maxConnectionCount
  server.timeout = silenceLimitMs
  return {
    start: (): Promise<void> => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(address.port, address.host, resolve)
    }),
    stop (): void {
      server.close()
      server.closeAllConnections()
    }
  }
}
