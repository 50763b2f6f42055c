import type { Stream } from 'most'
import { never } from 'most'

import { createConfigKeeper, type ConfigKeeper, type ConfigKeeperOptions } from '../coordination/config/config-keeper.js'
import type { ConfigKeeperSettings } from '../coordination/config/keeper-settings.js'
import type { PeerConfigError, PeerConfigClient } from '../coordination/config/peer-config.js'
import type { KeyValueStore } from '../coordination/ports/key-value-store.js'
import type { EntryNodeInfo, MembershipView } from '../coordination/ports/membership-view.js'
import { ConfigSnapshot, ConfigStatus, FetchConfigRequest } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createRandomSource } from '../shared/random-source.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay } from '../shared/timer-service.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { parseFleetConfigJson } from '../state/fleet-config-schema.js'
import { fleetConfigKey, type FleetConfig } from '../state/fleet-config.js'
import { createFakeKeyValueStore, type FakeKeyValueStore, type FakeStoreFaults } from '../testing/fake-key-value-store.js'
import { createProcessTimers, createSimulatedProcess, type SimulatedProcess } from './simulated-process.js'

/** Creates the keeper of one node. */
export type KeeperFactory = (options: ConfigKeeperOptions) => ConfigKeeper

/** Size, seed and settings of a simulated fleet. */
export interface ConfigFleetOptions {
  readonly seed: number
  readonly nodeCount: number
  readonly zoneCount: number
  readonly settings?: Partial<ConfigKeeperSettings>
  readonly firstConfig?: FleetConfig
  /** Creates the keepers; a test may pass a broken variant. */
  readonly createKeeper?: KeeperFactory
}

/** One simulated entry node. A restart creates a new one under the same id. */
export interface FleetNode {
  readonly nodeId: string
  readonly entry: EntryNodeInfo
  readonly keeper: ConfigKeeper
  readonly process: SimulatedProcess
  readonly storeFaults: FakeStoreFaults
  /** False once the node was killed; a paused node is alive. */
  isAlive: boolean
  /** Virtual time of the kill; 0 while the node is alive. */
  killedAtMs: number
}

/** Messages sent between nodes. Sizes are those of the encoded messages, without framing. */
export interface PeerTraffic {
  messageCount: number
  byteCount: number
}

/** Encoded sizes of a request and its response. */
interface MessageSizes<Response> {
  readonly requestBytes: number
  countResponseBytes (reply: Response): number
}

/** Simulated entry nodes that share a store, in virtual time. Nodes are named by their index. */
export interface ConfigFleet {
  readonly timers: VirtualTimerService
  readonly store: FakeKeyValueStore
  readonly nodes: FleetNode[]
  readonly traffic: PeerTraffic
  /** Links that lose all messages in one direction, as `from>to` with node ids. */
  readonly cuts: Set<string>
  kill (index: number): void
  /** Starts a killed node under the same id. */
  restart (index: number): void
  /** Starts a node under a new id in place of a killed one. */
  replace (index: number): void
  pause (index: number): void
  /** Resumes a paused node. `check` runs before any code of the node does. */
  resume (index: number, check: () => void): void
  /** Parses the stored configuration; throws if it is invalid. */
  readStored (): FleetConfig
}

const peerTimeoutMs = 400
const maxLinkDelayMs = 5
/** Time after a kill for which the membership still reports the node as live. */
const deathDetectionMs = 2_000
/** Time after a kill for which the membership still knows the node. */
const forgetAfterMs = 60_000

/** Creates and starts entry nodes that share a fake store, with peer links that can be cut. */
export function createConfigFleet (options: ConfigFleetOptions): ConfigFleet {
  const timers = createVirtualTimerService()
  const random = createRandomSource(options.seed)
  const store = createFakeKeyValueStore(timers, random)
  const nodes: FleetNode[] = []
  const replacedNodes: FleetNode[] = []
  const cuts = new Set<string>()
  const traffic: PeerTraffic = { messageCount: 0, byteCount: 0 }
  const createKeeper = options.createKeeper ?? createConfigKeeper
  let nextNodeNumber = 0
  let nextTokenNumber = 0

  function wasRunningWithin (node: FleetNode, spanMs: number): boolean {
    return node.isAlive || timers.nowMs() - node.killedAtMs < spanMs
  }

  /** Number of starts and kills; invalidates the cached node lists. */
  let topologyVersion = 0
  const cachedLists = new Map<number, { readonly topologyVersion: number, readonly untilMs: number, readonly entries: EntryNodeInfo[] }>()

  function listNodesRunningWithin (spanMs: number): EntryNodeInfo[] {
    const cached = cachedLists.get(spanMs)
    if (cached !== undefined && cached.topologyVersion === topologyVersion && timers.nowMs() < cached.untilMs) return cached.entries
    const entries = findNodesRunningWithin(spanMs)
    const expiries = [...replacedNodes, ...nodes].filter(node => !node.isAlive).map(node => node.killedAtMs + spanMs).filter(atMs => atMs > timers.nowMs())
    cachedLists.set(spanMs, { topologyVersion, untilMs: Math.min(...expiries), entries })
    return entries
  }

  function findNodesRunningWithin (spanMs: number): EntryNodeInfo[] {
    const entries = new Map<string, EntryNodeInfo>()
    for (const node of [...replacedNodes, ...nodes]) {
      if (wasRunningWithin(node, spanMs)) entries.set(node.nodeId, node.entry)
    }
    return [...entries.values()].sort((left, right) => left.nodeId < right.nodeId ? -1 : 1)
  }

  function createMembership (self: EntryNodeInfo): MembershipView {
    const changes: Stream<readonly EntryNodeInfo[]> = never()
    return {
      self,
      getLiveNodes: () => listNodesRunningWithin(deathDetectionMs),
      getKnownNodes: () => listNodesRunningWithin(forgetAfterMs),
      liveNodeChanges: changes
    }
  }

  function countMessage (bytes: number): void {
    traffic.messageCount += 1
    traffic.byteCount += bytes
  }

  /** Waits for the link delay; returns whether the message arrives. */
  async function crossLink (from: string, to: string): Promise<boolean> {
    await delay(timers, 1 + random.nextInt(maxLinkDelayMs))
    return !cuts.has(`${from}>${to}`)
  }

  /** Runs the operation on the target node; a paused node runs it when it resumes. A lost message is noticed only after `peerTimeoutMs`. */
  async function call<T> (from: string, to: string, messages: MessageSizes<T>, operation: (keeper: ConfigKeeper) => T): Promise<Result<T, PeerConfigError>> {
    countMessage(messages.requestBytes)
    const response = (async () => {
      if (!await crossLink(from, to)) return undefined
      const target = nodes.find(node => node.nodeId === to)
      if (target === undefined || !target.isAlive) return undefined
      await target.process.waitUntilRunning()
      const value = operation(target.keeper)
      countMessage(messages.countResponseBytes(value))
      return await crossLink(to, from) ? { value } : undefined
    })()
    const timeout = delay(timers, peerTimeoutMs).then(() => undefined)
    const settled = await Promise.race([response.then(value => value ?? timeout), timeout])
    return settled === undefined ? failure({ kind: 'unreachable', reason: 'no response' }) : success(settled.value)
  }

  function createPeerClient (from: string, nodeProcess: SimulatedProcess): PeerConfigClient {
    return {
      async fetch (node, knownVersion) {
        await nodeProcess.waitUntilRunning()
        const response = await call(
          from,
          node.nodeId,
          { requestBytes: FetchConfigRequest.encode({ knownVersion }).finish().length, countResponseBytes: countSnapshotBytes },
          keeper => keeper.getSnapshot(knownVersion)
        )
        await nodeProcess.waitUntilRunning()
        return response
      },
      async push (node, snapshot) {
        await nodeProcess.waitUntilRunning()
        const response = await call(
          from,
          node.nodeId,
          { requestBytes: countSnapshotBytes(snapshot), countResponseBytes: (status: ConfigStatus) => ConfigStatus.encode(status).finish().length },
          keeper => keeper.acceptSnapshot(snapshot)
        )
        await nodeProcess.waitUntilRunning()
        return response
      }
    }
  }

  function startNode (nodeId: string, zone: number): FleetNode {
    const nodeProcess = createSimulatedProcess()
    const client = store.createClient()
    const entry: EntryNodeInfo = {
      nodeId,
      incarnation: timers.nowMs(),
      peerAddress: nodeId,
      gossipAddress: nodeId,
      availabilityZone: `zone-${zone}`,
      partner: zone % 2 === 0 ? 'alpha' : 'beta'
    }
    const keeper = createKeeper({
      store: suspendStoreCalls(client.store, nodeProcess),
      timers: createProcessTimers(timers, nodeProcess),
      random,
      membership: createMembership(entry),
      peerConfig: createPeerClient(nodeId, nodeProcess),
      createToken: () => `token-${nextTokenNumber++}`,
      ...(options.settings === undefined ? {} : { settings: options.settings })
    })
    keeper.start()
    return { nodeId, entry, keeper, process: nodeProcess, storeFaults: client.faults, isAlive: true, killedAtMs: 0 }
  }

  function kill (index: number): void {
    const node = nodes[index]
    if (node === undefined || !node.isAlive) return
    node.isAlive = false
    topologyVersion += 1
    node.killedAtMs = timers.nowMs()
    node.keeper.stop()
    node.process.kill()
  }

  function startSuccessor (index: number, nodeId: string): void {
    const node = nodes[index]
    if (node === undefined || node.isAlive) return
    replacedNodes.push(node)
    nodes[index] = startNode(nodeId, index % options.zoneCount)
    topologyVersion += 1
  }

  function startFirstNodes (): void {
    store.put(fleetConfigKey, JSON.stringify(options.firstConfig ?? createFirstConfig()))
    for (let index = 0; index < options.nodeCount; index += 1) {
      nodes.push(startNode(`node-${nextNodeNumber++}`, index % options.zoneCount))
      topologyVersion += 1
    }
  }

  startFirstNodes()
  return {
    timers,
    store,
    nodes,
    traffic,
    cuts,
    kill,
    restart: index => startSuccessor(index, nodes[index]?.nodeId ?? ''),
    replace: index => startSuccessor(index, `node-${nextNodeNumber++}`),
    pause (index) { nodes[index]?.process.suspend() },
    resume (index, check) {
      nodes[index]?.process.resume()
      check()
      nodes[index]?.process.runPending()
    },
    readStored () {
      const parsed = parseFleetConfigJson(store.peek(fleetConfigKey)?.value ?? '')
      if (!parsed.isOk) throw new Error(`stored configuration is invalid: ${JSON.stringify(parsed.error)}`)
      return parsed.value
    }
  }
}

function countSnapshotBytes (snapshot: ConfigSnapshot): number {
  return ConfigSnapshot.encode(snapshot).finish().length
}

/** Delays calls to the store and their results while the node is paused; `holdStoreReplies` of the orders area delays only results. */
function suspendStoreCalls (store: KeyValueStore, nodeProcess: SimulatedProcess): KeyValueStore {
  async function waitForProcess<T> (call: () => Promise<T>): Promise<T> {
    await nodeProcess.waitUntilRunning()
    const result = await call()
    await nodeProcess.waitUntilRunning()
    return result
  }
  return {
    get: key => waitForProcess(() => store.get(key)),
    list: prefix => waitForProcess(() => store.list(prefix)),
    compareAndSwap: request => waitForProcess(() => store.compareAndSwap(request)),
    watch: request => waitForProcess(() => store.watch(request)),
    grantLease: durationMs => waitForProcess(() => store.grantLease(durationMs)),
    renewLease: leaseId => waitForProcess(() => store.renewLease(leaseId))
  }
}

/** Creates a configuration with two partners and no deployments. */
export function createFirstConfig (): FleetConfig {
  const partners = ['alpha', 'beta'].map(name => ({
    name,
    teams: [{ name: 'main', weight: 1 }],
    credentials: [],
    operators: [{ sha256Hex: '0'.repeat(64), name: 'first' }],
    groupDowntimeWeight: 1,
    strandedAcceleratorWeight: 1
  }))
  const shares = partners.map(partner => ({ partner: partner.name, capacityPercent: 50, priority: 1 }))
  return {
    version: 1,
    changeToken: 'first',
    partners,
    deployments: [],
    services: [],
    drainingVmIds: [],
    split: { shares },
    splitHistory: []
  }
}
