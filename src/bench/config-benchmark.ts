import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { performance } from 'node:perf_hooks'

import type { ChangeOutcome } from '../coordination/config/change-outcome.js'
import { findTreePosition } from '../coordination/config/distribution-tree.js'
import type { ConfigKeeperSettings } from '../coordination/config/keeper-settings.js'
import { createConfigFleet, createFirstConfig, type ConfigFleet } from '../fuzz/config-fleet.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { setDrain } from '../state/config-change.js'
import { parseFleetConfigJson } from '../state/fleet-config-schema.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { createPeerRpcClient } from '../transport/peer-rpc-client.js'
import { createPeerRpcServer } from '../transport/peer-rpc-server.js'
import type { Benchmark, BenchmarkContext } from './benchmark.js'

const sizes = [
  { nodeCount: 8, zoneCount: 6, changeCount: 20 },
  { nodeCount: 16, zoneCount: 6, changeCount: 20 },
  { nodeCount: 64, zoneCount: 9, changeCount: 10 },
  { nodeCount: 256, zoneCount: 9, changeCount: 6 },
  { nodeCount: 1024, zoneCount: 9, changeCount: 3 }
]
/** As many watchers as there are nodes. */
const allWatch: Partial<ConfigKeeperSettings> = { watchersPerZone: 10_000 }
const allWatchMaxNodeCount = 256
const warmUpMs = 6_000
const idleSpanMs = 10_000
const probeMs = 5
const changeSpanMs = 8_000
const realCallCount = 2_000
const countedCallCount = 100
const millisecondsPerSecond = 1_000
const microsecondsPerMillisecond = 1_000
const credentialsPerTeam = 3
const teamsPerPartner = 10
const deploymentsPerPartner = 4

/** Prints how fast a change reaches every node, what that costs the store and the nodes, against every node watching the store. */
export const runConfigBenchmark: Benchmark = async context => {
  const config = createTypicalConfig()
  context.print(`configuration: ${JSON.stringify(config).length} bytes; seed ${context.seed}; virtual time; links 1 to 5 ms, store 0 to 2 ms`)
  context.print('nodes  mode       learned p50/p99/max ms  in force p50/max ms  store calls/s sum  a node  peer msgs/s a node  peer bytes/s a node')
  for (const size of sizes) {
    await measure(context, size, 'tree', {}, config)
    if (size.nodeCount <= allWatchMaxNodeCount) await measure(context, size, 'all watch', allWatch, config)
  }
  context.print('every node polling the store with one read each 500 ms: 2 calls/s a node, 4400 at 2,200 nodes, and a change is learned after 0 to 500 ms')
  measureProcessorTime(context, config)
  await measureRealCalls(context, config)
}

async function measure (context: BenchmarkContext, size: typeof sizes[number], mode: string, settings: Partial<ConfigKeeperSettings>, firstConfig: FleetConfig): Promise<void> {
  const fleet = createConfigFleet({ seed: context.seed, nodeCount: size.nodeCount, zoneCount: size.zoneCount, settings, firstConfig })
  await fleet.timers.advanceAsync(warmUpMs)
  const idle = await measureIdle(fleet)
  const learnedMs: number[] = []
  const inForceMs: number[] = []
  for (let index = 0; index < size.changeCount; index += 1) {
    await measureChange(fleet, index, learnedMs, inForceMs)
  }
  const perNode = (value: number) => (value / size.nodeCount).toFixed(1)
  context.print([
    String(size.nodeCount).padStart(5),
    mode.padEnd(9),
    `${quantile(learnedMs, 0.5)}/${quantile(learnedMs, 0.99)}/${quantile(learnedMs, 1)}`.padStart(22),
    `${quantile(inForceMs, 0.5)}/${quantile(inForceMs, 1)}`.padStart(18),
    idle.storeCallsPerSecond.toFixed(1).padStart(17),
    perNode(idle.storeCallsPerSecond).padStart(6),
    perNode(idle.messagesPerSecond).padStart(18),
    perNode(idle.bytesPerSecond).padStart(19),
    `${(learnedMs.length / size.changeCount)} of ${size.nodeCount} learned`
  ].join('  '))
}

async function measureIdle (fleet: ConfigFleet) {
  const before = { ...fleet.store.counts, ...fleet.traffic }
  await fleet.timers.advanceAsync(idleSpanMs)
  const { counts } = fleet.store
  const callCount = counts.readCount + counts.writeCount + counts.watchCount - before.readCount - before.writeCount - before.watchCount
  const perSecond = (count: number) => count * millisecondsPerSecond / idleSpanMs
  return {
    storeCallsPerSecond: perSecond(callCount),
    messagesPerSecond: perSecond(fleet.traffic.messageCount - before.messageCount),
    bytesPerSecond: perSecond(fleet.traffic.byteCount - before.byteCount)
  }
}

async function measureChange (fleet: ConfigFleet, index: number, learnedMs: number[], inForceMs: number[]): Promise<void> {
  const vmId = `vm-${index}`
  const startMs = fleet.timers.nowMs()
  const writer = fleet.nodes[(index * 7) % fleet.nodes.length]
  const state: { outcome?: ChangeOutcome, atMs: number } = { atMs: 0 }
  void writer?.keeper.change({ transition: config => setDrain(config, 'vrany', vmId, true), expectedVersion: 0, changedBy: 'vrany/bench' })
    .then(outcome => { Object.assign(state, { outcome, atMs: fleet.timers.nowMs() }) })
  const missing = new Set(fleet.nodes)
  while (fleet.timers.nowMs() - startMs < changeSpanMs && (missing.size > 0 || state.outcome === undefined)) {
    await fleet.timers.advanceAsync(probeMs)
    for (const node of missing) {
      if (node.keeper.getConfig()?.drainingVmIds.includes(vmId) !== true) continue
      missing.delete(node)
      learnedMs.push(fleet.timers.nowMs() - startMs)
    }
  }
  if (state.outcome?.kind === 'inForce') inForceMs.push(Math.round(state.atMs - startMs))
}

/** Times the work that grows with the size of the fleet or of the configuration. */
function measureProcessorTime (context: BenchmarkContext, config: FleetConfig): void {
  const json = JSON.stringify(config)
  context.print(`check of one configuration of ${json.length} bytes: ${timeMicroseconds(500, () => parseFleetConfigJson(json))} us`)
  for (const nodeCount of [64, 256, 1024, 2200]) {
    const nodes = Array.from({ length: nodeCount }, (_, index) => ({
      nodeId: `node-${index}`, incarnation: 1, peerAddress: '', gossipAddress: '', availabilityZone: `zone-${index % 9}`, partner: 'vrany'
    }))
    const membership = { self: nodes[0]!, getLiveNodes: () => nodes, getKnownNodes: () => nodes, liveNodeChanges: undefined as never }
    context.print(`place in the tree among ${nodeCount} nodes: ${timeMicroseconds(500, () => findTreePosition(membership, 2, 8))} us`)
  }
}

function timeMicroseconds (runCount: number, run: () => void): string {
  for (let index = 0; index < runCount; index += 1) run()
  const startMs = performance.now()
  for (let index = 0; index < runCount; index += 1) run()
  return ((performance.now() - startMs) * microsecondsPerMillisecond / runCount).toFixed(0)
}

/** Times real calls between two ends in this process; the figure holds both ends. */
async function measureRealCalls (context: BenchmarkContext, config: FleetConfig): Promise<void> {
  const status = { version: 1, versionInUse: 1, confirmedAgeMs: 300, hasConfig: true, isStoreUnreachable: false, canAttest: true }
  const server = createPeerRpcServer({
    host: '127.0.0.1',
    port: 0,
    handlers: {
      pollGroups: () => ({ groups: [], config: status }),
      fetchConfig: knownVersion => ({ status, configJson: knownVersion === 0 ? JSON.stringify(config) : '' }),
      pushConfig: () => status,
      describeDomains: () => ({ domains: [] })
    }
  })
  const port = await server.listen()
  const proxy = await startCountingProxy(port)
  for (const knownVersion of [1, 0]) {
    const cpuMicroseconds = await measureCalls(port, knownVersion, realCallCount, getProcessorMicroseconds)
    const byteCount = await measureCalls(proxy.port, knownVersion, countedCallCount, proxy.getByteCount)
    const kind = knownVersion === 0 ? 'with' : 'without'
    context.print(`real call ${kind} a configuration in the answer: ${byteCount.toFixed(0)} bytes both ways above TCP, ${cpuMicroseconds.toFixed(0)} us of processor time for both ends`)
  }
  server.close()
  proxy.close()
}

/** Returns by how much the measure grows with one call, after a warm-up. */
async function measureCalls (port: number, knownVersion: number, callCount: number, readMeasure: () => number): Promise<number> {
  const client = createPeerRpcClient({ timers: createSystemTimerService(), callTimeoutMs: 5_000 })
  const callAll = async () => {
    for (let index = 0; index < callCount; index += 1) await client.fetchConfig(`127.0.0.1:${port}`, knownVersion)
  }
  await callAll()
  const before = readMeasure()
  await callAll()
  client.close()
  return (readMeasure() - before) / callCount
}

function getProcessorMicroseconds (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}

interface CountingProxy {
  readonly port: number
  getByteCount (): number
  close (): void
}

/** Passes bytes on to the port and counts them both ways. */
async function startCountingProxy (targetPort: number): Promise<CountingProxy> {
  let byteCount = 0
  const server: Server = createServer(near => {
    const far = connect(targetPort, '127.0.0.1').setNoDelay()
    near.setNoDelay()
    for (const [from, to] of [[near, far], [far, near]] as const) {
      from.on('data', chunk => { byteCount += chunk.length })
      from.on('error', () => to.destroy())
      from.pipe(to)
    }
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    port: (server.address() as AddressInfo).port,
    getByteCount: () => byteCount,
    close: () => { server.close() }
  }
}

function quantile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? Number.NaN)
}

/** Two partners with ten teams each. */
function createTypicalConfig (): FleetConfig {
  const first = createFirstConfig()
  const names = ['vrany', 'kandy-lotus']
  return {
    ...first,
    partners: names.map(name => ({
      ...first.partners[0]!,
      name,
      teams: Array.from({ length: teamsPerPartner }, (_, index) => ({ name: `team-${index}`, weight: 1 })),
      credentials: Array.from({ length: teamsPerPartner * credentialsPerTeam }, (_, index) => ({
        sha256Hex: String(index).padStart(64, '0'), team: `team-${index % teamsPerPartner}`
      }))
    })),
    deployments: names.flatMap(partner => Array.from({ length: deploymentsPerPartner }, (_, index) => ({
      name: `${partner}-${index}`,
      partner,
      model: 'model',
      modelVersion: '1',
      membersPerGroup: 8,
      groupCount: 2,
      slotsPerGroup: 32,
      availabilityZones: ['zone-0', 'zone-1', 'zone-2'],
      doesEngineCheckEpoch: true,
      defaultDeadlineMs: 60_000
    }))),
    split: { shares: names.map(partner => ({ partner, capacityPercent: 50, priority: 1 })) }
  }
}
