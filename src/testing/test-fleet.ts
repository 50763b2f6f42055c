import { createHash } from 'node:crypto'

import { VmLifecycle, VmRole, type ListedVm } from '../coordination/ports/vm-list.js'
import { createEntryNode, type EntryNode, type EntryPorts } from '../entry/entry-node.js'
import { entrySettingsSchema } from '../settings/entry-settings.js'
import { createEngineStandin, type EngineStandin } from '../standin/engine-standin.js'
import { createKeyValueStandin, type KeyValueStandin } from '../standin/key-value-standin.js'
import { createServiceStandin, type ServiceStandin } from '../standin/service-standin.js'
import { createVmListStandin, type VmListStandin } from '../standin/vm-list-standin.js'
import { fleetConfigKey, type FleetConfig } from '../state/fleet-config.js'

/** Bearer credential of the team `foremen` in a test fleet. */
export const clientSecret = 'test-caller'
export const operatorSecrets = { vrany: 'test-vrany-operator', lotus: 'test-lotus-operator' }

const pollIntervalMs = 20
const maxPollCount = 1000

/** An entry node and stand-ins in this process, on free loopback ports. */
export interface TestFleet {
  readonly keyValue: KeyValueStandin
  readonly vmList: VmListStandin
  readonly engines: readonly EngineStandin[]
  readonly service: ServiceStandin
  readonly entry: EntryNode
  readonly ports: EntryPorts
  readonly baseUrl: string
  stop (): Promise<void>
}

export interface TestFleetOptions {
  /** Sections of the entry node's settings that replace those of the test fleet. */
  readonly settings?: Readonly<Record<string, unknown>>
  /** 2 by default. */
  readonly engineCount?: number
}

/** Starts a fleet with a group of two engines and a plain service, and waits until the group serves. Further engines are in no group. */
export async function startTestFleet (options: TestFleetOptions = {}): Promise<TestFleet> {
  const engineCount = options.engineCount ?? 2
  const engines = Array.from({ length: engineCount }, (_, index) => createEngineStandin({
    vmId: `engine-${index}`, slotCount: 4, faults: { loadMs: 1, tokenIntervalMs: 2, firstTokenMs: 2 }
  }))
  const service = createServiceStandin()
  const enginePorts = await Promise.all(engines.map(async engine => (await engine.listen()).port))
  const servicePort = (await service.listen()).port
  const vmList = createVmListStandin({ vms: [...enginePorts.map(createEngineVm), createServiceVm(servicePort)] })
  const keyValue = createKeyValueStandin()
  const keyValuePort = (await keyValue.listen()).port
  const vmListPort = (await vmList.listen()).port
  await storeConfig(keyValuePort, createTestConfig())
  const entry = await createEntryNode(entrySettingsSchema.parse({
    nodeId: 'entry-1',
    partner: 'vrany',
    availabilityZone: 'praha-dilna',
    platform: { keyValueUrl: `http://127.0.0.1:${keyValuePort}`, vmListUrl: `http://127.0.0.1:${vmListPort}`, vmListRefreshMs: 100 },
    callers: { port: 0 },
    peers: { port: 0, gossipPort: 0 },
    operators: { port: 0 },
    groups: { probeIntervalMs: 50, pollIntervalMs: 50 },
    shutdown: { balancerNoticeMs: 0 },
    log: { level: 'error' },
    ...options.settings
  }))
  const ports = await entry.start()
  const baseUrl = `http://127.0.0.1:${ports.clientPort}`
  await waitUntil('a complete group', async () => (await postChat(baseUrl, { max_tokens: 1 })).status === 200)
  const parts = [...engines, service, vmList, keyValue]
  return {
    keyValue,
    vmList,
    engines,
    service,
    entry,
    ports,
    baseUrl,
    async stop () {
      entry.abort()
      await entry.stop()
      for (const part of parts) part.abort()
      await Promise.all(parts.map(part => part.close()))
    }
  }
}

/** Sends a chat request with some fields changed. */
export function postChat (baseUrl: string, fields: object = {}, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`${baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${clientSecret}`, 'content-type': 'application/json', ...headers },
    body: JSON.stringify({ model: 'drafting', messages: [{ role: 'user', content: 'north facade' }], ...fields })
  })
}

/** Polls until the condition holds; throws with the description after a fixed number of polls. */
export async function waitUntil (description: string, condition: () => Promise<boolean> | boolean): Promise<void> {
  for (let count = 0; count < maxPollCount; count += 1) {
    if (await condition()) return
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs))
  }
  throw new Error(`timed out waiting for ${description}`)
}

/** Returns a configuration of two partners with one deployment and one plain service. */
export function createTestConfig (): FleetConfig {
  return {
    version: 1,
    changeToken: 'test',
    partners: [
      {
        name: 'vrany',
        teams: [{ name: 'foremen', weight: 1 }],
        credentials: [{ sha256Hex: digest(clientSecret), team: 'foremen' }],
        operators: [{ sha256Hex: digest(operatorSecrets.vrany), name: 'operator' }],
        groupDowntimeWeight: 1,
        strandedAcceleratorWeight: 3
      },
      {
        name: 'lotus',
        teams: [{ name: 'designers', weight: 1 }],
        credentials: [{ sha256Hex: digest('test-lotus-caller'), team: 'designers' }],
        operators: [{ sha256Hex: digest(operatorSecrets.lotus), name: 'operator' }],
        groupDowntimeWeight: 3,
        strandedAcceleratorWeight: 1
      }
    ],
    deployments: [{
      name: 'drafting',
      partner: 'vrany',
      model: 'drafting-70b',
      modelVersion: '1',
      membersPerGroup: 2,
      groupCount: 1,
      slotsPerGroup: 4,
      availabilityZones: ['praha-dilna'],
      doesEngineCheckEpoch: true,
      defaultDeadlineMs: 60_000
    }],
    services: [{
      name: 'quarry-orders',
      partner: 'vrany',
      routes: [{ method: 'POST', path: '/orders', isRepeatable: false }, { method: 'GET', path: '/prices', isRepeatable: true }],
      timeoutMs: 5000,
      statusPath: '/orders/{key}'
    }],
    drainingVmIds: [],
    split: { shares: [{ partner: 'vrany', capacityPercent: 50, priority: 1 }, { partner: 'lotus', capacityPercent: 50, priority: 1 }] },
    splitHistory: []
  }
}

async function storeConfig (keyValuePort: number, config: FleetConfig): Promise<void> {
  const response = await fetch(`http://127.0.0.1:${keyValuePort}/kv/cas`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ key: fleetConfigKey, expectedRevision: 0, value: JSON.stringify(config) })
  })
  if (!response.ok) throw new Error(`configuration was not stored: status ${response.status}`)
}

function createEngineVm (port: number, index: number): ListedVm {
  return {
    vmId: `engine-${index}`,
    address: `127.0.0.1:${port}`,
    availabilityZone: 'praha-dilna',
    fabricDomain: 'fabric-1',
    acceleratorCount: 8,
    role: VmRole.ModelEngine,
    lifecycle: VmLifecycle.Live
  }
}

function createServiceVm (port: number): ListedVm {
  return {
    vmId: 'orders-1',
    address: `127.0.0.1:${port}`,
    availabilityZone: 'praha-dilna',
    fabricDomain: 'plain-1',
    acceleratorCount: 0,
    role: VmRole.PlainService,
    serviceName: 'quarry-orders',
    lifecycle: VmLifecycle.Live
  }
}

function digest (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}
