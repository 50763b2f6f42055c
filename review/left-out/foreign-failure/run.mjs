// An extra answer of a server, a copy of its own 500 to an earlier request, comes where the answer to the next request is expected.
import { fileURLToPath } from 'node:url'

import { createClient } from '../../standins/client.mjs'
import { runCase, sleep, startGateway } from '../../standins/gateway.mjs'
import { startServer } from '../../standins/server.mjs'
import { startStore } from '../../standins/store.mjs'

const isTrouble = process.env.TROUBLE !== '0'
const model = 'daka510000'
const size = 3
const clientCount = 12
const runMs = 20_000
/** Pause of a client between two requests. */
const pauseMs = 100
/** Share of the requests that a server fails by itself, as on the users' sheet (`error_share`). */
const failureShare = 0.14
/** Share of its answers that a server sends once more, the largest that the site file names. */
const extraShare = 0.03

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, addCleanup }) => {
  const store = await startStore()
  addCleanup(() => store.stop())
  store.put('op/config', {
    version: 1,
    routes: [{ name: 'r-1', hostname: 'a.example', prefix: '/s/', routeType: 'stream', timeoutMs: 8000, targetLatencyMs: 400, gapTargetMs: 250, priority: 1, backend: 'llm', maxAttempts: 2, public: true, streamResume: true, sessionAffinity: true }],
    services: [{ name: 'llm', healthPath: '/health', maxConnections: 404, engine: { slots: 18, stride: 6, models: [{ name: model, size, share: 1, pace: 1, loadS: 1, warmS: 0.5 }], step_ms: 6.45, per_seq_ms: 0.1, read_per_s: 56_100, loadsPerS: 5.5, loads_at_once: 8, retains: 1, formMs: 50 } }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  })
  /** The answers that are sent once more, by the channel on which they were sent first. */
  const extras = new WeakMap()
  let extraCount = 0
  let failureCount = 0

  function respond (request, response) {
    const { socket } = request
    const id = request.headers['x-attempt-id']
    const extra = extras.get(socket)
    if (extra !== undefined) {
      extras.delete(socket)
      extraCount += 1
      record.write(`server: an extra answer, 500 to ${extra.id}, comes before the answer to ${id}`)
      socket.write(extra.bytes)
    }
    if (Math.random() >= failureShare) {
      record.write(`server: ran ${id}, answers with a stream`)
      return false
    }
    failureCount += 1
    const text = `the server failed ${id}`
    const headers = { 'X-Attempt-Id': id, 'X-Response-Stamp': `stamp.${id}`, 'Content-Length': String(text.length) }
    response.writeHead(500, headers).end(text)
    record.write(`server: ran ${id}, answered 500`)
    if (isTrouble && Math.random() < extraShare) {
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
      extras.set(socket, { id, bytes: `HTTP/1.1 500 Internal Server Error\r\n${lines}\r\n${text}` })
    }
    return true
  }

  const fleet = new Map()
  for (let index = 0; index < size; index += 1) {
    const server = await startServer({ store, service: 'llm', domain: 'd1', eventCount: 4, eventIntervalMs: 10, fleet, respond })
    addCleanup(() => server.stop())
  }
  const gateway = await startGateway({ storeAddress: store.address })
  addCleanup(() => gateway.stop())
  await gateway.waitUntilReady()
  await sleep(6000)

  let sentCount = 0
  let servedCount = 0
  let foreignCount = 0
  const endMs = Date.now() + runMs
  async function runClient () {
    const client = createClient({ address: gateway.address, port: gateway.frontPort, host: 'a.example', keepsChannels: true })
    while (Date.now() < endMs) {
      const answer = await client.send({ path: '/s/1', deadlineMs: 8000, headers: { 'X-Model': model, 'X-Token-Count': '100,24', 'X-Prompt-Prefix': '5c1e07a2:40' }, body: 'prompt' })
      sentCount += 1
      if (answer.status === 200) servedCount += 1
      await sleep(pauseMs)
      const answeredId = answer.headers['x-attempt-id']
      if (answeredId === undefined || answeredId === answer.id) {
        record.write(`client: sent ${answer.id}, got its own answer, ${answer.status ?? answer.error}`)
        continue
      }
      foreignCount += 1
      record.write(`client: FOREIGN ANSWER: sent ${answer.id}, got ${answer.status} with X-Attempt-Id ${answeredId}, stamp ${answer.headers['x-response-stamp']}, body "${answer.body}"`)
    }
    client.close()
  }
  await Promise.all(Array.from({ length: clientCount }, runClient))
  record.write(`${sentCount} requests sent, ${servedCount} served, ${failureCount} failed by the server, ${extraCount} extra answers; ${foreignCount} requests got the answer to another request`)
  if (servedCount < 100) throw new Error('too few requests were served')
  if (isTrouble && extraCount === 0) throw new Error('no extra answer was sent')
  return foreignCount > 0
})
