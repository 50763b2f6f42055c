// A faulty model server sends an answer a second time, where the next answer on the channel is due. See claim.txt.
import { fileURLToPath } from 'node:url'

import { createClient } from '../standins/client.mjs'
import { runCase, sleep, startGateway } from '../standins/gateway.mjs'
import { startServer } from '../standins/server.mjs'
import { startStore } from '../standins/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
/** Sound requests of each requester before the extra answer: it stays below 0.03 of the server's answers in 5 s, as the site's `garble` does. */
const soundCount = 20
const groupSize = 3

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({ record, addCleanup }) => {
  const store = await startStore({ era: 1 })
  addCleanup(() => store.stop())
  store.put('op/config', {
    version: 1,
    routes: [
      { name: 'drafts', hostname: 'h.example', prefix: '/drafts/', routeType: 'stream', timeoutMs: 8000, targetLatencyMs: 400, gapTargetMs: 250, priority: 1, backend: 'llm', maxAttempts: 2, streamResume: true, sessionAffinity: true }
    ],
    services: [{ name: 'llm', maxConnections: 100, engine: { slots: 18, models: [{ name: 'm0', size: groupSize, share: 1, pace: 1, loadS: 1, warmS: 0.2 }], step_ms: 6.45, per_seq_ms: 0.1, read_per_s: 56_100, stride: 6, loadsPerS: 5, loads_at_once: 8, retains: 1, formMs: 50 } }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 5000, idleTimeoutMs: 15000 },
    tenants: [{ name: 'team-a', apiKeys: ['key-a'] }, { name: 'team-b', apiKeys: ['key-b'] }]
  })

  /** Answers of a server by the channel on which it is to send them again. */
  const lateAnswers = new WeakMap()

  function formatFailure (attemptId, serverId) {
    const text = `request ${attemptId} has failed`
    return `HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: ${attemptId}\r\nX-Response-Stamp: ${serverId}.${attemptId}\r\nContent-Type: text/plain\r\nContent-Length: ${text.length}\r\n\r\n${text}`
  }

  /** The server fails each request to /drafts/fails with its own 500, and sends that answer again where the next one on the channel is due. */
  function respond (request, response) {
    const { socket } = request
    const late = lateAnswers.get(socket)
    if (late !== undefined) {
      lateAnswers.delete(socket)
      record.write(`the server sends the answer to ${late.attemptId} again on the channel, where that to ${request.headers['x-attempt-id']} is due`)
      socket.write(late.bytes)
    }
    if (request.url !== '/drafts/fails') return false
    const attemptId = request.headers['x-attempt-id']
    const text = `request ${attemptId} has failed`
    response.writeHead(500, { 'X-Attempt-Id': attemptId, 'X-Response-Stamp': `${this.id}.${attemptId}`, 'Content-Type': 'text/plain', 'Content-Length': String(text.length) })
    response.end(text)
    if (hasTrouble) lateAnswers.set(socket, { attemptId, bytes: formatFailure(attemptId, this.id) })
    return true
  }

  const servers = []
  for (let index = 0; index < groupSize; index += 1) {
    const id = `i-000000${index}${index}`
    const server = await startServer({ store, service: 'llm', domain: 0, id, respond: respond.bind({ id }) })
    addCleanup(() => server.stop())
    servers.push(server)
  }
  const gateway = await startGateway({ storeAddress: store.address })
  addCleanup(() => gateway.stop())
  await gateway.waitUntilReady()
  const endMs = Date.now() + 20_000
  while (!servers.some(server => server.getGroup()?.state === 'open')) {
    if (Date.now() > endMs) throw new Error('no group was opened')
    await sleep(50)
  }
  await sleep(4000)
  const clients = ['key-a', 'key-b'].map(key => createClient({ address: gateway.address, port: gateway.frontPort, host: 'h.example', key, keepsChannels: true }))
  addCleanup(() => clients.forEach(client => client.close()))
  const send = (client, path) => client.send({ path, deadlineMs: 8000, headers: { 'X-Model': 'm0', 'X-Token-Count': '700,60', 'X-Prompt-Prefix': '5c1e07a2:40,91bd3f06:660' }, body: 'a letter' })

  async function exchange (number, path) {
    const answer = await send(clients[number - 1], path)
    const { 'x-attempt-id': answeredId, 'x-response-stamp': receipt } = answer.headers
    const isForeign = answeredId !== undefined && answeredId !== answer.id
    record.write(`requester ${number}: ${answer.id} got status ${answer.status}, X-Attempt-Id ${answeredId}, receipt ${receipt}, whole ${answer.isWhole}, body ${JSON.stringify(answer.body.slice(0, 60))}${isForeign ? ': THE ANSWER TO ANOTHER REQUEST' : ''}`)
    return { isForeign, isServed: answer.status === 200 && answer.isWhole }
  }

  const sound = []
  for (let count = 0; count < soundCount; count += 1) {
    sound.push(...await Promise.all([exchange(1, '/drafts/sound'), exchange(2, '/drafts/sound')]))
  }
  const failed = await exchange(1, '/drafts/fails')
  await sleep(200)
  const next = await exchange(2, '/drafts/sound')
  if (sound.some(({ isServed }) => !isServed) || failed.isForeign) throw new Error('a sound request was not served')
  const summary = `${next.isForeign ? 'a request of requester 2 got the answer to a request of requester 1' : `the last request of requester 2 was ${next.isServed ? '' : 'not '}served with its own answer`}; ${sound.length} sound requests were served before`
  record.write(summary)
  console.log(summary)
  return next.isForeign
})
