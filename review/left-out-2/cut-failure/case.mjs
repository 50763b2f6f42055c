// A model server crashes within its own 500, which has no length. See claim.txt.
import { spawn } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { send, sleep, startGateway, startStore, waitFor } from '../../common-2/standins.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const folder = new URL('.', import.meta.url).pathname
const lines = []
const startedAtMs = Date.now()
const serverCount = 6
const callerCount = 6
const lineCount = 10
const lineMs = 150
const record = text => lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${text}`)
const wholeBody = attemptId => Array.from({ length: lineCount }, (_, index) => `failure of ${attemptId} line ${index + 1} of ${lineCount}\n`).join('')

function startServer (store, index) {
  const id = `i-${index + 1}`
  const child = spawn('node', [`${folder}engine.mjs`, id, `d${index}`, String(lineCount), String(lineMs)], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
  const server = { id, state: '', ranIds: [], isGone: false }
  child.on('message', message => {
    if (message.kind === 'beat') {
      server.state = message.entry.group?.state ?? ''
      if (!server.isGone) store.put(`servers/${id}`, JSON.stringify(message.entry))
      return
    }
    if (message.kind === 'ran') server.ranIds.push(message.attemptId)
    record(`server ${id} ${message.kind} ${message.attemptId}`)
  })
  server.end = () => {
    if (server.isGone) return
    server.isGone = true
    child.kill('SIGKILL')
    record(`server ${id} is gone (SIGKILL)`)
  }
  return server
}

async function run () {
  const store = await startStore()
  const servers = []
  let gateway
  try {
    store.put('op/config', JSON.stringify({
      version: 1,
      routes: [{ name: 'drafts', hostname: 'h.example', prefix: '/drafts/', routeType: 'stream', timeoutMs: 8000, targetLatencyMs: 4000, gapTargetMs: 1000, priority: 1, backend: 'llm', maxAttempts: 1, public: false, sessionAffinity: true, streamResume: false }],
      services: [{ name: 'llm', maxConnections: 404, engine: { slots: 8, step_ms: 6.45, per_seq_ms: 0.1, read_per_s: 56_100, stride: 6, models: [{ name: 'm0', size: 1, pace: 1, loadS: 1, warmS: 0.1, share: 1 }], loadsPerS: 5, loads_at_once: 20, retains: 1, formMs: 20 } }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      tenants: [{ name: 'foremen', apiKeys: ['key-1'], priority: 1 }]
    }))
    for (let index = 0; index < serverCount; index += 1) servers.push(startServer(store, index))
    gateway = await startGateway({ name: 'front-1', storeAddress: store.address })
    await waitFor('the gateway is ready', 15_000, gateway.isReady)
    await waitFor('five of six groups are open', 15_000, () => servers.filter(({ state }) => state === 'open').length >= serverCount - 1)
    await sleep(1000)
    const calls = Array.from({ length: callerCount }, async (_, index) => {
      const attemptId = `draft-${index + 1}`
      record(`caller sends ${attemptId}`)
      const answer = await send({ port: gateway.front, path: '/drafts/new', headers: { Host: 'h.example', 'X-Attempt-Id': attemptId, 'X-Deadline-Ms': '8000', 'X-Key': 'key-1', 'X-Model': 'm0', 'X-Token-Count': '10,60', 'X-Prompt-Prefix': `${index + 1}0:10` }, body: 'write' })
      record(`caller of ${attemptId} got status ${answer.status}, receipt ${answer.headers['x-response-stamp'] ?? 'none'}, ${answer.body.length} of ${wholeBody(attemptId).length} bytes, whole by its framing: ${answer.isWhole}, length header: ${answer.headers['content-length'] ?? 'none'}`)
      return { attemptId, answer }
    })
    await waitFor('all requests run', 5000, () => servers.flatMap(server => server.ranIds).length === callerCount)
    await sleep(lineMs * lineCount / 2)
    if (hasTrouble) servers.find(server => server.ranIds.length > 0).end()
    const answers = await Promise.all(calls)
    const isServers = ({ answer }) => answer.headers['x-response-stamp'] !== undefined
    const broken = answers.filter(entry => isServers(entry) && entry.answer.isWhole && entry.answer.body !== wholeBody(entry.attemptId))
    for (const { attemptId } of broken) record(`BROKEN: MIXED, the answer to ${attemptId} bears the receipt of its server, ended early and looks complete`)
    if (!hasTrouble && answers.some(({ attemptId, answer }) => answer.body !== wholeBody(attemptId))) throw new Error('without the disruption an answer is not whole')
    return broken.length > 0 ? 1 : 0
  } finally {
    for (const server of servers) server.end()
    await gateway?.stop()
    store.stop()
  }
}

let code = 2
try {
  code = await run()
} catch (error) {
  record(`could not run: ${error.stack}`)
}
record(code === 1 ? 'the rule was broken' : code === 0 ? 'the rule held' : 'the case could not run')
writeFileSync(`${folder}record.txt`, lines.join('\n') + '\n')
console.log(lines.join('\n'))
process.exit(code)
