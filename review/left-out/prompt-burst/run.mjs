// A part of a prompt ends each server that begins to write an answer on it; five such requests come at once. See claim.txt.
import { fileURLToPath } from 'node:url'

import { createClient } from '../../standins/client.mjs'
import { runCase, sleep, startGateway } from '../../standins/gateway.mjs'
import { startServer } from '../../standins/server.mjs'
import { startStore } from '../../standins/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const stableWindowMs = 3000
const groupSize = 2
const serverCount = 24
const badPart = 'bad0bad0'
const burstCount = Number(process.env.BURST ?? 5)
const laterCount = 7
const laterIntervalMs = 4000
const restartMs = 3000
/** What a server writes before it ends: its first event, or nothing. */
const writesEvent = process.env.WRITES !== 'nothing'

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, addCleanup }) => {
  const store = await startStore({ era: 1 })
  addCleanup(() => store.stop())
  store.put('op/config', {
    version: 1,
    routes: [
      { name: 'drafts', hostname: 'h.example', prefix: '/drafts/', routeType: 'stream', timeoutMs: 8000, targetLatencyMs: 400, gapTargetMs: 250, priority: 1, backend: 'llm', maxAttempts: 1, streamResume: false, sessionAffinity: true }
    ],
    services: [{ name: 'llm', maxConnections: 100, engine: { slots: 18, models: [{ name: 'm0', size: groupSize, share: 1, pace: 1, loadS: 1, warmS: 0.2 }], step_ms: 6.45, per_seq_ms: 0.1, read_per_s: 56_100, stride: 6, loadsPerS: 50, loads_at_once: 50, retains: 1, formMs: 50 } }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 5000, idleTimeoutMs: 15000 },
    tenants: [{ name: 'team-a', apiKeys: ['key-a'] }]
  })
  const fleet = new Map()
  const crashes = []
  const reached = []
  const start = async domain => {
    const server = await startServer({ store, service: 'llm', domain, fleet, eventCount: 10, eventIntervalMs: 30, respond: (request, response) => respond(server, domain, request, response) })
    addCleanup(() => server.stop())
    return server
  }
  /** Reads the prompt, and ends when it begins to write; another process of it is there after some seconds. */
  function respond (server, domain, request, response) {
    const parts = (request.headers['x-prompt-prefix'] ?? '').split(',').slice(0, -1)
    if (!parts.some(part => part.startsWith(badPart))) return false
    const attemptId = request.headers['x-attempt-id']
    reached.push({ atMs: Date.now(), attemptId, serverId: server.id })
    record.write(`request ${attemptId} with the part reaches server ${server.id}`)
    if (!hasTrouble) return false
    setTimeout(() => {
      if (!server.isAlive()) return
      if (writesEvent) {
        response.writeHead(200, { 'X-Attempt-Id': attemptId, 'X-Response-Stamp': `${server.id}.${attemptId}`, 'Content-Type': 'text/event-stream' })
        response.write(`id: 1\ndata: ${attemptId} 1\n\n`)
      }
      setTimeout(end, 5)
    }, 100)
    function end () {
      crashes.push({ atMs: Date.now(), serverId: server.id })
      record.write(`server ${server.id} ends (${crashes.length})`)
      server.stop()
      setTimeout(() => {
        store.remove(`servers/${server.id}`)
        fleet.delete(server.id)
        start(domain)
      }, restartMs)
    }
    return true
  }
  for (let index = 0; index < serverCount; index += 1) await start(index % 2)
  const gateway = await startGateway({ storeAddress: store.address })
  addCleanup(() => gateway.stop())
  await gateway.waitUntilReady()
  const endMs = Date.now() + 20_000
  while ([...fleet.values()].filter(server => server.getGroup()?.state === 'open').length < serverCount / groupSize) {
    if (Date.now() > endMs) throw new Error('no groups were opened')
    await sleep(50)
  }
  await sleep(stableWindowMs + 1000)
  const client = createClient({ address: gateway.address, port: gateway.frontPort, host: 'h.example', key: 'key-a' })
  let count = 0
  const answers = []
  const send = parts => {
    count += 1
    answers.push(client.send({ path: '/drafts/a', deadlineMs: 8000, headers: { 'X-Model': 'm0', 'X-Token-Count': '700,60', 'X-Prompt-Prefix': `${parts},${count.toString(16).padStart(8, '0')}:600` }, body: 'a letter' }).then(answer => record.write(`request ${answer.id}: status ${answer.status}, whole ${answer.isWhole}`)))
  }
  const sound = setInterval(() => send('5c1e07a2:40,91bd3f06:60'), 100)
  addCleanup(() => clearInterval(sound))
  await sleep(1000)
  for (let index = 0; index < burstCount; index += 1) send(`5c1e07a2:40,${badPart}:60`)
  for (let index = 0; index < laterCount; index += 1) {
    await sleep(laterIntervalMs)
    send(`5c1e07a2:40,${badPart}:60`)
  }
  await sleep(2000)
  clearInterval(sound)
  await Promise.all(answers)
  for (const line of gateway.logLines) if (line.includes('"part":"quarantine"')) record.write(line)
  const fifth = crashes[4]
  const late = fifth === undefined ? [] : reached.filter(({ atMs }) => atMs > fifth.atMs + stableWindowMs)
  const summary = `${crashes.length} servers ended; ${late.length} requests with the part reached servers later than stableWindowMs (${stableWindowMs} ms) after the fifth crash`
  record.write(summary)
  console.log(summary)
  return late.length > 3
})
