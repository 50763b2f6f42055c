/** What all cases share: the record, gateways as the deploy file starts them, and clients. */
import { spawn } from 'node:child_process'
import { appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const repository = fileURLToPath(new URL('../../', import.meta.url))
/** Ports are the same on all machines; each run has loopback addresses of its own, so that they are free. */
const [frontPort, readyPort, internalPort] = [8227, 8220, 7340]
const subnet = `127.${40 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
/** No case may last longer. */
const limitMs = 118_000
export const hasTrouble = process.env.TROUBLE !== '0'
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Runs a case: exits with 1 if it found a broken rule, 0 if not, 2 if it could not run. */
export async function runCase (caseUrl, play) {
  const recordPath = fileURLToPath(new URL('record.txt', caseUrl))
  const startedAtMs = Date.now()
  const folder = mkdtempSync(join(tmpdir(), 'review-3-'))
  const gateways = []
  const stops = []
  writeFileSync(recordPath, `TROUBLE=${hasTrouble ? 1 : 0}\n`)
  const log = (text, fields = {}) => appendFileSync(recordPath, `${String(Date.now() - startedAtMs).padStart(6)} ms ${text} ${JSON.stringify(fields)}\n`)

  async function clean () {
    await Promise.all(gateways.map(gateway => gateway.stop()))
    for (const stop of stops) await stop()
    rmSync(folder, { recursive: true, force: true })
  }

  const guard = setTimeout(() => {
    log('the case took too long')
    clean().finally(() => process.exit(2))
  }, limitMs)
  guard.unref()
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => clean().finally(() => process.exit(2)))
  let code
  try {
    const broken = await play({ log, folder, onStop: stop => stops.push(stop), startGateway: async options => gateways[gateways.push(await startGateway({ log, folder, index: gateways.length, ...options })) - 1] })
    code = broken === undefined ? 0 : 1
    log(broken === undefined ? 'RESULT the rule held' : 'RESULT the rule was broken', broken === undefined ? {} : { broken })
    console.log(broken === undefined ? 'held' : `broken: ${broken}`)
  } catch (error) {
    log('RESULT the case could not run', { reason: String(error.stack ?? error) })
    console.error(error)
    code = 2
  }
  clearTimeout(guard)
  await clean()
  process.exit(code)
}

export async function waitFor (what, isDone, withinMs = 20_000) {
  const endMs = Date.now() + withinMs
  while (!await isDone()) {
    if (Date.now() > endMs) throw new Error(`not within ${withinMs} ms: ${what}`)
    await sleep(25)
  }
}

/** The settings of a small deployment: the values of DEPLOY.md, with loopback addresses. */
function formatSettings ({ name, ip, store, zone, bounds }) {
  const all = {
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
    originOverrun: 1.1,
    ...bounds
  }
  return `node = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "${ip}"
zone = "${zone}"
region = "region-a"
internalPorts = [${internalPort},${internalPort + 15}]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"]
[zones]
${zone} = "region-a"
[listen]
front = "${ip}:${frontPort}"
ready = "${ip}:${readyPort}"
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
${Object.entries(all).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`
}

/** Starts a gateway with the command of the deploy file. It is started again when it ends, as the platform does. */
async function startGateway ({ log, folder, index, store, zone = 'zone-a', bounds = {} }) {
  const name = `front-${index + 1}`
  const ip = `${subnet}.${index + 1}`
  const settingsPath = join(folder, `${name}.toml`)
  const logPath = join(folder, `${name}.log`)
  const logFile = createWriteStream(logPath, { flags: 'a' })
  const [, command] = /\[roles\.gateway\][^[]*?run = "([^"]+)"/.exec(readFileSync(join(repository, 'deploy/system.toml'), 'utf8'))
  const [program, ...words] = command.split(' ')
  const ends = []
  let child
  let isStopped = false
  let isEndExpected = false
  /** `newFields` are lines of fields that the pages do not have. */
  const write = (changes = {}, newFields = '') => writeFileSync(settingsPath, newFields + formatSettings({ name, ip, store, zone, bounds: { ...bounds, ...changes } }))
  const start = () => {
    isEndExpected = false
    child = spawn(program === 'node' ? process.execPath : program, words, { cwd: repository, env: { PATH: process.env.PATH, HOME: folder, EGRETPADDLE_SETTINGS: settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.on('data', chunk => logFile.write(chunk))
    child.stderr.on('data', chunk => logFile.write(chunk))
    child.on('exit', (code, signal) => {
      log('gateway ended', { gateway: name, code, signal, isExpected: isEndExpected })
      if (!isEndExpected) ends.push({ code, signal, errors: readFileSync(logPath, 'utf8').slice(-1500) })
      if (!isStopped) setTimeout(() => { if (!isStopped) start() }, 500)
    })
    log('gateway started', { gateway: name, pid: child.pid })
  }
  write()
  start()
  return {
    name,
    host: ip,
    frontPort,
    logPath,
    /** Ends of the process that no signal of the case caused. */
    ends,
    writeSettings: write,
    getPid: () => child.pid,
    isReady: () => new Promise(resolve => {
      const request = http.get({ host: ip, port: readyPort, path: '/readiness', agent: false, timeout: 1000 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    }),
    signal (signal) {
      log('signal', { gateway: name, signal })
      if (signal === 'SIGKILL' || signal === 'SIGTERM') isEndExpected = true
      child.kill(signal)
    },
    readLog: () => readFileSync(logPath, 'utf8'),
    async stop () {
      if (isStopped) return
      isStopped = true
      isEndExpected = true
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise(resolve => child.once('exit', resolve))
        child.kill('SIGCONT')
        child.kill('SIGKILL')
        await ended
      }
      logFile.end()
    }
  }
}

let attemptCount = 0

/** Sends one request on a new channel, as a sound client does. */
export function call (gateway, { path, method = 'POST', key = 'key-1', deadlineMs = 4000, headers = {}, body, log = () => {} }) {
  attemptCount += 1
  const attempt = `a${attemptCount}`
  const startedAtMs = Date.now()
  log('client sends', { attempt, gateway: gateway.name, method, path })
  return new Promise(resolve => {
    let status = 0
    let text = ''
    let isWhole = false
    let answerHeaders = {}
    const request = http.request({
      host: gateway.host,
      port: frontPort,
      path,
      method,
      agent: false,
      headers: { Host: 'h.example', 'X-Attempt-Id': attempt, 'X-Deadline-Ms': String(deadlineMs), ...(key === undefined ? {} : { 'X-Key': key }), ...headers }
    }, response => {
      status = response.statusCode
      answerHeaders = response.headers
      response.on('data', chunk => { text += chunk })
      response.on('error', () => {})
      response.on('close', () => {
        isWhole = response.complete
        request.destroy()
      })
    })
    const timer = setTimeout(() => request.destroy(), deadlineMs)
    request.on('error', () => {})
    request.on('close', () => {
      clearTimeout(timer)
      const outcome = { attempt, status, isWhole, text, headers: answerHeaders, elapsedMs: Date.now() - startedAtMs }
      log('client got', { attempt, status, isWhole, elapsedMs: outcome.elapsedMs })
      resolve(outcome)
    })
    request.end(body)
  })
}
