// Small stand-ins of the platform's store, of servers and of clients for the scripts of this review. They follow PROTOCOL.md.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync, createWriteStream } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

export async function waitFor (what, limitMs, isDone) {
  const endMs = Date.now() + limitMs
  while (!await isDone()) {
    if (Date.now() > endMs) throw new Error(`not reached within ${limitMs} ms: ${what}`)
    await sleep(25)
  }
}

export async function freePorts (count, host = '127.0.0.1') {
  const servers = []
  for (let index = 0; index < count; index += 1) {
    const server = net.createServer().listen(0, host)
    await once(server, 'listening')
    servers.push(server)
  }
  const ports = servers.map(server => server.address().port)
  for (const server of servers) server.close()
  return ports
}

/** Two free ports that follow one another: the range `internalPorts`. */
export async function freePortPair (host) {
  for (;;) {
    const [port] = await freePorts(1, host)
    const next = net.createServer()
    const isFree = await new Promise(resolve => {
      next.once('error', () => resolve(false))
      next.listen(port + 1, host, () => resolve(true))
    })
    next.close()
    if (isFree && port < 65_000) return [port, port + 1]
  }
}

/** The platform's store, with linearizable answers and leases. */
export async function startStore () {
  const items = new Map()
  const leases = new Map()
  const waiters = new Set()
  let history = []
  let revision = 100
  let leaseCount = 1000
  const state = { era: 1 }

  function change (key, value, lease = 0) {
    revision += 1
    const former = items.get(key)
    if (value === undefined) items.delete(key)
    else items.set(key, { key, value, revision, createdRev: former?.createdRev ?? revision, lease })
    history.push(value === undefined ? { key, revision, deleted: true } : items.get(key))
    history = history.slice(-20_000)
    for (const wake of [...waiters]) wake()
  }

  function endLease (id) {
    clearTimeout(leases.get(id)?.timer)
    leases.delete(id)
    for (const item of [...items.values()]) if (item.lease === id) change(item.key, undefined)
  }

  function keepLease (id, ttlMs) {
    clearTimeout(leases.get(id)?.timer)
    leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) })
  }

  async function watch (query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const list = () => history.filter(event => event.revision > after && event.key.startsWith(prefix))
    const endMs = Date.now() + Math.min(30_000, Number(query.get('waitMs')))
    while (list().length === 0 && Date.now() < endMs) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.max(1, endMs - Date.now()))
        waiters.add(wake)
      })
    }
    return [200, { events: list(), asOf: revision }]
  }

  function transact ({ expected = [], puts = [], delete: deletes = [] }) {
    const current = key => items.get(key)?.revision ?? 0
    if (expected.some(row => current(row.key) !== row.revision)) return [412, { items: expected.flatMap(row => items.get(row.key) ?? []) }]
    if (puts.some(put => put.lease !== undefined && put.lease !== 0 && !leases.has(put.lease))) return [404, {}]
    if ([...puts.map(put => put.key), ...deletes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}]
    for (const put of puts) change(put.key, put.value, put.lease ?? 0)
    for (const key of deletes) if (items.has(key)) change(key, undefined)
    return [200, { revision }]
  }

  async function handle (method, url, body) {
    const [, call, id] = url.pathname.split('/')
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = items.get(url.searchParams.get('key'))
        return item === undefined ? [404, { asOf: revision }] : [200, { ...item, asOf: revision }]
      }
      case 'GET kv-range': {
        const prefix = url.searchParams.get('prefix') ?? ''
        const after = url.searchParams.get('after') ?? ''
        const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((left, right) => left.key < right.key ? -1 : 1)
        return [200, { items: found.slice(0, 500), truncated: found.length > 500, asOf: revision }]
      }
      case 'GET kv-watch': return watch(url.searchParams)
      case 'POST kv-txn': return transact(body)
      case 'POST kv-lease':
        leaseCount += 1
        keepLease(leaseCount, body.ttlMs)
        return [200, { lease: leaseCount, ttlMs: body.ttlMs }]
      case 'POST kv-keep': {
        const lease = leases.get(Number(id))
        if (lease === undefined) return [404, {}]
        keepLease(Number(id), lease.ttlMs)
        return [200, { lease: Number(id), ttlMs: lease.ttlMs }]
      }
      case 'DELETE kv-lease-end':
        endLease(Number(id))
        return [200, {}]
      default: return [404, {}]
    }
  }

  const server = http.createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', async () => {
      const text = Buffer.concat(chunks).toString()
      const [status, answer] = await handle(request.method, new URL(request.url, 'http://store'), text === '' ? {} : JSON.parse(text))
      response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(state.era) })
      response.end(JSON.stringify(answer))
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    state,
    address: `127.0.0.1:${server.address().port}`,
    put: (key, value) => change(key, Buffer.from(value).toString('base64')),
    remove: key => change(key, undefined),
    listItems: () => [...items.values()],
    stop () {
      for (const { timer } of leases.values()) clearTimeout(timer)
      server.close()
      server.closeAllConnections()
    }
  }
}

/** Starts a gateway with the command of deploy/system.toml, under settings as in DEPLOY.md. */
export async function startGateway ({ name, storeAddress, host = '127.0.0.1', memoryMb = 350, logPath }) {
  const folder = mkdtempSync(join(tmpdir(), 'egretpaddle-review-'))
  const [front, ready] = await freePorts(2, host)
  const internal = await freePortPair(host)
  const path = join(folder, 'settings.toml')
  writeFileSync(path, `
node = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "${host}"
zone = "zone-1"
region = "region-1"
internalPorts = [${internal.join(', ')}]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
zone-1 = "region-1"
[listen]
front = "${host}:${front}"
ready = "${host}:${ready}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = ${memoryMb}
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retrySlack = 132
recoveryS = 12
passMs = 120
retryAfterS = 0
stallMs = 5000
requireFence = true
ceilingWindowS = 5
originOverrun = 1.1
[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`)
  const child = spawn('node', ['--max-old-space-size=160', 'target/gateway.cjs'], {
    cwd: new URL('../..', import.meta.url).pathname,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, EGRETPADDLE_SETTINGS: path },
    stdio: ['ignore', 'pipe', 'pipe']
  })
  const gateway = { name, host, front, ready, child, exit: undefined }
  child.on('exit', (code, signal) => { gateway.exit = `code ${code}, signal ${signal}` })
  if (logPath === undefined) {
    child.stdout.resume()
    child.stderr.resume()
  } else {
    const log = createWriteStream(logPath)
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
  }
  gateway.isReady = async () => {
    try {
      return (await fetch(`http://${host}:${ready}/readiness`)).status === 200
    } catch {
      return false
    }
  }
  gateway.stop = async () => {
    if (gateway.exit === undefined) {
      child.kill('SIGKILL')
      await once(child, 'exit')
    }
    rmSync(folder, { recursive: true, force: true })
  }
  return gateway
}

/** Sends one request on a new connection and returns what arrived, with the end of the connection. */
export function send ({ host = '127.0.0.1', port, method = 'POST', path, headers = {}, body, timeoutMs = 10_000 }) {
  return new Promise(resolve => {
    const startedAtMs = Date.now()
    let answer = { status: 0, headers: {}, body: '', isWhole: false }
    const request = http.request({ host, port, method, path, agent: false, headers }, response => {
      answer = { status: response.statusCode, headers: response.headers, body: '', isWhole: false }
      response.on('data', chunk => { answer.body += chunk })
      response.on('end', () => { answer.isWhole = response.complete })
      response.on('error', error => { answer.error = error.code ?? error.message })
      response.on('close', () => request.destroy())
    })
    const timer = setTimeout(() => request.destroy(new Error('the caller gave up')), timeoutMs)
    request.on('error', error => { answer.error ??= error.code ?? error.message })
    request.on('close', () => {
      clearTimeout(timer)
      resolve({ ...answer, elapsedMs: Date.now() - startedAtMs })
    })
    request.end(body)
  })
}
