// Single requests with bodies in very small chunks, in calm. See claim.txt.
import { once } from 'node:events'
import { writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { sleep, startGateway, startStore, waitFor } from '../../common-2/standins.mjs'

const folder = new URL('.', import.meta.url).pathname
const lines = []
const startedAtMs = Date.now()
const requestCount = 40
const bodyBytes = 5000
const maxBodyBytes = 4_194_304
/** TROUBLE=0: the same bodies in chunks of an ordinary size. */
const chunkBytes = process.env.TROUBLE === '0' ? 1000 : 1
const record = text => lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${text}`)

/** Sends one request on a channel of its own and returns the status of the answer; 0 without one. */
function sendInChunks (port, attemptId) {
  return new Promise(resolve => {
    const socket = net.connect({ host: '127.0.0.1', port })
    let text = ''
    const end = () => {
      clearTimeout(timer)
      socket.destroy()
      resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0))
    }
    const timer = setTimeout(end, 3000)
    const length = () => Number(/^content-length: (\d+)/im.exec(text)?.[1] ?? 0)
    socket.on('data', data => {
      text += data.toString('latin1')
      const headEnd = text.indexOf('\r\n\r\n')
      if (headEnd >= 0 && text.length >= headEnd + 4 + length()) end()
    })
    socket.on('error', end)
    socket.on('end', end)
    socket.on('connect', () => {
      const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`
      socket.write(`POST /orders/new HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: ${attemptId}\r\nX-Deadline-Ms: 3000\r\nX-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(bodyBytes / chunkBytes)}0\r\n\r\n`)
    })
  })
}

async function run () {
  const store = await startStore()
  const ranIds = new Set()
  let gateway
  const server = http.createServer((request, response) => {
    let byteCount = 0
    request.on('data', chunk => { byteCount += chunk.length })
    request.on('end', () => {
      const attemptId = request.headers['x-attempt-id']
      ranIds.add(attemptId)
      record(`server i-1 ran ${attemptId} with a body of ${byteCount} bytes`)
      response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Response-Stamp': `stamp.${attemptId}`, 'Content-Length': 5 }).end('whole')
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  try {
    store.put('op/config', JSON.stringify({
      version: 1,
      routes: [{ name: 'orders', hostname: 'h.example', prefix: '/orders/', routeType: 'unsafe', timeoutMs: 3000, targetLatencyMs: 600, priority: 1, backend: 'orders', maxAttempts: 1, public: false }],
      services: [{ name: 'orders', maxConnections: 110 }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      tenants: [{ name: 'foremen', apiKeys: ['key-1'], priority: 1 }]
    }))
    store.put('servers/i-1', JSON.stringify({ backend: 'orders', address: `127.0.0.1:${server.address().port}`, zone: 'zone-1', version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: 1, born: Date.now() }))
    gateway = await startGateway({ name: 'front-1', storeAddress: store.address })
    await waitFor('the gateway is ready', 15_000, gateway.isReady)
    // Longer than `stableWindowMs`: the machine is in touch.
    await sleep(4000)
    const statuses = []
    for (let index = 1; index <= requestCount; index += 1) {
      const status = await sendInChunks(gateway.front, `order-${index}`)
      statuses.push(status)
      record(`caller of order-${index} sent ${bodyBytes} bytes (of ${maxBodyBytes} allowed) in chunks of ${chunkBytes}, alone, and got ${status || 'no answer'}`)
      await sleep(100)
    }
    const denied = statuses.filter(status => status >= 300 && status < 500 && ![408, 421, 429].includes(status)).length
    const bound = 5 + requestCount / 500
    record(`${requestCount} requests, one after another: served ${statuses.filter(status => status === 200).length}, ended with a 3xx or 4xx of the gateway ${denied} (bound ${bound.toFixed(2)}), ran ${ranIds.size}`)
    if (process.env.TROUBLE === '0' && statuses.some(status => status !== 200)) throw new Error('in ordinary chunks a request was not served')
    return denied > bound ? 1 : 0
  } finally {
    await gateway?.stop()
    server.close()
    server.closeAllConnections()
    store.stop()
  }
}

let code = 2
try {
  code = await run()
} catch (error) {
  record(`could not run: ${error.stack}`)
}
record(code === 1 ? 'the rule was broken' : code === 0 ? 'the rule held' : 'the case could not run')
writeFileSync(`${folder}record.txt`, lines.join('\n') + '\n')
console.log(lines.join('\n'))
process.exit(code)
