import { spawn } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { startStoreStandin } from './platform/testing/store-standin.js'
import { findFreePorts } from './src/testing/free-ports.js'

const store = await startStoreStandin()
const serverCount = 875, gatewayCount = 195
const engine = { slots: 9, models: [{ name: 'mlarge', size: 16, share: 0.5, loadS: 16, warmS: 1.6, pace: 1 }, { name: 'msmall', size: 4, share: 0.5, loadS: 12, warmS: 1.1, pace: 0.6 }], loadsPerS: 73, loads_at_once: 109, formMs: 300, stride: 10 }
store.fake.put('op/config', JSON.stringify({ version: 1, routes: [{ name: 'd', hostname: 'h.example', prefix: '/d/', routeType: 'stream', timeoutMs: 8000, backend: 'llm', streamResume: true, maxAttempts: 2 }], services: [{ name: 'llm', maxConnections: 1352, engine }], limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }, tenants: [{ name: 't', apiKeys: ['k'] }] }))
let seq = 0
const entry = (i: number) => {
  const domain = Math.floor(i / 35), k = i % 35
  const large = domain % 2 === 0
  const size = large ? 16 : 4
  const g = Math.floor(k / size), rank = k % size
  const full = (g + 1) * size <= 35
  const model = large ? 'mlarge' : 'msmall'
  return JSON.stringify({ backend: 'llm', address: `10.128.${domain}.${k}:8080`, zone: `zone-${domain % 5}`, version: 'v1', slots: 9, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{ name: model, version: 1, adapters: [] }], staged: [model], domain: `d${domain}`, born: 1700000000000, seq: seq++, ...(full ? { group: { name: `${model}.${domain}${g}`, epoch: 90000 + domain * 10 + g, rank, state: rank === 0 ? 'open' : 'ready' } } : {}) })
}
for (let i = 0; i < serverCount; i++) store.fake.put(`servers/i-${i}`, entry(i))
for (let i = 1; i < gatewayCount; i++) store.fake.put(`egretpaddle/gateways/g${i}`, JSON.stringify({ address: `127.0.0.1:${1000 + i}`, zone: `zone-${i % 5}` }))
let n = 0
setInterval(() => { for (let j = 0; j < 15; j++) { n = (n + 1) % serverCount; store.fake.put(`servers/i-${n}`, entry(n)) } }, 20)
// significant changes: 20 a second
setInterval(() => { const i = Math.floor(Math.random() * serverCount); store.fake.put(`servers/i-${i}`, entry(i).replace('"slots":9', `"slots":${9 + Math.floor(Math.random() * 3)}`)) }, 50)
const dir = process.argv[2] ?? '/tmp/prof'
mkdirSync(dir, { recursive: true })
const dependentCount = Number(process.argv[3] ?? 0)
const names = ['g0', ...Array.from({ length: dependentCount }, (_, i) => `x${i}`)]
const children = []
for (const [index, name] of names.entries()) {
  const [a = 0, b = 0, c = 0] = await findFreePorts(3)
  const path = `${dir}/${name}.toml`
  const host = `127.0.3.${index + 1}`
  writeFileSync(path, `node = "${name}"\nip = "${host}"\nzone = "zone-0"\ninternalPorts = [${c}, ${c + 1}]\n[listen]\nfront = "127.0.0.1:${a}"\nready = "127.0.0.1:${b}"\n[bounds]\ngraceS = 6\nstrictRevoke = true\nrevokeMs = 5000\nstallMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 100\n[platform]\naddress = "${store.address}"\n`)
  const child = spawn('node', ['--max-old-space-size=160', '--cpu-prof', `--cpu-prof-dir=${dir}`, `--cpu-prof-name=${name}.cpuprofile`, 'target/gateway.cjs'], { env: { ...process.env, EGRETPADDLE_SETTINGS: path }, stdio: ['ignore', 'ignore', 'inherit'] })
  children.push(child)
  if (index === 0) await new Promise(r => setTimeout(r, 3000))
}
setTimeout(() => children.forEach(c => c.kill('SIGTERM')), 20000)
await Promise.all(children.map(c => new Promise(r => c.on('exit', r))))
process.exit(0)
