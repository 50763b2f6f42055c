/**
 * Servers leave one after the other, each after another one has taken its place, and each crashes while it still answers. Its answers have neither
 * a length nor chunks. Compares what requesters got as whole answers with what the servers had to say.
 */
import { fork } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { send, sleep, waitFor } from '../common-3/client.mjs'
import { bounds, startGateway } from '../common-3/gateway.mjs'
import { startStore } from '../common-3/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
/** Whether servers say that they leave before they crash; without it, the same crashes strike servers that don't leave. */
const doesLeave = process.env.LEAVES !== '0'
const folder = path.dirname(fileURLToPath(import.meta.url))
const host = 'ficu95.example'
const key = 'n2ctnfzs989anu6wsjnb'
const pieceCount = 8
const bodyBytes = 800
const pieceMs = 40
const firstMs = 40
const requestIntervalMs = 20
const beatMs = 1200
const roundCount = 6
const roundMs = 5000
/** From the server's word that it leaves to its crash, within `drainMs`. */
const crashAfterMs = 250

const route = (name, prefix, routeType) => ({ name, hostname: host, prefix, routeType, timeoutMs: 1500, targetLatencyMs: 400, priority: 2, backend: 'orders', maxAttempts: routeType === 'safe' ? 2 : 1 })
const config = JSON.stringify({
  version: 7,
  routes: [route('read', '/cufi504/', 'safe'), route('commit', '/puxa403/', 'unsafe')],
  services: [{ name: 'orders', maxConnections: 100, healthPath: '/health' }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [key] }]
})

const answers = []
const events = []
const runs = []
const gateways = []
const servers = []
const store = await startStore()
let exitCode = 2
let serverCount = 0

const count = list => {
  const counts = {}
  for (const name of list) counts[name] = (counts[name] ?? 0) + 1
  return Object.entries(counts).sort().map(([name, number]) => `${name}: ${number}`).join(', ') || 'none'
}

async function startServer (zone) {
  serverCount += 1
  const id = `i-${serverCount}`
  const born = Date.now()
  const child = fork(path.join(folder, '..', 'common-3', 'plain-server.mjs'), { env: { PATH: process.env.PATH, SERVER_ID: id, PIECES: String(pieceCount), PIECE_MS: String(pieceMs), FIRST_MS: String(firstMs) } })
  let state = 'ready'
  let seq = 0
  const port = await new Promise(resolve => {
    child.on('message', message => {
      if (message.port !== undefined) resolve(message.port)
      else runs.push({ serverId: id, requestId: message.ran, atMs: Date.now() })
    })
  })
  const register = () => {
    seq += 1
    store.put(`servers/${id}`, JSON.stringify({ backend: 'orders', address: `127.0.0.1:${port}`, zone, version: 'v1', slots: 6, state, coldRemainingMs: 0, seq, born }))
  }
  register()
  const beat = setInterval(register, beatMs)
  const server = {
    id,
    zone,
    leave () {
      state = 'draining'
      register()
      child.send({ leave: true })
      events.push({ atMs: Date.now(), text: `server ${id} says that it leaves` })
    },
    crash () {
      clearInterval(beat)
      child.kill('SIGKILL')
      events.push({ atMs: Date.now(), text: `server ${id} crashes (SIGKILL)` })
      // An entry goes after three check-in intervals of silence.
      setTimeout(() => store.remove(`servers/${id}`), 3 * beatMs)
    },
    /** Exits once its answers have ended, and removes its entry. */
    exit () {
      clearInterval(beat)
      store.remove(`servers/${id}`)
      child.kill('SIGKILL')
      events.push({ atMs: Date.now(), text: `server ${id} has left` })
    },
    stop () {
      clearInterval(beat)
      child.kill('SIGKILL')
    }
  }
  servers.push(server)
  return server
}

async function main () {
  store.put('op/config', config)
  const active = []
  for (const zone of ['praha-dilna', 'horice-lom', 'kolin-sklad']) active.push(await startServer(zone))
  for (const [name, zone] of [['front-1', 'praha-dilna'], ['front-2', 'horice-lom']]) gateways.push(await startGateway({ name, zone, store }))
  if (!await waitFor(async () => (await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean), 15_000)) throw new Error('the gateways are not ready')
  const startedMs = Date.now()
  const pending = []
  let requestCount = 0
  const timer = setInterval(() => {
    const gateway = gateways[requestCount % gateways.length]
    const isRead = Math.floor(requestCount / gateways.length) % 2 === 0
    requestCount += 1
    pending.push(send({ port: gateway.frontPort, host, path: isRead ? '/cufi504/a' : '/puxa403/a', method: isRead ? 'GET' : 'POST', key, body: isRead ? undefined : 'x'.repeat(600) }).then(answer => answers.push({ ...answer, gateway: gateway.name })))
  }, requestIntervalMs)
  await sleep(2000)
  for (let round = 0; round < roundCount; round += 1) {
    const old = active.shift()
    active.push(await startServer(old.zone))
    await sleep(1500)
    if (doesLeave) old.leave()
    await sleep(crashAfterMs)
    if (hasTrouble) {
      old.crash()
      await sleep(roundMs - 1500 - crashAfterMs)
    } else {
      await sleep(bounds.drainMs + 700)
      old.exit()
      await sleep(roundMs - 1500 - crashAfterMs - bounds.drainMs - 700)
    }
  }
  clearInterval(timer)
  await Promise.all(pending)
  judge(startedMs)
}

function judge (startedMs) {
  const whole = answers.filter(({ status, isWhole }) => status === 200 && isWhole)
  const short = whole.filter(({ text, requestId }) => text.length !== bodyBytes || !text.includes(`${requestId} piece ${pieceCount} of ${pieceCount}`))
  const lines = [
    `trouble: ${hasTrouble}; servers say that they leave: ${doesLeave}`,
    `answers: ${count(answers.map(({ status, end, isWhole }) => status === undefined ? end : `${status}${isWhole ? '' : ' broken off'}`))}`,
    `whole answers with a 200 and the server's receipt: ${whole.length}; without the end of the server's body: ${short.length} (${short.filter(({ method }) => method === 'GET').length} of safe requests)`,
    `gateways that ended by themselves: ${gateways.filter(gateway => gateway.getEnd() !== undefined).length}`,
    short.length > 0 ? `broken: MIXED: ${short.length} requesters got a success that looks complete, with a body that isn't the server's whole body` : 'held'
  ]
  const all = [
    ...events,
    ...runs.map(({ serverId, requestId, atMs }) => ({ atMs, text: `${serverId} runs ${requestId}` })),
    ...answers.map(({ endedAtMs, gateway, method, path: requestPath, requestId, status, end, isWhole, stamp, text }) => ({ atMs: endedAtMs, text: `${gateway} ${method} ${requestPath} ${requestId} -> ${status ?? end}${isWhole === false ? ' broken off' : ''} ${stamp ?? ''} ${text === undefined ? '' : `${text.length} of ${bodyBytes} bytes`}` }))
  ].sort((left, right) => left.atMs - right.atMs)
  writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n\n${all.map(({ atMs, text }) => `${atMs - startedMs} ms ${text}`).join('\n')}\n`)
  console.log(lines.join('\n'))
  exitCode = short.length > 0 ? 1 : 0
}

try {
  await main()
} catch (error) {
  console.log(`the case could not run: ${error.stack ?? error}`)
} finally {
  await Promise.all(gateways.map(gateway => gateway.stop()))
  for (const server of servers) server.stop()
  store.stop()
}
process.exit(exitCode)
