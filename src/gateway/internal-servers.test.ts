import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { createMetrics } from '../observability/metrics.js'
import { findFreePorts } from '../testing/free-ports.js'
import { createBufferBudget } from '../shared/buffer-budget.js'
import { createMetricsServer, createReadinessServer, createRelayServer } from './internal-servers.js'
import type { RelayHandler } from './relay-handler.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }
const budget = createBufferBudget({ maxByteCount: 8_000_000, smallByteCount: 0, onEvicted () {} })

describe('internal servers', () => {
  let port = 0
  let server: ReturnType<typeof createReadinessServer>
  let handle: RelayHandler['handle']

  beforeEach(async () => {
    const [freePort = 0] = await findFreePorts(1)
    port = freePort
    handle = async () => undefined
  })

  afterEach(() => server.stop())

  /** Sends pieces until the server closes; fails by the test's timeout if it does not. */
  async function sendUntilClosed (head: string, piece: string, intervalMs = 5): Promise<{ readonly sentBytes: number, readonly elapsedMs: number }> {
    const startedAtMs = Date.now()
    const socket = net.connect(port, '127.0.0.1')
    let sentBytes = 0
    socket.on('error', () => {})
    socket.resume()
    await once(socket, 'connect')
    socket.write(head)
    const writer = setInterval(() => {
      if (socket.writableLength > 0) return
      socket.write(piece)
      sentBytes += piece.length
    }, intervalMs)
    await new Promise(resolve => socket.once('close', resolve))
    clearInterval(writer)
    return { sentBytes, elapsedMs: Date.now() - startedAtMs }
  }

  it('end slow requests within a few seconds, and stay in use for others', async () => {
    server = createReadinessServer({ host: '127.0.0.1', port }, budget, () => true)
    await server.start()
    const requests = [
      sendUntilClosed('GET /readiness HTTP/1.1\r\nHost: h\r\n', 'X-Slow: 1\r\n', 100),
      sendUntilClosed('POST /readiness HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n', 'x', 100),
      sendUntilClosed('POST /readiness HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n', '1;x\r\nx\r\n', 100)
    ]
    expect((await fetch(`http://127.0.0.1:${port}/readiness`)).status).to.equal(200)
    for (const { elapsedMs } of await Promise.all(requests)) expect(elapsedMs).to.be.lessThan(7000)
  })

  it('end a connection whose client does not read', async () => {
    server = createMetricsServer({ host: '127.0.0.1', port }, budget, { ...createMetrics({ includesProcessMetrics: false }), render: async () => 'x'.repeat(16_000_000) }, () => {})
    await server.start()
    const socket = net.connect(port, '127.0.0.1')
    let receivedBytes = 0
    socket.on('error', () => {})
    socket.on('data', chunk => { receivedBytes += chunk.length })
    socket.pause()
    socket.write('GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n')
    // The first wait begins again, since some bytes were sent in it.
    await new Promise(resolve => setTimeout(resolve, 9000))
    socket.resume()
    await new Promise(resolve => socket.once('close', resolve))
    expect(receivedBytes).to.be.lessThan(16_000_000)
  })

  it('refuse a relay request that is too large or has no end, and close its connection', async () => {
    server = createRelayServer({ host: '127.0.0.1', port }, { handle: request => handle(request) }, budget, silentLogger)
    await server.start()
    for (const head of [
      'POST /fleet HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
      'POST /fleet HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n'
    ]) {
      const { sentBytes, elapsedMs } = await sendUntilClosed(head, `2710\r\n${'x'.repeat(10_000)}\r\n`)
      expect(sentBytes).to.be.lessThan(8_000_000)
      expect(elapsedMs).to.be.lessThan(7000)
    }
  })

  it('let a relay request wait for its response for as long as gateways ask', async () => {
    handle = () => new Promise(resolve => { setTimeout(() => resolve(undefined), 2500) })
    server = createRelayServer({ host: '127.0.0.1', port }, { handle: request => handle(request) }, budget, silentLogger)
    await server.start()
    const body = JSON.stringify({ waitMs: 2000, wantsLargeValues: false, loads: { nodeId: 'n', sequence: 1, streamCounts: {}, stalledIds: [], quietIds: [] } })
    // A relay without a view of the store.
    expect((await fetch(`http://127.0.0.1:${port}/fleet`, { method: 'POST', body })).status).to.equal(503)
  })
})
