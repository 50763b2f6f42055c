/**
 * One entry that another writer has put under `servers/`, with a field of another type. Then the operator changes the configuration and a server
 * leaves. Shows what the machines do after the bounds for both.
 */
import { writeFileSync } from 'node:fs'
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
/** An entry of some 100 KB: the store takes values of up to 1 MB. Some 5,000 levels are enough on the machine of the review. */
const nestingDepth = 50_000
const requestIntervalMs = 25
/** A request that reaches a server this much later than the bound allows is counted, as clocks and links here take some milliseconds. */
const marginMs = 100
const beforeMs = 4000
const betweenMs = 700
const afterMs = 12_000

const route = (name, prefix, routeType, backend) => ({
  name, hostname: host, prefix, routeType, timeoutMs: 800, targetLatencyMs: 120, priority: 2, backend, maxAttempts: routeType === 'safe' ? 2 : 1
})
const createConfig = (version, routes) => JSON.stringify({
  version,
  routes,
  services: [{ name: 'orders', maxConnections: 100, healthPath: '/health' }, { name: 'archive', maxConnections: 100, healthPath: '/health' }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [key] }]
})
const firstRoutes = [route('read', '/cufi504/', 'safe', 'orders'), route('commit', '/puxa403/', 'unsafe', 'orders'), route('moved', '/lohu930/', 'safe', 'orders')]
/** The second version moves one route to another service and adds one. */
const secondRoutes = [...firstRoutes.slice(0, 2), route('moved', '/lohu930/', 'safe', 'archive'), route('added', '/neku777/', 'safe', 'archive')]

const arrivals = []
const answers = []
const gateways = []
const servers = []
const store = await startStore()
let exitCode = 2

function count (list) {
  const counts = {}
  for (const name of list) counts[name] = (counts[name] ?? 0) + 1
  return Object.entries(counts).sort().map(([name, number]) => `${name}: ${number}`).join(', ') || 'none'
}

async function main () {
  store.put('op/config', createConfig(7, firstRoutes))
  for (const [id, backend, zone] of [['i-1', 'orders', 'praha-dilna'], ['i-2', 'orders', 'horice-lom'], ['i-3', 'orders', 'kolin-sklad'], ['i-4', 'archive', 'praha-dilna'], ['i-5', 'archive', 'horice-lom']]) {
    servers.push(await startServer({ store, id, backend, zone, onArrival: arrival => arrivals.push(arrival) }))
  }
  for (const [name, zone] of [['front-1', 'praha-dilna'], ['front-2', 'horice-lom'], ['front-3', 'kolin-sklad']]) gateways.push(await startGateway({ name, zone, store }))
  if (!await waitFor(async () => (await Promise.all(gateways.map(gateway => gateway.isReady()))).every(Boolean), 15_000)) throw new Error('the gateways are not ready')

  const pending = []
  const paths = ['/cufi504/a', '/puxa403/a', '/lohu930/a']
  let requestCount = 0
  const timer = setInterval(() => {
    const gateway = gateways[requestCount % gateways.length]
    const requestPath = paths[Math.floor(requestCount / gateways.length) % paths.length]
    requestCount += 1
    pending.push(send({ port: gateway.frontPort, host, path: requestPath, method: requestPath === '/puxa403/a' ? 'POST' : 'GET', key, body: requestPath === '/puxa403/a' ? 'x'.repeat(600) : undefined }).then(answer => answers.push({ ...answer, gateway: gateway.name })))
  }, requestIntervalMs)
  await sleep(beforeMs)

  const times = { startedMs: Date.now() - beforeMs }
  // The same entry in both runs, but for the one field.
  const entry = { backend: 'orders', address: '127.0.0.1:9', zone: 'praha-dilna', version: 'v1', slots: 6, state: 'draining', coldRemainingMs: 0, seq: 1, born: Date.now() }
  store.put('servers/i-other', hasTrouble ? JSON.stringify(entry).replace('"coldRemainingMs":0', `"coldRemainingMs":${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`) : JSON.stringify(entry))
  times.entryMs = Date.now()
  await sleep(betweenMs)
  store.put('op/config', createConfig(9, secondRoutes))
  times.configMs = Date.now()
  paths.push('/neku777/a')
  times.drainMs = servers[0].drain()
  await sleep(afterMs)
  clearInterval(timer)
  const ready = (await Promise.all(gateways.map(gateway => gateway.isReady()))).filter(Boolean).length
  await Promise.all(pending)
  judge(times, ready)
}

function judge ({ startedMs, entryMs, configMs, drainMs }, readyCount) {
  const sentAtMs = new Map(answers.map(answer => [answer.requestId, answer.sentAtMs]))
  const configFromMs = configMs + bounds.configApplyMs
  const late = answers.filter(answer => answer.sentAtMs > configFromMs)
  const refusedAdded = late.filter(answer => answer.path === '/neku777/a' && [401, 403, 404].includes(answer.status))
  const runByOld = arrivals.filter(arrival => arrival.path === '/lohu930/a' && arrival.backend === 'orders' && sentAtMs.get(arrival.requestId) > configFromMs)
  const drained = arrivals.filter(arrival => arrival.serverId === 'i-1' && arrival.atMs > drainMs + bounds.drainMs + marginMs)
  const broken = [
    ...(refusedAdded.length > 0 ? [`CONFIG: ${refusedAdded.length} requests sent later than configApplyMs after the ack got a 404 on the added route`] : []),
    ...(runByOld.length > 0 ? [`CONFIG: ${runByOld.length} requests sent later than configApplyMs after the ack were run by the old service of the moved route`] : []),
    ...(drained.length > 0 ? [`DRAIN: ${drained.length} requests reached the server that leaves later than drainMs after the ack`] : [])
  ]
  const describe = list => count(list.map(({ status, end }) => String(status ?? end)))
  const lastMs = answers.at(-1)?.sentAtMs ?? 0
  const lines = [
    `trouble: ${hasTrouble}`,
    `entry of another writer ${entryMs - startedMs} ms after the start of traffic; configuration 9 ${configMs - startedMs} ms, the server i-1 draining ${drainMs - startedMs} ms`,
    `answers to requests sent before the entry: ${describe(answers.filter(answer => answer.sentAtMs < entryMs))}`,
    `answers from the ack of configuration 9 until configApplyMs after it: ${describe(answers.filter(answer => answer.sentAtMs >= configMs && answer.sentAtMs <= configFromMs))}`,
    `answers from then on: ${describe(late)}`,
    `  on the added route: ${describe(late.filter(({ path: requestPath }) => requestPath === '/neku777/a'))}`,
    `  on the moved route, by the service that ran it: ${count(late.filter(({ path: requestPath }) => requestPath === '/lohu930/a').map(({ text, status }) => status === 200 ? (/^i-[45] /.test(text) ? 'archive' : 'orders') : String(status)))}`,
    `answers to requests sent in the last 5 s: ${describe(answers.filter(answer => answer.sentAtMs > lastMs - 5000))}`,
    `arrivals at i-1 later than drainMs after its ack: ${drained.length}`,
    `gateways that say they are ready at the end: ${readyCount} of ${gateways.length}; ended by themselves: ${gateways.filter(gateway => gateway.getEnd() !== undefined).length}`,
    ...(broken.length > 0 ? broken.map(text => `broken: ${text}`) : ['held'])
  ]
  writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n\n${answers.map(answer => `${answer.sentAtMs - startedMs} ms ${answer.gateway} ${answer.method} ${answer.path} ${answer.requestId} -> ${answer.status ?? answer.end}${answer.stamp === undefined ? '' : ` ${answer.stamp}`}`).join('\n')}\n`)
  console.log(lines.join('\n'))
  exitCode = broken.length > 0 ? 1 : 0
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
