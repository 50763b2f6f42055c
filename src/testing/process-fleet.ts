import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import type { EngineState } from '../coordination/ports/engine-control.js'
import { VmLifecycle, VmRole, type ListedVm } from '../coordination/ports/vm-list.js'
import type { EngineCounts } from '../standin/completion-server.js'
import type { ServiceCounts } from '../standin/service-standin.js'
import { fleetConfigKey } from '../state/fleet-config.js'
import { pollUntil, startProgram, type ChildProgram } from './child-program.js'
import { findFreePorts } from './free-ports.js'
import { createFleetConfig, fleetDeployment, fleetSecrets, fleetService, fleetZone } from './process-fleet-config.js'

const domainCount = 2
const enginesPerDomain = 2
const entryCount = 2
const tokenIntervalMs = 10
const startBoundMs = 30_000
const requestBoundMs = 5000

/** A program of the fleet that can be ended and started again on the same port. */
export interface FleetProgram {
  readonly url: string
  program: ChildProgram
  restart (): Promise<void>
}

export interface FleetEngine extends FleetProgram {
  readonly vmId: string
}

/** Entry nodes and stand-ins as processes: two entry nodes, two groups of two engines and one plain service. */
export interface ProcessFleet {
  readonly keyValue: FleetProgram
  readonly vmList: FleetProgram
  readonly engines: readonly FleetEngine[]
  readonly service: FleetProgram
  readonly entries: readonly FleetProgram[]
  /** `host:port` of each entry node's interface for operators. */
  readonly operatorAddresses: readonly string[]
  /** Resolves when every entry node is ready and both groups answer through each. */
  waitUntilServing (): Promise<void>
  fetchEngineState (engine: FleetEngine): Promise<EngineState | undefined>
  fetchEngineCounts (engine: FleetEngine): Promise<EngineCounts | undefined>
  fetchServiceCounts (): Promise<ServiceCounts>
  setFaults (program: FleetProgram, faults: object): Promise<void>
  stop (): Promise<void>
}

/** Starts the fleet. For test files only. */
export async function startProcessFleet (): Promise<ProcessFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'egretpaddle-'))
  const running: FleetProgram[] = []

  async function startOn (port: number, name: string, args: readonly string[]): Promise<FleetProgram> {
    const start = () => startProgram(name, args)
    const fleetProgram: FleetProgram = {
      url: `http://127.0.0.1:${port}`,
      program: start(),
      async restart () {
        await fleetProgram.program.end()
        fleetProgram.program = start()
        await fleetProgram.program.waitUntilReady()
      }
    }
    running.push(fleetProgram)
    await fleetProgram.program.waitUntilReady()
    return fleetProgram
  }

  function startStandin (port: number, name: string, ...args: string[]): Promise<FleetProgram> {
    return startOn(port, `standin-${name}`, ['--port', String(port), ...args])
  }

  async function startEngine (port: number, vmId: string): Promise<FleetEngine> {
    const fleetProgram = await startStandin(port, 'engine', '--vm-id', vmId, '--token-interval-ms', String(tokenIntervalMs))
    return Object.assign(fleetProgram, { vmId })
  }

  function writeEntrySettings (index: number, ports: readonly number[], platform: object): string {
    const [clientPort, peerPort, gossipPort, operatorPort] = ports.slice(index * 4)
    const otherGossipPort = ports[((index + 1) % entryCount) * 4 + 2]
    const file = join(folder, `entry-${index + 1}.jsonc`)
    writeFileSync(file, JSON.stringify({
      nodeId: `entry-${index + 1}`,
      partner: 'vrany',
      availabilityZone: fleetZone,
      platform,
      callers: { port: clientPort },
      peers: { port: peerPort, gossipPort, seeds: [`127.0.0.1:${otherGossipPort}`] },
      operators: { port: operatorPort },
      configuration: { leaseMs: 3000, refreshMs: 500 },
      shutdown: { balancerNoticeMs: 200 }
    }))
    return file
  }

  const enginePorts = await findFreePorts(domainCount * enginesPerDomain)
  const [keyValuePort = 0, vmListPort = 0, servicePort = 0] = await findFreePorts(3)
  const entryPorts = await findFreePorts(entryCount * 4)
  const [keyValue, vmList, service, ...engines] = await Promise.all([
    startStandin(keyValuePort, 'kv'),
    startStandin(vmListPort, 'vm-list'),
    startStandin(servicePort, 'service'),
    ...enginePorts.map((port, index) => startEngine(port, `engine-${index + 1}`))
  ])
  await postJson(`${vmList.url}/vms`, { vms: listVms(engines, service) })
  await postJson(`${keyValue.url}/kv/cas`, { key: fleetConfigKey, expectedRevision: 0, value: JSON.stringify(createFleetConfig()) })
  const platform = { keyValueUrl: keyValue.url, vmListUrl: vmList.url }
  const entries = await Promise.all(Array.from({ length: entryCount }, (_, index) =>
    startOn(entryPorts[index * 4] ?? 0, 'entry', ['--settings', writeEntrySettings(index, entryPorts, platform)])))

  async function countServedByLeader (): Promise<number[]> {
    const states = await Promise.all(engines.map(fleet.fetchEngineState))
    const counts = await Promise.all(engines.map(fleet.fetchEngineCounts))
    const leaders = engines.flatMap((engine, index) => states[index]?.memberVmIds[0] === engine.vmId ? [index] : [])
    return leaders.map(index => counts[index]?.completedCount ?? 0)
  }

  async function waitUntilEntryUsesAllGroups (entry: FleetProgram): Promise<void> {
    const before = await countServedByLeader()
    await pollUntil(`${entry.url} uses each group`, startBoundMs, async () => {
      await sendProbe(entry.url)
      const after = await countServedByLeader()
      return after.length === domainCount && after.every((count, index) => count > (before[index] ?? 0))
    })
  }

  const fleet: ProcessFleet = {
    keyValue,
    vmList,
    engines,
    service,
    entries,
    operatorAddresses: entries.map((_, index) => `127.0.0.1:${entryPorts[index * 4 + 3]}`),
    async waitUntilServing () {
      await pollUntil('all engines are loaded in a group', startBoundMs, async () => {
        const states = await Promise.all(engines.map(fleet.fetchEngineState))
        return states.every(state => state?.isLoaded === true)
      })
      for (const entry of entries) await waitUntilEntryUsesAllGroups(entry)
    },
    fetchEngineState: engine => fetchJson<EngineState>(`${engine.url}/state`),
    fetchEngineCounts: engine => fetchJson<EngineCounts>(`${engine.url}/stats`),
    async fetchServiceCounts () {
      const counts = await fetchJson<ServiceCounts>(`${service.url}/counts`)
      if (counts === undefined) throw new Error('the service does not answer')
      return counts
    },
    setFaults: (program, faults) => postJson(`${program.url}/faults`, faults),
    async stop () {
      await Promise.all(running.map(({ program }) => program.end()))
      rmSync(folder, { recursive: true })
    }
  }
  return fleet
}

function listVms (engines: readonly FleetEngine[], service: FleetProgram): ListedVm[] {
  const shared = { availabilityZone: fleetZone, lifecycle: VmLifecycle.Live }
  const engineVms = engines.map((engine, index) => ({
    ...shared,
    vmId: engine.vmId,
    address: toAddress(engine),
    fabricDomain: `fabric-${1 + Math.floor(index / enginesPerDomain)}`,
    acceleratorCount: 8,
    role: VmRole.ModelEngine
  }))
  const serviceVm = {
    ...shared,
    vmId: 'orders-1',
    address: toAddress(service),
    fabricDomain: 'plain',
    acceleratorCount: 0,
    role: VmRole.PlainService,
    serviceName: fleetService
  }
  return [...engineVms, serviceVm]
}

function toAddress (program: FleetProgram): string {
  return new URL(program.url).host
}

let lastProbe = 0

/** Sends a short request with a prompt of its own, so that no cached prefix draws it to one group. */
async function sendProbe (url: string): Promise<void> {
  lastProbe += 1
  const answer = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${fleetSecrets.vrany.caller}` },
    body: JSON.stringify({ model: fleetDeployment, prompt: `probe ${lastProbe}`, max_tokens: 1 }),
    signal: AbortSignal.timeout(requestBoundMs)
  }).catch(() => undefined)
  await answer?.text()
}

/** Returns undefined when there is no answer. */
async function fetchJson<T> (url: string): Promise<T | undefined> {
  try {
    const answer = await fetch(url, { signal: AbortSignal.timeout(requestBoundMs) })
    return await answer.json() as T
  } catch {
    return undefined
  }
}

async function postJson (url: string, body: object): Promise<void> {
  const answer = await fetch(url, { method: 'POST', body: JSON.stringify(body) })
  if (!answer.ok) throw new Error(`${url} answered ${answer.status}: ${await answer.text()}`)
}
