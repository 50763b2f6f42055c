import http from 'node:http'

import type { Metrics } from '../observability/metrics.js'
import { encodeRelayAnswer, relayPath } from '../protocol/relay-answer.js'
import type { NetworkAddress } from '../shared/network-address.js'
import type { RelayAnswerer } from './relay-answerer.js'

const metricsPath = '/metrics'

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
export function createRelayServer (address: NetworkAddress, answerer: RelayAnswerer) {
  return createSmallServer(address, (request, response) => {
    const { pathname, searchParams } = new URL(request.url ?? '', 'http://gateway')
    if (pathname !== relayPath) {
      response.writeHead(404).end()
      return
    }
    const after = searchParams.get('after')
    void answerer.answer(after === null ? undefined : Number(after), Number(searchParams.get('waitMs') ?? 0)).then(answer => {
      if (answer === undefined) response.writeHead(503).end()
      else response.writeHead(200, { 'Content-Type': 'application/json' }).end(encodeRelayAnswer(answer))
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
