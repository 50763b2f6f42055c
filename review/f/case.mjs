/**
 * Clients that nobody controls send chunked bodies that stop just short of their end, and stay open. Counts what ordinary callers on new channels get
 * meanwhile, and whether the machine still takes new channels.
 */
import { writeFileSync } from 'node:fs'
import net from 'node:net'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { send, sleep, waitFor } from '../common-3/client.mjs'
import { bounds, startGateway } from '../common-3/gateway.mjs'
import { startServer } from '../common-3/server.mjs'
import { startStore } from '../common-3/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const folder = path.dirname(fileURLToPath(import.meta.url))
const host = 'ficu95.example'
const key = 'n2ctnfzs989anu6wsjnb'
const crowdCount = Number(process.env.CROWD ?? 800)
const bodyBytes = Number(process.env.BODY ?? 2000)
const requestIntervalMs = 50
const beforeMs = 3000
const duringMs = 40_000
const route = (name, prefix, routeType) => ({ name, hostname: host, prefix, routeType, timeoutMs: 800, targetLatencyMs: 120, priority: 2, backend: 'orders', maxAttempts: routeType === 'safe' ? 2 : 1 })
const config = JSON.stringify({
  version: 7,
  routes: [route('read', '/cufi504/', 'safe'), route('commit', '/puxa403/', 'unsafe')],
  services: [{ name: 'orders', maxConnections: 100, healthPath: '/health' }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [key] }]
})
const answers = []
const servers = []
const crowd = []
let gateway
const store = await startStore()
let exitCode = 2
const count = list => {
  const counts = {}
  for (const name of list) counts[name] = (counts[name] ?? 0) + 1
  return Object.entries(counts).sort().map(([name, number]) => `${name}: ${number}`).join(', ') || 'none'
}

/** One client of the crowd: it sends its body up to its last chunk, and comes back when its channel was closed. */
function press (index, isOver) {
  const socket = net.connect({ host: '127.0.0.1', port: gateway.frontPort })
  socket.on('error', () => {})
  socket.on('connect', () => socket.write(`POST /puxa403/a HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: crowd${index}\r\nX-Deadline-Ms: 1500\r\nX-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n${bodyBytes.toString(16)}\r\n${'x'.repeat(bodyBytes)}\r\n`))
  socket.on('close', () => { if (!isOver()) setTimeout(() => press(index, isOver), 500) })
  crowd[index] = socket
}

async function main () {
  store.put('op/config', config)
  for (const id of ['i-1', 'i-2', 'i-3']) servers.push(await startServer({ store, id, backend: 'orders', zone: 'praha-dilna' }))
  gateway = await startGateway({ name: 'front-1', zone: 'praha-dilna', store })
  if (!await waitFor(() => gateway.isReady(), 15_000)) throw new Error('the gateway is not ready')
  const startedMs = Date.now()
  const pending = []
  const timer = setInterval(() => pending.push(send({ port: gateway.frontPort, host, path: '/cufi504/a', key }).then(answer => answers.push(answer))), requestIntervalMs)
  const readiness = []
  const readyTimer = setInterval(async () => readiness.push({ atMs: Date.now(), isReady: await gateway.isReady() }), 1000)
  await sleep(beforeMs)
  const troubleMs = Date.now()
  let isOver = false
  if (hasTrouble) for (let index = 0; index < crowdCount; index += 1) press(index, () => isOver)
  await sleep(duringMs)
  isOver = true
  clearInterval(timer)
  clearInterval(readyTimer)
  for (const socket of crowd) socket.destroy()
  await Promise.all(pending)
  judge(startedMs, troubleMs, readiness)
}

function judge (startedMs, troubleMs, readiness) {
  const sorted = answers.toSorted((left, right) => left.sentAtMs - right.sentAtMs)
  // A channel was taken if an answer came on it, of whatever status.
  let longestMs = 0
  let lastTakenMs = startedMs
  let tries = 0
  let longestTries = 0
  for (const { sentAtMs, status } of sorted) {
    if (status === undefined) {
      tries += 1
      if (sentAtMs - lastTakenMs > longestMs) { longestMs = sentAtMs - lastTakenMs; longestTries = tries }
    } else {
      lastTakenMs = sentAtMs
      tries = 0
    }
  }
  const isBroken = longestMs > bounds.stableWindowMs && longestTries >= 7
  const describe = list => count(list.map(({ status, end }) => status ?? end))
  const lines = [
    `trouble: ${hasTrouble}; clients that nobody controls: ${hasTrouble ? crowdCount : 0}, each with a chunked body of ${bodyBytes} bytes without its end`,
    `ordinary requests on new channels before: ${describe(answers.filter(({ sentAtMs }) => sentAtMs < troubleMs))}`,
    `ordinary requests on new channels meanwhile: ${describe(answers.filter(({ sentAtMs }) => sentAtMs >= troubleMs))}`,
    `longest time in which no new channel was taken: ${longestMs} ms, ${longestTries} tries`,
    `readiness meanwhile: ${count(readiness.filter(({ atMs }) => atMs >= troubleMs).map(({ isReady }) => String(isReady)))}; ended by itself: ${gateway.getEnd() ?? 'no'}`,
    isBroken ? 'broken: RECOVER: a machine that says it is ready takes no new channel for stableWindowMs, while seven requesters or more try' : 'held'
  ]
  writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n\n${sorted.map(({ sentAtMs, requestId, status, end }) => `${sentAtMs - startedMs} ms ${requestId} -> ${status ?? end}`).join('\n')}\n`)
  console.log(lines.join('\n'))
  exitCode = isBroken ? 1 : 0
}

try {
  await main()
} catch (error) {
  console.log(`the case could not run: ${error.stack ?? error}`)
} finally {
  await gateway?.stop()
  for (const server of servers) server.stop()
  store.stop()
}
process.exit(exitCode)
