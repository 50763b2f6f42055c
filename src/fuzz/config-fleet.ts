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
import { createGatedTimers, createProcessGate, type ProcessGate } from './process-gate.js'

export type KeeperFactory = (options: ConfigKeeperOptions) => ConfigKeeper

export interface ConfigFleetOptions {
  readonly seed: number
  readonly nodeCount: number
  readonly zoneCount: number
  readonly settings?: Partial<ConfigKeeperSettings>
  readonly firstConfig?: FleetConfig
  /** Creates the keepers; a test may hand in a broken one. */
  readonly createKeeper?: KeeperFactory
}

/** One simulated entry node. A restart keeps the name and loses all else. */
export interface FleetNode {
  readonly nodeId: string
  readonly entry: EntryNodeInfo
  readonly keeper: ConfigKeeper
  readonly gate: ProcessGate
  readonly storeFaults: FakeStoreFaults
  isRunning: boolean
  stoppedAtMs: number
}

/** Messages between nodes, with their encoded size but without framing. */
export interface PeerTraffic {
  messageCount: number
  byteCount: number
}

interface PeerMessages<Reply> {
  readonly requestBytes: number
  countReplyBytes (reply: Reply): number
}

export interface ConfigFleet {
  readonly timers: VirtualTimerService
  readonly store: FakeKeyValueStore
  readonly nodes: FleetNode[]
  readonly traffic: PeerTraffic
  /** One-way cuts as `from>to`. */
  readonly cuts: Set<string>
  kill (index: number): void
  /** Starts a killed node under the same name. */
  restart (index: number): void
  /** Starts a node under a new name in the place of a killed one. */
  replace (index: number): void
  pause (index: number): void
  /** Lets a paused node go on; `check` runs before any of its code. */
  resume (index: number, check: () => void): void
  readStored (): FleetConfig
}

const peerTimeoutMs = 400
const maxLinkDelayMs = 5
const deathDetectionMs = 2_000
const forgetMs = 60_000

/** Creates and starts entry nodes that share a fake store, with peer links that can be cut. */
export function createConfigFleet (options: ConfigFleetOptions): ConfigFleet {
  const timers = createVirtualTimerService()
  const random = createRandomSource(options.seed)
  const store = createFakeKeyValueStore(timers, random)
  const nodes: FleetNode[] = []
  const former: FleetNode[] = []
  const cuts = new Set<string>()
  const traffic: PeerTraffic = { messageCount: 0, byteCount: 0 }
  const createKeeper = options.createKeeper ?? createConfigKeeper
  let nextName = 0
  let nextToken = 0

  function isRemembered (node: FleetNode, spanMs: number): boolean {
    return node.isRunning || timers.nowMs() - node.stoppedAtMs < spanMs
  }

  /** Counts starts and kills, so that lists of nodes are computed once while nothing changes. */
  let topologyVersion = 0
  const cachedLists = new Map<number, { readonly topologyVersion: number, readonly untilMs: number, readonly entries: EntryNodeInfo[] }>()

  function listRemembered (spanMs: number): EntryNodeInfo[] {
    const cached = cachedLists.get(spanMs)
    if (cached !== undefined && cached.topologyVersion === topologyVersion && timers.nowMs() < cached.untilMs) return cached.entries
    const entries = computeRemembered(spanMs)
    const expiries = [...former, ...nodes].filter(node => !node.isRunning).map(node => node.stoppedAtMs + spanMs).filter(atMs => atMs > timers.nowMs())
    cachedLists.set(spanMs, { topologyVersion, untilMs: Math.min(...expiries), entries })
    return entries
  }

  function computeRemembered (spanMs: number): EntryNodeInfo[] {
    const entries = new Map<string, EntryNodeInfo>()
    for (const node of [...former, ...nodes]) {
      if (isRemembered(node, spanMs)) entries.set(node.nodeId, node.entry)
    }
    return [...entries.values()].sort((left, right) => left.nodeId < right.nodeId ? -1 : 1)
  }

  function createMembership (self: EntryNodeInfo): MembershipView {
    const changes: Stream<readonly EntryNodeInfo[]> = never()
    return {
      self,
      getLiveNodes: () => listRemembered(deathDetectionMs),
      getKnownNodes: () => listRemembered(forgetMs),
      liveNodeChanges: changes
    }
  }

  function countMessage (bytes: number): void {
    traffic.messageCount += 1
    traffic.byteCount += bytes
  }

  async function travel (from: string, to: string): Promise<boolean> {
    await delay(timers, 1 + random.nextInt(maxLinkDelayMs))
    return !cuts.has(`${from}>${to}`)
  }

  /** Runs the operation on the target; a target that is paused runs it when it goes on. */
  async function call<T> (from: string, to: string, messages: PeerMessages<T>, operation: (keeper: ConfigKeeper) => T): Promise<Result<T, PeerConfigError>> {
    countMessage(messages.requestBytes)
    const answer = (async () => {
      if (!await travel(from, to)) return undefined
      const target = nodes.find(node => node.nodeId === to)
      if (target === undefined || !target.isRunning) return undefined
      await target.gate.pass()
      const value = operation(target.keeper)
      countMessage(messages.countReplyBytes(value))
      return await travel(to, from) ? { value } : undefined
    })()
    const timeout = delay(timers, peerTimeoutMs).then(() => undefined)
    const settled = await Promise.race([answer.then(value => value ?? timeout), timeout])
    return settled === undefined ? failure({ kind: 'unreachable', reason: 'no answer' }) : success(settled.value)
  }

  function createPeerPort (from: string, gate: ProcessGate): PeerConfigClient {
    return {
      async fetch (node, knownVersion) {
        await gate.pass()
        const answer = await call(
          from,
          node.nodeId,
          { requestBytes: FetchConfigRequest.encode({ knownVersion }).finish().length, countReplyBytes: countSnapshotBytes },
          keeper => keeper.getSnapshot(knownVersion)
        )
        await gate.pass()
        return answer
      },
      async push (node, snapshot) {
        await gate.pass()
        const answer = await call(
          from,
          node.nodeId,
          { requestBytes: countSnapshotBytes(snapshot), countReplyBytes: (status: ConfigStatus) => ConfigStatus.encode(status).finish().length },
          keeper => keeper.acceptSnapshot(snapshot)
        )
        await gate.pass()
        return answer
      }
    }
  }

  function startNode (nodeId: string, zone: number): FleetNode {
    const gate = createProcessGate()
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
      store: gateStore(client.store, gate),
      timers: createGatedTimers(timers, gate),
      random,
      membership: createMembership(entry),
      peerConfig: createPeerPort(nodeId, gate),
      createToken: () => `token-${nextToken++}`,
      ...(options.settings === undefined ? {} : { settings: options.settings })
    })
    keeper.start()
    return { nodeId, entry, keeper, gate, storeFaults: client.faults, isRunning: true, stoppedAtMs: 0 }
  }

  function kill (index: number): void {
    const node = nodes[index]
    if (node === undefined || !node.isRunning) return
    node.isRunning = false
    topologyVersion += 1
    node.stoppedAtMs = timers.nowMs()
    node.keeper.stop()
    node.gate.destroy()
  }

  function startAgain (index: number, nodeId: string): void {
    const node = nodes[index]
    if (node === undefined || node.isRunning) return
    former.push(node)
    nodes[index] = startNode(nodeId, index % options.zoneCount)
    topologyVersion += 1
  }

  function addFirstNodes (): void {
    store.put(fleetConfigKey, JSON.stringify(options.firstConfig ?? createFirstConfig()))
    for (let index = 0; index < options.nodeCount; index += 1) {
      nodes.push(startNode(`node-${nextName++}`, index % options.zoneCount))
      topologyVersion += 1
    }
  }

  addFirstNodes()
  return {
    timers,
    store,
    nodes,
    traffic,
    cuts,
    kill,
    restart: index => startAgain(index, nodes[index]?.nodeId ?? ''),
    replace: index => startAgain(index, `node-${nextName++}`),
    pause (index) { nodes[index]?.gate.close() },
    resume (index, check) {
      nodes[index]?.gate.open()
      check()
      nodes[index]?.gate.release()
    },
    readStored () {
      const parsed = parseFleetConfigJson(store.peek(fleetConfigKey)?.value ?? '')
      if (!parsed.isOk) throw new Error(`stored configuration is damaged: ${JSON.stringify(parsed.error)}`)
      return parsed.value
    }
  }
}

function countSnapshotBytes (snapshot: ConfigSnapshot): number {
  return ConfigSnapshot.encode(snapshot).finish().length
}

function gateStore (store: KeyValueStore, gate: ProcessGate): KeyValueStore {
  async function guard<T> (call: () => Promise<T>): Promise<T> {
    await gate.pass()
    const answer = await call()
    await gate.pass()
    return answer
  }
  return {
    get: key => guard(() => store.get(key)),
    list: prefix => guard(() => store.list(prefix)),
    compareAndSwap: request => guard(() => store.compareAndSwap(request)),
    watch: request => guard(() => store.watch(request)),
    grantLease: durationMs => guard(() => store.grantLease(durationMs)),
    renewLease: leaseId => guard(() => store.renewLease(leaseId))
  }
}

/** Returns a configuration of two partners without deployments. */
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
