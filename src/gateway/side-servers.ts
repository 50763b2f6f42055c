import http from 'node:http'

import type { Logger } from '../observability/log.js'
import type { Metrics } from '../observability/metrics.js'
import { decodeRelayRequest, encodeRelayResponse, relayPath } from '../protocol/relay-messages.js'
import type { NetworkAddress } from '../shared/network-address.js'
import type { RelayHandler } from './relay-handler.js'
import { BodyResultKind, readRequestBody } from './request-body.js'

const metricsPath = '/metrics'
/** A load report names some dozen groups. */
const maxQuestionBytes = 256 * 1024

/** Creates the server that tells the balancer whether this gateway takes connections. */
export function createReadinessServer (address: NetworkAddress, isReady: () => boolean) {
  return createSmallServer(address, (_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'Content-Length': '0' })
    response.end()
  })
}

/** Creates the server of counters and histograms in the Prometheus text format. */
export function createMetricsServer (address: NetworkAddress, metrics: Metrics) {
  return createSmallServer(address, (request, response) => {
    if (request.url !== metricsPath) {
      response.writeHead(404).end()
      return
    }
    metrics.render().then(text => response.end(text), (error: Error) => response.writeHead(500).end(error.message))
  })
}

/** Creates the server that other gateways ask for what the store holds. */
export function createRelayServer (address: NetworkAddress, answerer: RelayHandler, logger: Logger) {
  async function answer (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readRequestBody(request, maxQuestionBytes)
    const question = body.kind === BodyResultKind.Whole ? decodeRelayRequest(body.body?.toString('utf8') ?? '') : undefined
    if (request.url !== relayPath || question === undefined) {
      response.writeHead(400).end()
      return
    }
    const told = await answerer.handle(question)
    if (told === undefined) response.writeHead(503).end()
    else response.writeHead(200, { 'Content-Type': 'application/json' }).end(encodeRelayResponse(told))
  }

  return createSmallServer(address, (request, response) => {
    answer(request, response).catch((error: Error) => {
      logger.warn('A question of another gateway could not be answered.', { reason: error.message })
      response.destroy()
    })
  })
}

function createSmallServer (address: NetworkAddress, listener: http.RequestListener) {
  const server = http.createServer(listener)
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
