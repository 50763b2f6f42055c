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
const startTimeoutMs = 30_000
const requestTimeoutMs = 5000

/** A program of the fleet that can be restarted on the same port. */
export interface FleetProgram {
  readonly url: string
  program: ChildProgram
  restart (): Promise<void>
}

export interface FleetEngine extends FleetProgram {
  readonly vmId: string
}

/** Child processes: two entry nodes, and stand-ins for two groups of two engines, a plain service, the store and the VM list. */
export interface ProcessFleet {
  readonly keyValue: FleetProgram
  readonly vmList: FleetProgram
  readonly engines: readonly FleetEngine[]
  readonly service: FleetProgram
  readonly entries: readonly FleetProgram[]
  /** `host:port` of each entry node's operator interface. */
  readonly operatorAddresses: readonly string[]
  /** Resolves when all engines are loaded and both groups serve requests through each entry node. */
  waitUntilServing (): Promise<void>
  /** Returns undefined when the engine does not respond. */
  fetchEngineState (engine: FleetEngine): Promise<EngineState | undefined>
  /** Returns undefined when the engine does not respond. */
  fetchEngineCounts (engine: FleetEngine): Promise<EngineCounts | undefined>
  fetchServiceCounts (): Promise<ServiceCounts>
  /** Changes faults of a stand-in; fields that are left out stay as they are. */
  setFaults (program: FleetProgram, faults: object): Promise<void>
  stop (): Promise<void>
}

/** Starts the fleet on free loopback ports. For test files only. */
export async function startProcessFleet (): Promise<ProcessFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'egretpaddle-'))
  const programs: FleetProgram[] = []

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
    programs.push(fleetProgram)
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
  // Four ports for each entry node: clients, peers, gossip, operators.
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

  async function countCompletedByLeader (): Promise<number[]> {
    const states = await Promise.all(engines.map(fleet.fetchEngineState))
    const counts = await Promise.all(engines.map(fleet.fetchEngineCounts))
    const leaders = engines.flatMap((engine, index) => states[index]?.memberVmIds[0] === engine.vmId ? [index] : [])
    return leaders.map(index => counts[index]?.completedCount ?? 0)
  }

  async function waitUntilEntryUsesAllGroups (entry: FleetProgram): Promise<void> {
    const before = await countCompletedByLeader()
    await pollUntil(`${entry.url} uses every group`, startTimeoutMs, async () => {
      await sendProbe(entry.url)
      const after = await countCompletedByLeader()
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
      await pollUntil('all engines are loaded in a group', startTimeoutMs, async () => {
        const states = await Promise.all(engines.map(fleet.fetchEngineState))
        return states.every(state => state?.isLoaded === true)
      })
      for (const entry of entries) await waitUntilEntryUsesAllGroups(entry)
    },
    fetchEngineState: engine => fetchJson<EngineState>(`${engine.url}/state`),
    fetchEngineCounts: engine => fetchJson<EngineCounts>(`${engine.url}/stats`),
    async fetchServiceCounts () {
      const counts = await fetchJson<ServiceCounts>(`${service.url}/counts`)
      if (counts === undefined) throw new Error('the plain service does not respond')
      return counts
    },
    setFaults: (program, faults) => postJson(`${program.url}/faults`, faults),
    async stop () {
      await Promise.all(programs.map(({ program }) => program.end()))
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

let probeCount = 0

/** Sends a short request with a unique prompt, so that a cached prefix does not route it to one group. */
async function sendProbe (url: string): Promise<void> {
  probeCount += 1
  const response = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${fleetSecrets.vrany.client}` },
    body: JSON.stringify({ model: fleetDeployment, prompt: `probe ${probeCount}`, max_tokens: 1 }),
    signal: AbortSignal.timeout(requestTimeoutMs)
  }).catch(() => undefined)
  await response?.text()
}

/** Returns undefined when there is no response or it is not JSON. */
async function fetchJson<T> (url: string): Promise<T | undefined> {
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(requestTimeoutMs) })
    return await response.json() as T
  } catch {
    return undefined
  }
}

async function postJson (url: string, body: object): Promise<void> {
  const response = await fetch(url, { method: 'POST', body: JSON.stringify(body) })
  if (!response.ok) throw new Error(`${url} responded with status ${response.status}: ${await response.text()}`)
}
