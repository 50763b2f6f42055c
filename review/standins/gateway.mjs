// Starts gateways as deploy/system.toml does, with the settings of a small installation (DEPLOY.md), on loopback.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const frontPort = 28_227
const readyPort = 28_220
const firstInternalPort = 27_340

const root = fileURLToPath(new URL('../..', import.meta.url))

export const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs))

/** The words of the `run` line of the deploy file's role. */
function readRunWords () {
  const line = readFileSync(join(root, 'deploy/system.toml'), 'utf8').split('\n').find(text => text.startsWith('run = '))
  return line.slice(line.indexOf('"') + 1, line.lastIndexOf('"')).split(' ')
}

/** A loopback address that no other gateway uses, so that the ports of all gateways can be the same. */
function chooseAddress () {
  const part = () => 1 + Math.floor(Math.random() * 250)
  return `127.${part()}.${part()}.${part()}`
}

function formatSettings ({ name, zone, storeAddress, address, bounds }) {
  const lines = Object.entries({
    stableWindowMs: 3000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, strictRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 132, recoveryS: 12, passMs: 120, stallMs: 5000, requireFence: true, ...bounds
  }).map(([key, value]) => `${key} = ${value}`)
  return `node = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "${address}"
zone = "${zone}"
region = "r1"
internalPorts = [${firstInternalPort}, ${firstInternalPort + 15}]
bootstrap = true
entry = "vip"
heartbeatMs = 1200
[listen]
front = "${address}:${frontPort}"
ready = "${address}:${readyPort}"
[bounds]
${lines.join('\n')}
[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`
}

function isReadyAt (address) {
  return new Promise(resolve => {
    const request = http.get({ host: address, port: readyPort, path: '/readiness', agent: false, timeout: 1000 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(false))
  })
}

/** Starts one gateway process. */
export async function startGateway ({ name = 'front-1', zone = 'z1', storeAddress, bounds = {}, address = chooseAddress() }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const settingsPath = join(folder, 'settings.toml')
  writeFileSync(settingsPath, formatSettings({ name, zone, storeAddress, address, bounds }))
  const [program, ...words] = readRunWords()
  const logLines = []
  const child = spawn(program === 'node' ? process.execPath : program, words, {
    cwd: root,
    env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', EGRETPADDLE_SETTINGS: settingsPath },
    stdio: ['ignore', 'pipe', 'pipe']
  })
  let exit
  const exited = new Promise(resolve => child.on('exit', (code, signal) => {
    exit = { code, signal, atMs: Date.now() }
    resolve(exit)
  }))
  let rest = ''
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', chunk => {
      const lines = (rest + chunk).split('\n')
      rest = lines.pop()
      for (const line of lines) logLines.push(line)
    })
  }
  return {
    name,
    address,
    frontPort,
    pid: child.pid,
    logLines,
    getExit: () => exit,
    isReady: () => isReadyAt(address),
    signal: name => child.kill(name),
    async waitUntilReady (limitMs = 20_000) {
      const endMs = Date.now() + limitMs
      while (Date.now() < endMs) {
        if (exit !== undefined) throw new Error(`the gateway has exited: ${JSON.stringify(exit)} ${logLines.join(' ')}`)
        if (await isReadyAt(address)) return
        await sleep(50)
      }
      throw new Error('the gateway is not ready')
    },
    async stop () {
      if (exit === undefined) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
        await exited
      }
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Collects the lines of record.txt with the time since the start. */
export function createRecord (folder) {
  const startedAtMs = Date.now()
  const lines = []
  return {
    startedAtMs,
    write (text) {
      lines.push(`${String(Date.now() - startedAtMs).padStart(6)} ${text}`)
    },
    save () {
      writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n')
    }
  }
}

/** Runs a case: exit code 1 if it returns true (the rule was broken), 0 if false, 2 if it throws. */
export async function runCase (folder, run) {
  const record = createRecord(folder)
  const cleanups = []
  const limit = setTimeout(() => {
    record.write('the case took too long')
    record.save()
    for (const cleanup of cleanups.reverse()) cleanup()
    process.exit(2)
  }, 110_000)
  let code
  try {
    code = await run({ record, addCleanup: cleanup => cleanups.push(cleanup) }) ? 1 : 0
  } catch (error) {
    record.write(`the case could not run: ${error.stack ?? error}`)
    console.error(error)
    code = 2
  }
  clearTimeout(limit)
  for (const cleanup of cleanups.reverse()) await cleanup()
  record.write(code === 1 ? 'RESULT: the rule was broken' : code === 0 ? 'RESULT: the rule held' : 'RESULT: not run')
  record.save()
  process.exit(code)
}
