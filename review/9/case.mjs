// Groups of model servers while the store is in a late era. See claim.txt.
import { writeFileSync } from 'node:fs'
import { startEngines } from '../common-2/engines.mjs'
import { send, sleep, startGateway, startStore, waitFor } from '../common-2/standins.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const folder = new URL('.', import.meta.url).pathname
const lines = []
const startedAtMs = Date.now()
const serverCount = 66
const domainSize = 11
const lateEra = 300
/** A share of 0.06 of the servers, where the list of the site has 0.17. */
const crashSize = 4
const crashIntervalMs = 6000
const downMs = 4500
/** Groups form before traffic starts, as servers of the platform start 12 s before it. */
const leadMs = 12_000
const trafficMs = 80_000
const models = [{ name: 'm0', size: 6, pace: 1, loadS: 16, warmS: 1.6, share: 0.67 }, { name: 'm1', size: 3, pace: 0.6, loadS: 12, warmS: 1.1, share: 0.33 }]
const record = text => lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${text}`)

/** Members of open groups, in the order of their IDs. */
function listServing (engines) {
  return engines.filter(engine => !engine.isDown && engine.group !== undefined && engines.some(head => head.id === engine.group.members[0] && head.group?.state === 'open'))
}

async function run () {
  const store = await startStore()
  store.state.era = hasTrouble ? lateEra : 1
  let gateway
  let fleet
  let crashTimer
  try {
    store.put('op/config', JSON.stringify({
      version: 1,
      routes: [{ name: 'drafts', hostname: 'h.example', prefix: '/drafts/', routeType: 'stream', timeoutMs: 8000, targetLatencyMs: 400, gapTargetMs: 250, priority: 1, backend: 'llm', maxAttempts: 2, public: false, sessionAffinity: true, streamResume: true }],
      services: [{ name: 'llm', maxConnections: 404, engine: { slots: 18, step_ms: 6.45, per_seq_ms: 0.1, read_per_s: 56_100, stride: 6, models, loadsPerS: 5, loads_at_once: 20, retains: 1, formMs: 20 } }],
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      tenants: [{ name: 'foremen', apiKeys: ['key-1'], priority: 1 }]
    }))
    fleet = await startEngines({ store, count: serverCount, domainSize, models, formMs: 20, stallMs: 5000, record })
    gateway = await startGateway({ name: 'front-1', storeAddress: store.address })
    await waitFor('the gateway is ready', 15_000, gateway.isReady)
    await sleep(leadMs)
    const { engines, broken } = fleet
    record(`era of the store: ${store.state.era}; ${engines.filter(({ group }) => group?.state === 'open').length} groups are open, with ${listServing(engines).length} of ${serverCount} servers`)
    let crashCount = 0
    crashTimer = setInterval(() => {
      const serving = listServing(engines)
      for (let index = 0; index < Math.min(crashSize, serving.length); index += 1) {
        const engine = serving[Math.floor((index + (crashCount % 7) / 7) * serving.length / crashSize)]
        fleet.crash(engine, downMs).catch(error => record(error.message))
      }
      crashCount += 1
    }, crashIntervalMs)
    let count = 0
    let servedCount = 0
    const others = new Map()
    const endMs = Date.now() + trafficMs
    await Promise.all(['m0', 'm1', 'm0', 'm1'].map(async model => {
      while (Date.now() < endMs && broken.length === 0) {
        count += 1
        const attemptId = `draft-${count}`
        const answer = await send({ port: gateway.front, path: '/drafts/a', headers: { Host: 'h.example', 'X-Attempt-Id': attemptId, 'X-Model': model, 'X-Key': 'key-1', 'X-Deadline-Ms': '8000', 'X-Token-Count': '10,60', 'X-Prompt-Prefix': `${count.toString(16)}:10` }, body: 'write', timeoutMs: 8500 })
        const end = `${answer.status}${answer.isWhole ? '' : ' cut'}${answer.error === undefined ? '' : ` ${answer.error}`}`
        record(`caller of ${attemptId} (${model}) got ${end}`)
        if (answer.status === 200 && answer.isWhole) servedCount += 1
        else others.set(end, (others.get(end) ?? 0) + 1)
        await sleep(100)
      }
    }))
    clearInterval(crashTimer)
    await sleep(1000)
    record(`${crashCount} times ${crashSize} servers crashed; ${count} requests, served ${servedCount}, others ${JSON.stringify([...others])}; broken rules: ${broken.length}`)
    if (servedCount === 0) throw new Error('no request was served')
    return broken.length > 0 ? 1 : 0
  } finally {
    clearInterval(crashTimer)
    await gateway?.stop()
    fleet?.stop()
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
console.log(lines.filter(line => /BROKEN|era|crashed;|rule|could/.test(line)).join('\n'))
process.exit(code)
