// A gateway on a machine of 250 MB before clients that nobody controls. See claim.txt.
import { once } from 'node:events'
import { readFileSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import { startCrowd } from '../../common-2/crowd.mjs'
import { send, sleep, startGateway, startStore, waitFor } from '../../common-2/standins.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const folder = new URL('.', import.meta.url).pathname
const lines = []
const startedAtMs = Date.now()
const memoryMb = 250
/** The looser reading of a megabyte. */
const limitBytes = memoryMb * 1024 * 1024
const crowdSize = 380
const bodyBytes = 3_900_000
const chunkBytes = 1000
const workMs = 300
const runMs = 25_000
const record = text => lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${text}`)

function describeEnd ({ status, error }) {
  return status === 0 ? `no answer (${error})` : `status ${status}`
}

function readMemory (processId) {
  try {
    const text = readFileSync(`/proc/${processId}/status`, 'utf8')
    const read = name => Number(new RegExp(`^${name}:\\s+(\\d+) kB$`, 'm').exec(text)?.[1] ?? 0) * 1024
    return { residentBytes: read('VmRSS'), peakBytes: read('VmHWM') }
  } catch {
    return { residentBytes: 0, peakBytes: 0 }
  }
}

async function run () {
  const store = await startStore()
  const ranIds = new Set()
  let gateway
  let crowd
  const state = { isOver: false, isKilled: false }
  const server = http.createServer((request, response) => {
    request.resume()
    request.on('end', () => {
      const attemptId = request.headers['x-attempt-id']
      ranIds.add(attemptId)
      record(`server i-1 ran ${attemptId}`)
      setTimeout(() => response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Response-Stamp': `stamp.${attemptId}`, 'Content-Length': 5 }).end('whole'), workMs)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  try {
    store.put('op/config', JSON.stringify({
      version: 1,
      routes: [{ name: 'orders', hostname: 'h.example', prefix: '/orders/', routeType: 'unsafe', timeoutMs: 3000, targetLatencyMs: 600, priority: 1, backend: 'orders', maxAttempts: 1, public: false }],
      services: [{ name: 'orders', maxConnections: 110 }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      tenants: [{ name: 'foremen', apiKeys: ['key-1'], priority: 1 }]
    }))
    store.put('servers/i-1', JSON.stringify({ backend: 'orders', address: `127.0.0.1:${server.address().port}`, zone: 'zone-1', version: 'v1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: 1, born: Date.now() }))
    gateway = await startGateway({ name: 'front-1', storeAddress: store.address, memoryMb })
    await waitFor('the gateway is ready', 15_000, gateway.isReady)
    await sleep(1000)
    record(`the gateway has ${Math.round(readMemory(gateway.child.pid).residentBytes / 1e6)} MB resident; its machine has ${memoryMb} MB`)
    let highestBytes = 0
    const answers = []
    let count = 0
    async function callOften () {
      while (!state.isOver && !state.isKilled) {
        count += 1
        const attemptId = `order-${count}`
        record(`caller sends ${attemptId}`)
        answers.push({ attemptId, ...await send({ port: gateway.front, path: '/orders/new', headers: { Host: 'h.example', 'X-Attempt-Id': attemptId, 'X-Deadline-Ms': '3000', 'X-Key': 'key-1' }, body: 'two blocks', timeoutMs: 3000 }) })
        record(`caller of ${attemptId} got ${describeEnd(answers.find(answer => answer.attemptId === attemptId))}`)
        await sleep(100)
      }
    }
    const callers = Array.from({ length: 3 }, callOften)
    await sleep(1000)
    if (hasTrouble) {
      record(`${crowdSize} clients send a chunked body of ${bodyBytes} bytes each, in chunks of ${chunkBytes}, and stop short of its end; they come again when they are closed`)
      crowd = startCrowd({ port: gateway.front, path: '/orders/new', key: 'key-1', connectionCount: crowdSize, byteCount: bodyBytes, chunkBytes, reopens: true })
    }
    const endMs = Date.now() + runMs
    let notedMs = 0
    while (Date.now() < endMs && gateway.exit === undefined && !state.isKilled) {
      const { residentBytes, peakBytes } = readMemory(gateway.child.pid)
      highestBytes = Math.max(highestBytes, peakBytes)
      if (Date.now() - notedMs > 1000) {
        notedMs = Date.now()
        record(`${Math.round(residentBytes / 1e6)} MB resident, ${crowd?.countOpen() ?? 0} clients of the crowd open, ${answers.length} ordinary requests ended`)
      }
      if (highestBytes > limitBytes) {
        // What the platform does to a process that exceeds `memoryMb`.
        state.isKilled = true
        gateway.child.kill('SIGKILL')
        record(`the gateway had ${Math.round(highestBytes / 1e6)} MB resident, over ${memoryMb} MB (${Math.round(limitBytes / 1e6)} million bytes): the platform kills it`)
      }
      await sleep(10)
    }
    state.isOver = true
    await Promise.all(callers)
    const served = answers.filter(answer => answer.status === 200)
    record(`ordinary requests: ${answers.length}, served ${served.length}, others ${answers.filter(answer => answer.status !== 200).map(answer => `${answer.attemptId} ${answer.status || answer.error}${ranIds.has(answer.attemptId) ? ' (it ran)' : ''}`).join(', ') || 'none'}`)
    record(`most memory of the gateway: ${Math.round(highestBytes / 1e6)} MB`)
    if (state.isKilled) return 1
    if (hasTrouble && gateway.exit !== undefined) {
      record(`the gateway ended by itself: ${gateway.exit}`)
      return 1
    }
    if (!hasTrouble && (gateway.exit !== undefined || served.length !== answers.length)) throw new Error('without the disruption a request was not served')
    return 0
  } finally {
    state.isOver = true
    crowd?.close()
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
console.log(lines.filter(line => !/caller|server i-1 ran/.test(line)).join('\n'))
process.exit(code)
