// A gateway is killed and starts again while the store comes back from a copy some seconds old: it takes the copy for the present,
// becomes the planner and orders servers that are members of open groups into new groups.
import { fileURLToPath } from 'node:url'

import { runCase, sleep, startGateway } from '../../standins/gateway.mjs'
import { startServer } from '../../standins/server.mjs'
import { startStore } from '../../standins/store.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const model = 'daka510000'
const size = 3
const domainCount = 6
const serversPerDomain = 6
const copyAgeMs = 5000
const heartbeatMs = 1200

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, addCleanup }) => {
  const store = await startStore({ era: 1 })
  addCleanup(() => store.stop())
  store.put('op/config', {
    version: 1,
    routes: [{ name: 'r-1', hostname: 'a.example', prefix: '/s/', routeType: 'stream', timeoutMs: 8000, targetLatencyMs: 400, gapTargetMs: 250, priority: 1, backend: 'llm', maxAttempts: 2, public: true, streamResume: true, sessionAffinity: true }],
    services: [{ name: 'llm', healthPath: '/health', maxConnections: 404, engine: { slots: 18, stride: 6, models: [{ name: model, size, share: 1, pace: 1, loadS: 12, warmS: 1.1 }], step_ms: 6.45, per_seq_ms: 0.1, read_per_s: 56_100, loadsPerS: 5.5, loads_at_once: 8, retains: 1, formMs: 50 } }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  })
  const fleet = new Map()
  const wrongJoins = []

  function onJoin ({ id, from, to, head }) {
    const headGroup = head?.getGroup()
    const isSame = headGroup?.name === from.name && headGroup.epoch === from.epoch
    const text = `server ${id}: ${isSame && ['open', 'closing'].includes(headGroup.state) ? 'TWO: ' : ''}takes a join of ${to.group}, is in ${from.name}, whose head is ${isSame ? headGroup.state : 'gone'}`
    record.write(text)
    if (isSame && ['open', 'closing'].includes(headGroup.state)) wrongJoins.push(text)
  }

  const servers = []
  for (let index = 0; index < domainCount * serversPerDomain; index += 1) {
    const server = await startServer({ store, service: 'llm', domain: `d${index % domainCount}`, fleet, onJoin })
    addCleanup(() => server.stop())
    servers.push(server)
    await sleep(heartbeatMs / (domainCount * serversPerDomain))
  }
  const copy = store.copy()
  const copiedAtMs = Date.now()
  record.write(`store: the copy is made; no server is in a group: ${servers.every(server => server.getGroup() === undefined)}`)

  const first = await startGateway({ name: 'front-1', storeAddress: store.address })
  addCleanup(() => first.stop())
  const second = await startGateway({ name: 'front-2', storeAddress: store.address })
  await first.waitUntilReady()
  await second.waitUntilReady()
  const countOpen = () => servers.filter(server => server.getGroup()?.state === 'open').length
  while (Date.now() < copiedAtMs + copyAgeMs - 450) await sleep(20)
  record.write(`open groups: ${countOpen()}`)
  if (countOpen() === 0) throw new Error('no group is open')

  if (isTrouble) {
    record.write('store: away')
    store.goAway()
  }
  record.write('gateway front-2: SIGKILL')
  await second.stop()
  const again = await startGateway({ name: 'front-2', storeAddress: store.address, address: second.address })
  addCleanup(() => again.stop())
  record.write('gateway front-2: started again')
  while (Date.now() < copiedAtMs + copyAgeMs) await sleep(20)
  if (isTrouble) {
    await store.comeBack(copy)
    store.put('op/config', JSON.parse(store.getValue('op/config')))
    record.write(`store: back, from a copy ${Date.now() - copiedAtMs} ms old`)
  }
  await sleep(10_000)
  for (const server of servers) for (const { atMs, status, order } of server.orders) record.write(`server ${server.id}: at ${atMs - record.startedAtMs} order ${order.operation} ${order.group ?? order.model} token ${order.fencingToken} -> ${status}`)
  for (const line of [...first.logLines, ...again.logLines]) if (line.includes('is the planner') || line.includes('no longer the planner')) record.write(`log: ${line}`)
  record.write(`${wrongJoins.length} servers took a join of another group while the head of theirs was open`)
  return wrongJoins.length > 0
})
