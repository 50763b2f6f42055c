// Case: once two of a model's three servers have been taken away and replaced, the model is never served again.
import { fileURLToPath } from 'node:url'

import { createClient } from '../../standins/client.mjs'
import { runCase, sleep, startGateway } from '../../standins/gateway.mjs'
import { startServer } from '../../standins/server.mjs'
import { startStore } from '../../standins/store.mjs'

const withTrouble = process.env.TROUBLE !== '0'
/** Length of the traffic; a day of the site may last 92 s. */
const durationMs = 90_000
/** Time of the spot notice, and time after which others come (bench, `scale_in` with `spot`). */
const noticeMs = 2000
const replacementMs = 4000
const loads = { m0: { loadMs: 16_000, warmMs: 1600 }, m1: { loadMs: 12_000, warmMs: 1100 } }
/** Before the first request, loads take one tenth of the time (PROTOCOL.md). */
const earlyLoads = { m0: { loadMs: 1600, warmMs: 160 }, m1: { loadMs: 1200, warmMs: 110 } }
const key = 'n2ctnfzs989anu6wsjnb'

function makeConfig () {
  const models = [
    { name: 'm0', size: 6, pace: 1, share: 0.67, loadS: 16, warmS: 1.6 },
    { name: 'm1', size: 3, pace: 0.6, share: 0.33, loadS: 12, warmS: 1.1 }
  ]
  const engine = { slots: 18, models, step_ms: 6.45, per_seq_ms: 0.0967, context_per_k: 0.00293, read_per_s: 56_100, pairs_per_m: 0.309, chunk: 2048, stride: 6, usual: { prompt: 700, answer: 180 }, delays: {}, report_lag_ms: 200, loadsPerS: 5.5, loads_at_once: 8, retains: 1, formMs: 300 }
  return {
    version: 7,
    routes: [{ name: 'r1', hostname: 'a.example', prefix: '/m/', routeType: 'stream', timeoutMs: 6000, targetLatencyMs: 300, gapTargetMs: 200, priority: 1, backend: 'llm', maxAttempts: 2, streamResume: true }],
    services: [{ name: 'llm', maxConnections: 404, engine }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 10_000, idleTimeoutMs: 20_000 },
    tenants: [{ name: 'hule930', apiKeys: [key] }]
  }
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, addCleanup }) => {
  const store = await startStore({ era: 1 })
  addCleanup(() => store.stop())
  store.put('op/config', makeConfig())
  const fleet = new Map()
  const startModelServer = async serverLoads => {
    const server = await startServer({ store, service: 'llm', domain: 'd1', fleet, loads: serverLoads, eventCount: 5 })
    addCleanup(() => server.stop())
    return server
  }
  for (let count = 0; count < 9; count += 1) await startModelServer(earlyLoads)

  const names = ['front-1', 'front-2']
  const gateways = await Promise.all(names.map(name => startGateway({ name, storeAddress: store.address })))
  for (const gateway of gateways) addCleanup(() => gateway.stop())
  await Promise.all(gateways.map(gateway => gateway.waitUntilReady()))
  const listHeads = () => [...fleet.values()].filter(server => server.isAlive() && server.getGroup()?.state === 'open')
  for (let count = 0; count < 200 && listHeads().length < 2; count += 1) await sleep(50)
  if (listHeads().length < 2) throw new Error('the two groups were not formed')
  for (const head of listHeads()) record.write(`group ${head.getGroup().name} is open: ${head.getGroup().members.join(' ')}`)

  const clients = gateways.map(({ address, frontPort }) => createClient({ address, port: frontPort, host: 'a.example', key }))
  const answers = []
  const startedAtMs = Date.now()
  const state = { isRunning: true }
  const traffic = (async () => {
    for (let count = 0; state.isRunning; count += 1) {
      const model = count % 2 === 0 ? 'm0' : 'm1'
      const headers = { 'X-Model': model, 'X-Token-Count': '674,180', 'X-Prompt-Prefix': `5c1e07a2:40,${(0x10000 + count).toString(16)}:634` }
      clients[count % 4 < 2 ? 0 : 1].send({ path: '/m/2f', deadlineMs: 6000, headers, body: 'hello' }).then(answer => {
        const isServed = answer.status === 200 && answer.isWhole && answer.body.includes('id: 5\n')
        answers.push({ sentAtMs: answer.sentAtMs, model, isServed })
        record.write(`${answer.id} for ${model}: ${answer.status ?? answer.error}${isServed ? ', served' : ''}`)
      })
      await sleep(50)
    }
  })()
  await sleep(8000)

  if (withTrouble) {
    const { members, name } = listHeads().find(head => head.getGroup().name.startsWith('m1')).getGroup()
    const leaving = members.slice(1).map(id => fleet.get(id))
    record.write(`spot notice: ${leaving.map(({ id }) => id).join(' ')} of group ${name} drain`)
    for (const server of leaving) server.drain()
    await sleep(noticeMs)
    for (const server of leaving) {
      server.leave()
      server.stop()
    }
    record.write('they are gone')
    await sleep(replacementMs)
    for (let count = 0; count < leaving.length; count += 1) record.write(`new server ${(await startModelServer(loads)).id}, empty`)
  } else {
    await sleep(noticeMs + replacementMs)
  }
  await sleep(durationMs - (Date.now() - startedAtMs))
  state.isRunning = false
  await traffic
  await sleep(3000)

  for (const server of fleet.values()) {
    if (server.isAlive()) record.write(`server ${server.id}: ${JSON.stringify(server.getGroup() ?? null)}, ${server.orders.length} orders, the last: ${JSON.stringify(server.orders.at(-1)?.order ?? null)}`)
  }
  const share = (list, text) => {
    const servedCount = list.filter(({ isServed }) => isServed).length
    record.write(`${text}: ${servedCount} of ${list.length} served`)
    return servedCount / list.length
  }
  const all = share(answers, 'all requests')
  const drafts = share(answers.filter(({ model }) => model === 'm0'), 'zprava-stav (m0)')
  const summaries = share(answers.filter(({ model }) => model === 'm1'), 'dopis-souhrn (m1)')
  share(answers.filter(({ model, sentAtMs }) => model === 'm1' && sentAtMs > startedAtMs + durationMs / 2), 'dopis-souhrn (m1) in the second half')
  return Math.min(drafts, summaries) < all / 4
})
