/** Starts a gateway as the deploy file does, with settings like those of a small deployment, as a process of its own. */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

const root = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..')
const peerPortCount = 16

/** Finds `count` free loopback ports in a row. */
export async function findPorts (count) {
  for (;;) {
    const servers = []
    const first = 20_000 + Math.floor(Math.random() * 10_000)
    try {
      for (let port = first; port < first + count; port += 1) {
        const server = net.createServer()
        await new Promise((resolve, reject) => server.once('error', reject).listen(port, '127.0.0.1', resolve))
        servers.push(server)
      }
      return first
    } catch {
      // One of them is in use: others are tried.
    } finally {
      await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
    }
  }
}

/** The bounds of the installation vrany-zakazky. */
export const bounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  strictRevoke: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 132,
  recoveryS: 12,
  passMs: 120,
  retryAfterS: 0,
  stallMs: 5000,
  requireFence: true,
  ceilingWindowS: 5,
  originOverrun: 1.1
}

function formatSettings ({ name, zone, store, frontPort, extraBounds }) {
  const lines = Object.entries({ ...bounds, ...extraBounds }).map(([key, value]) => `${key} = ${value}`)
  return `node = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "${zone}"
region = "cz-stred"
internalPorts = [${frontPort + 2},${frontPort + 2 + peerPortCount - 1}]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
praha-dilna = "cz-stred"
horice-lom = "cz-stred"
kolin-sklad = "cz-stred"
[listen]
front = "127.0.0.1:${frontPort}"
ready = "127.0.0.1:${frontPort + 1}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
${lines.join('\n')}
[platform]
address = "${store.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`
}

/** Starts a gateway, on ports that it had before if `frontPort` is given. Its output goes to a file in a temporary folder, which `stop` removes. */
export async function startGateway ({ name, zone, store, extraBounds = {}, frontPort: givenPort }) {
  const frontPort = givenPort ?? await findPorts(2 + peerPortCount)
  const folder = mkdtempSync(path.join(os.tmpdir(), 'egretpaddle-case-'))
  const settingsPath = path.join(folder, 'settings.toml')
  const logPath = path.join(folder, 'log')
  writeFileSync(settingsPath, formatSettings({ name, zone, store, frontPort, extraBounds }))
  const log = openSync(logPath, 'a')
  const child = spawn('node', ['--max-old-space-size=160', 'target/gateway.cjs'], {
    cwd: root, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C', EGRETPADDLE_SETTINGS: settingsPath }
  })
  const exit = new Promise(resolve => child.once('exit', (code, signal) => resolve(signal ?? String(code))))
  let ended
  exit.then(how => { ended = how })
  return {
    name,
    frontPort,
    readyPort: frontPort + 1,
    logPath,
    child,
    exit,
    getEnd: () => ended,
    isReady: () => new Promise(resolve => {
      const request = http.get({ host: '127.0.0.1', port: frontPort + 1, path: '/readiness', timeout: 900 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    }),
    async stop () {
      if (ended === undefined) child.kill('SIGKILL')
      await exit
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
