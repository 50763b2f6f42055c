/**
 * The store comes back from a copy some seconds old, as in a drill, while one gateway is restarted. Counts the servers that take a join of another
 * group while the head of theirs is open, and what becomes of the streams.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

import { send, sleep, waitFor } from '../common-3/client.mjs'
import { createEngines } from '../common-3/engine.mjs'
import { bounds, startGateway } from '../common-3/gateway.mjs'
import { startStore } from '../common-3/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const doesRestart = process.env.RESTART !== '0'
const folder = path.dirname(fileURLToPath(import.meta.url))
const host = 'ficu95.example'
const key = 'n2ctnfzs989anu6wsjnb'
const model = { name: 'daka510000', size: 3, share: 1, pace: 1, loadS: 0.6, warmS: 0.3 }
const copyIntervalMs = 250
const copyAgeMs = Number(process.env.COPY_AGE ?? 3500)
const awayMs = 400
const requestIntervalMs = 50
const config = JSON.stringify({
  version: 7,
  routes: [{ name: 'drafts', hostname: host, prefix: '/lohu930/', routeType: 'stream', timeoutMs: 6000, targetLatencyMs: 400, gapTargetMs: 250, priority: 1, backend: 'egret-kamen', maxAttempts: 2, streamResume: true }],
  services: [{ name: 'egret-kamen', maxConnections: 404, engine: { slots: 18, models: [model], loadsPerS: 20, loads_at_once: 20, retains: 1, formMs: 20 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [key] }]
})
const answers = []
const events = []
const broken = []
const gateways = []
const store = await startStore()
const engines = createEngines({ store, backend: 'egret-kamen', model, stallMs: bounds.stallMs, onBrokenRule: found => broken.push(found) })
let exitCode = 2
const count = list => {
  const counts = {}
  for (const name of list) counts[name] = (counts[name] ?? 0) + 1
  return Object.entries(counts).sort().map(([name, number]) => `${name}: ${number}`).join(', ') || 'none'
}

async function main () {
  store.put('op/config', config)
  for (let index = 0; index < 20; index += 1) await engines.start(`i-${index}`, `d${Math.floor(index / 10)}`, ['praha-dilna', 'horice-lom'][Math.floor(index / 10)])
  const copies = []
  const copyTimer = setInterval(() => copies.push(store.saveCopy()), copyIntervalMs)
  const zones = ['praha-dilna', 'horice-lom', 'kolin-sklad']
  for (const [index, zone] of zones.entries()) gateways.push(await startGateway({ name: `front-${index + 1}`, zone, store }))
  if (!await waitFor(async () => engines.countOpen() >= 6 && (await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean), 25_000)) throw new Error(`the fleet is not ready: ${engines.countOpen()} groups are open`)
  const startedMs = Date.now()
  const pending = []
  let requestCount = 0
  // The gateways that are not restarted take the streams.
  const timer = setInterval(() => {
    const gateway = gateways[1 + requestCount % 2]
    requestCount += 1
    pending.push(send({
      port: gateway.frontPort, host, path: '/lohu930/a', method: 'POST', key, deadlineMs: 6000, body: 'prompt', headers: { 'X-Model': model.name, 'X-Token-Count': '1460,120', 'X-Prompt-Prefix': `5c1e07a2:800,${requestCount.toString(16)}:250` }
    }).then(answer => answers.push({ ...answer, gateway: gateway.name })))
  }, requestIntervalMs)
  await sleep(800)
  clearInterval(copyTimer)
  if (hasTrouble) {
    const copy = copies.findLast(({ atMs }) => atMs <= Date.now() - copyAgeMs + awayMs) ?? copies[0]
    store.goAway()
    events.push({ atMs: Date.now(), text: 'the store is away' })
    await sleep(awayMs)
    store.comeBack(copy)
    events.push({ atMs: Date.now(), text: `the store is back from a copy ${Date.now() - copy.atMs} ms old` })
    // The operator writes again what it wrote; the servers do so with their check-ins.
    setTimeout(() => store.put('op/config', config), 500)
  }
  if (doesRestart) {
    const [old] = gateways
    old.child.kill('SIGKILL')
    events.push({ atMs: Date.now(), text: 'front-1 is killed and starts again' })
    gateways.push(await startGateway({ name: 'front-1', zone: zones[0], store }))
  }
  await sleep(8000)
  clearInterval(timer)
  await Promise.all(pending)
  judge(startedMs)
}

function judge (startedMs) {
  const lines = [
    `trouble: ${hasTrouble}; restart: ${doesRestart}`,
    `groups open at the end: ${engines.countOpen()}`,
    `answers: ${count(answers.map(({ status, end, isWhole }) => status === undefined ? end : `${status}${isWhole ? '' : ' broken off'}`))}`,
    `joins taken while the head of the server's group was open: ${broken.length}`,
    broken.length > 0 ? `broken: TWO: ${broken[0].text}` : 'held'
  ]
  const all = [...events, ...broken, ...answers.map(({ endedAtMs, gateway, requestId, status, end, isWhole }) => ({ atMs: endedAtMs, text: `${gateway} ${requestId} -> ${status ?? end}${isWhole === false ? ' broken off' : ''}` }))].sort((left, right) => left.atMs - right.atMs)
  writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n\n${all.map(({ atMs, text }) => `${atMs - startedMs} ms ${text}`).join('\n')}\n`)
  console.log(lines.join('\n'))
  exitCode = broken.length > 0 ? 1 : 0
}

try {
  await main()
} catch (error) {
  console.log(`the case could not run: ${error.stack ?? error}`)
} finally {
  if (process.env.KEEP_LOGS !== undefined) gateways.forEach((gateway, index) => writeFileSync(`/tmp/e-${index}-${gateway.name}.log`, readFileSync(gateway.logPath)))
  await Promise.all(gateways.map(gateway => gateway.stop()))
  engines.stop()
  store.stop()
}
process.exit(exitCode)
