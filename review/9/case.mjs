/**
 * One part of a prompt crashes each server that begins to write an answer on it. The prompts of this route have eighteen shared parts; the one
 * that crashes servers stands behind the others. Counts the requests with it that reach servers after the fifth crash.
 */
import { writeFileSync } from 'node:fs'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { send, sleep, waitFor } from '../common-3/client.mjs'
import { createEngines } from '../common-3/engine.mjs'
import { bounds, startGateway } from '../common-3/gateway.mjs'
import { startStore } from '../common-3/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const folder = path.dirname(fileURLToPath(import.meta.url))
const host = 'ficu95.example'
const key = 'n2ctnfzs989anu6wsjnb'
const model = { name: 'daka510000', size: 2, share: 1, pace: 1, loadS: 1, warmS: 0.3 }
/** Parts that sound requests of the route share with those that crash servers. */
const sharedPartCount = Number(process.env.SHARED_PARTS ?? 17)
const sharedParts = Array.from({ length: sharedPartCount }, (_, index) => `${(0x5c1e07a2 + index * 0x1010101).toString(16)}:${40 + index}`)
const faultyPartId = 'deadbea7'
/** Gateways that are listed in the claim read the same settings as those of the installation. */
const soundIntervalMs = 50
const faultyIntervalMs = 400
const restartMs = 3000
const beforeMs = 4000
const troubleMs = 35_000
const allowedCount = 3

const config = JSON.stringify({
  version: 7,
  routes: [{ name: 'drafts', hostname: host, prefix: '/lohu930/', routeType: 'stream', timeoutMs: 6000, targetLatencyMs: 400, gapTargetMs: 250, priority: 1, backend: 'egret-kamen', maxAttempts: 2, streamResume: true }],
  services: [{ name: 'egret-kamen', maxConnections: 404, engine: { slots: 18, models: [model], loadsPerS: 20, loads_at_once: 20, retains: 1, formMs: 20 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [key] }]
})

const crashes = []
const arrivals = []
const answers = []
const gateways = []
const store = await startStore()
const hasFaultyPart = headers => String(headers['x-prompt-prefix']).split(',').slice(0, -1).some(part => part.startsWith(`${faultyPartId}:`))
const engines = createEngines({
  store,
  backend: 'egret-kamen',
  model,
  stallMs: bounds.stallMs,
  onArrival (arrival) {
    const isFaulty = hasFaultyPart(arrival.headers)
    arrivals.push({ ...arrival, isFaulty })
    return isFaulty && hasTrouble ? 'crash' : undefined
  },
  onCrash ({ serverId, atMs, restart }) {
    crashes.push({ serverId, atMs })
    setTimeout(restart, restartMs)
  }
})
let exitCode = 2

const count = list => {
  const counts = {}
  for (const name of list) counts[name] = (counts[name] ?? 0) + 1
  return Object.entries(counts).sort().map(([name, number]) => `${name}: ${number}`).join(', ') || 'none'
}

async function main () {
  store.put('op/config', config)
  for (let index = 0; index < 20; index += 1) await engines.start(`i-${index}`, `d${Math.floor(index / 10)}`, ['praha-dilna', 'horice-lom'][Math.floor(index / 10)])
  for (const [name, zone] of [['front-1', 'praha-dilna'], ['front-2', 'horice-lom'], ['front-3', 'kolin-sklad']]) gateways.push(await startGateway({ name, zone, store }))
  if (!await waitFor(async () => engines.countOpen() >= 8 && (await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean), 25_000)) throw new Error(`the fleet is not ready: ${engines.countOpen()} groups are open`)

  const pending = []
  let requestCount = 0
  const request = isFaulty => {
    const gateway = gateways[requestCount % gateways.length]
    requestCount += 1
    const last = `${requestCount.toString(16).padStart(8, '0')}:250`
    const prefix = [...sharedParts, ...(isFaulty ? [`${faultyPartId}:410`] : []), last].join(',')
    pending.push(send({
      port: gateway.frontPort, host, path: '/lohu930/a', method: 'POST', key, deadlineMs: 6000, body: 'prompt', headers: { 'X-Model': model.name, 'X-Token-Count': '1460,120', 'X-Prompt-Prefix': prefix }
    }).then(answer => answers.push({ ...answer, gateway: gateway.name, isFaulty })))
  }
  const startedMs = Date.now()
  const sound = setInterval(() => request(false), soundIntervalMs)
  await sleep(beforeMs)
  const faulty = setInterval(() => request(true), faultyIntervalMs)
  await sleep(troubleMs)
  clearInterval(sound)
  clearInterval(faulty)
  await Promise.all(pending)
  judge(startedMs)
}

function judge (startedMs) {
  const fifthMs = crashes[4]?.atMs
  const fromMs = (fifthMs ?? Infinity) + bounds.stableWindowMs
  // The machine sent it when it reached the server, less a few milliseconds.
  const late = arrivals.filter(arrival => arrival.isFaulty && arrival.atMs > fromMs)
  const describe = list => count(list.map(({ status, end, isWhole }) => status === undefined ? end : `${status}${isWhole ? '' : ' broken off'}`))
  const isBroken = late.length > allowedCount
  const lines = [
    `trouble: ${hasTrouble}; shared parts: ${sharedPartCount}`,
    `crashes of servers: ${crashes.length}; the fifth ${fifthMs === undefined ? 'none' : `${fifthMs - startedMs} ms`} after the start of traffic`,
    `requests with the part: ${answers.filter(({ isFaulty }) => isFaulty).length}; arrivals at servers: ${arrivals.filter(({ isFaulty }) => isFaulty).length}`,
    `arrivals with the part later than stableWindowMs after the fifth crash: ${late.length} (allowed: ${allowedCount})`,
    `answers to requests with the part: ${describe(answers.filter(({ isFaulty }) => isFaulty))}`,
    `answers to sound requests before the first crash: ${describe(answers.filter(({ isFaulty, sentAtMs }) => !isFaulty && sentAtMs < (crashes[0]?.atMs ?? Infinity)))}`,
    `answers to sound requests from ${bounds.stableWindowMs} ms after the fifth crash on: ${describe(answers.filter(({ isFaulty, sentAtMs }) => !isFaulty && sentAtMs > fromMs))}`,
    `gateways that ended by themselves: ${gateways.filter(gateway => gateway.getEnd() !== undefined).length}`,
    isBroken ? `broken: BUDGET: ${late.length} requests with the part reached servers later than stableWindowMs after the fifth crash` : 'held'
  ]
  const events = [
    ...crashes.map(({ serverId, atMs }) => ({ atMs, text: `server ${serverId} ends` })),
    ...arrivals.filter(({ isFaulty }) => isFaulty).map(({ serverId, requestId, atMs }) => ({ atMs, text: `a request with the part reaches ${serverId}: ${requestId}` })),
    ...answers.map(({ sentAtMs, gateway, requestId, isFaulty, status, end, isWhole }) => ({ atMs: sentAtMs, text: `${gateway} ${isFaulty ? 'with the part' : 'sound'} ${requestId} -> ${status ?? end}${isWhole === false ? ' broken off' : ''}` }))
  ].sort((left, right) => left.atMs - right.atMs)
  writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n\n${events.map(({ atMs, text }) => `${atMs - startedMs} ms ${text}`).join('\n')}\n`)
  console.log(lines.join('\n'))
  exitCode = isBroken ? 1 : 0
}

try {
  await main()
} catch (error) {
  console.log(`the case could not run: ${error.stack ?? error}`)
} finally {
  if (process.env.KEEP_LOGS !== undefined) for (const gateway of gateways) writeFileSync(`/tmp/${gateway.name}.log`, (await import('node:fs')).readFileSync(gateway.logPath))
  await Promise.all(gateways.map(gateway => gateway.stop()))
  engines.stop()
  store.stop()
}
process.exit(exitCode)
