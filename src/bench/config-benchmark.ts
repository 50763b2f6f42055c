import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { performance } from 'node:perf_hooks'

import type { ChangeOutcome } from '../coordination/config/change-outcome.js'
import { findTreePosition } from '../coordination/config/distribution-tree.js'
import type { ConfigKeeperSettings } from '../coordination/config/keeper-settings.js'
import { createConfigFleet, createFirstConfig, type ConfigFleet } from '../fuzz/config-fleet.js'
import { createBufferBudget } from '../shared/buffer-budget.js'
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
/** Settings with which every node watches the store: no zone has as many nodes as this. */
const allWatchSettings: Partial<ConfigKeeperSettings> = { watchersPerZone: 10_000 }
/** Largest fleet that is also measured with every node watching the store. */
const allWatchMaxNodeCount = 256
const warmUpMs = 6_000
const idleDurationMs = 10_000
const checkIntervalMs = 5
const maxChangeDurationMs = 8_000
/** Calls over which the processor time is averaged. */
const cpuCallCount = 2_000
/** Calls over which the bytes are averaged. */
const byteCallCount = 100
const millisecondsPerSecond = 1_000
const microsecondsPerMillisecond = 1_000
const credentialsPerTeam = 3
const teamsPerPartner = 10
const deploymentsPerPartner = 4

/**
 * Prints how long a configuration change takes to reach every node and the load that distribution puts on the store and
 * the nodes. Compares the distribution tree with every node watching the store.
 */
export const runConfigBenchmark: Benchmark = async context => {
  const config = createSampleConfig()
  // The delays are those of the simulated links in src/fuzz/config-fleet.ts and of the fake store.
  context.print(`configuration: ${JSON.stringify(config).length} bytes; seed ${context.seed}; virtual time; links 1 to 5 ms, store 0 to 2 ms`)
  context.print('nodes  mode       learned p50/p99/max ms  in force p50/max ms  store calls/s sum  a node  peer msgs/s a node  peer bytes/s a node')
  for (const size of sizes) {
    await measure(context, size, 'tree', {}, config)
    if (size.nodeCount <= allWatchMaxNodeCount) await measure(context, size, 'all watch', allWatchSettings, config)
  }
  context.print('every node polling the store with one read each 500 ms: 2 calls/s a node, 4400 at 2,200 nodes, and a change is learned after 0 to 500 ms')
  printCalculationTimes(context, config)
  await printPeerCallCosts(context, config)
}

async function measure (context: BenchmarkContext, size: typeof sizes[number], mode: string, settings: Partial<ConfigKeeperSettings>, firstConfig: FleetConfig): Promise<void> {
  const fleet = createConfigFleet({ seed: context.seed, nodeCount: size.nodeCount, zoneCount: size.zoneCount, settings, firstConfig })
  await fleet.timers.advanceAsync(warmUpMs)
  const idleLoad = await measureIdle(fleet)
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
    idleLoad.storeCallsPerSecond.toFixed(1).padStart(17),
    perNode(idleLoad.storeCallsPerSecond).padStart(6),
    perNode(idleLoad.messagesPerSecond).padStart(18),
    perNode(idleLoad.bytesPerSecond).padStart(19),
    `${(learnedMs.length / size.changeCount)} of ${size.nodeCount} learned`
  ].join('  '))
}

/** Measures the load per second, summed over all nodes, while no configuration changes. */
async function measureIdle (fleet: ConfigFleet) {
  const before = { ...fleet.store.counts, ...fleet.traffic }
  await fleet.timers.advanceAsync(idleDurationMs)
  const { counts } = fleet.store
  const callCount = counts.readCount + counts.writeCount + counts.watchCount - before.readCount - before.writeCount - before.watchCount
  const perSecond = (count: number) => count * millisecondsPerSecond / idleDurationMs
  return {
    storeCallsPerSecond: perSecond(callCount),
    messagesPerSecond: perSecond(fleet.traffic.messageCount - before.messageCount),
    bytesPerSecond: perSecond(fleet.traffic.byteCount - before.byteCount)
  }
}

/**
 * Makes one change. Appends the time in ms after which each node learned it to `learnedMs`, and the time after which the
 * writer reported it in force to `inForceMs`.
 */
async function measureChange (fleet: ConfigFleet, index: number, learnedMs: number[], inForceMs: number[]): Promise<void> {
  const vmId = `vm-${index}`
  const startMs = fleet.timers.nowMs()
  const writer = fleet.nodes[(index * 7) % fleet.nodes.length]
  const state: { outcome?: ChangeOutcome, atMs: number } = { atMs: 0 }
  void writer?.keeper.change({ transition: config => setDrain(config, 'vrany', vmId, true), expectedVersion: 0, changedBy: 'vrany/bench' })
    .then(outcome => { Object.assign(state, { outcome, atMs: fleet.timers.nowMs() }) })
  const pendingNodes = new Set(fleet.nodes)
  while (fleet.timers.nowMs() - startMs < maxChangeDurationMs && (pendingNodes.size > 0 || state.outcome === undefined)) {
    await fleet.timers.advanceAsync(checkIntervalMs)
    for (const node of pendingNodes) {
      if (node.keeper.getConfig()?.drainingVmIds.includes(vmId) !== true) continue
      pendingNodes.delete(node)
      learnedMs.push(fleet.timers.nowMs() - startMs)
    }
  }
  if (state.outcome?.kind === 'inForce') inForceMs.push(Math.round(state.atMs - startMs))
}

/** Prints the elapsed time of the calculations that grow with the fleet or the configuration. */
function printCalculationTimes (context: BenchmarkContext, config: FleetConfig): void {
  const json = JSON.stringify(config)
  context.print(`check of one configuration of ${json.length} bytes: ${measureMeanElapsedUs(500, () => parseFleetConfigJson(json))} us`)
  for (const nodeCount of [64, 256, 1024, 2200]) {
    const nodes = Array.from({ length: nodeCount }, (_, index) => ({
      nodeId: `node-${index}`, incarnation: 1, peerAddress: '', gossipAddress: '', availabilityZone: `zone-${index % 9}`, partner: 'vrany'
    }))
    // Two watchers per zone and a fan-out of 8, the default keeper settings.
    const membership = { self: nodes[0]!, getLiveNodes: () => nodes, getKnownNodes: () => nodes, liveNodeChanges: undefined as never }
    context.print(`place in the tree among ${nodeCount} nodes: ${measureMeanElapsedUs(500, () => findTreePosition(membership, 2, 8))} us`)
  }
}

/** Returns the mean elapsed time of one run in microseconds, after a warm-up. */
function measureMeanElapsedUs (runCount: number, run: () => void): string {
  for (let index = 0; index < runCount; index += 1) run()
  const startMs = performance.now()
  for (let index = 0; index < runCount; index += 1) run()
  return ((performance.now() - startMs) * microsecondsPerMillisecond / runCount).toFixed(0)
}

/** Above what the calls of this benchmark hold at a time. */
const messageBudgetBytes = 100_000_000

/**
 * Prints the bytes and the processor time of peer RPC calls over loopback. Client and server run in this process, so
 * the processor time covers both.
 */
async function printPeerCallCosts (context: BenchmarkContext, config: FleetConfig): Promise<void> {
  const status = { version: 1, versionInUse: 1, confirmedAgeMs: 300, hasConfig: true, isStoreUnreachable: false, canAttest: true }
  const server = createPeerRpcServer({
    host: '127.0.0.1',
    port: 0,
    limits: { timers: createSystemTimerService(), budget: createBufferBudget({ maxByteCount: messageBudgetBytes, smallByteCount: 0, onEvicted () {} }), maxConnectionCount: 100 },
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
    const processorTimeUs = await measureCalls(port, knownVersion, cpuCallCount, getProcessorTimeUs)
    const byteCount = await measureCalls(proxy.port, knownVersion, byteCallCount, proxy.getByteCount)
    const kind = knownVersion === 0 ? 'with' : 'without'
    context.print(`real call ${kind} a configuration in the answer: ${byteCount.toFixed(0)} bytes both ways above TCP, ${processorTimeUs.toFixed(0)} us of processor time for both ends`)
  }
  server.close()
  proxy.close()
}

/** Returns the mean increase per call of the counter that `readCounter` reads, after a warm-up. */
async function measureCalls (port: number, knownVersion: number, callCount: number, readCounter: () => number): Promise<number> {
  const client = createPeerRpcClient({ timers: createSystemTimerService(), callTimeoutMs: 5_000 })
  const callAll = async () => {
    for (let index = 0; index < callCount; index += 1) await client.fetchConfig(`127.0.0.1:${port}`, knownVersion)
  }
  await callAll()
  const before = readCounter()
  await callAll()
  client.close()
  return (readCounter() - before) / callCount
}

function getProcessorTimeUs (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}

interface CountingProxy {
  readonly port: number
  getByteCount (): number
  close (): void
}

/** Starts a TCP proxy to a local port that counts the bytes of both directions. */
async function startCountingProxy (targetPort: number): Promise<CountingProxy> {
  let byteCount = 0
  const server: Server = createServer(clientSocket => {
    const serverSocket = connect(targetPort, '127.0.0.1').setNoDelay()
    clientSocket.setNoDelay()
    for (const [from, to] of [[clientSocket, serverSocket], [serverSocket, clientSocket]] as const) {
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

function quantile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN)
}

/** Creates a configuration with two partners, each with ten teams, 30 credentials and four deployments. */
function createSampleConfig (): FleetConfig {
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
