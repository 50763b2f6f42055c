import http from 'node:http'

import type { Metrics } from '../observability/metrics.js'
import type { NetworkAddress } from '../shared/network-address.js'

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
