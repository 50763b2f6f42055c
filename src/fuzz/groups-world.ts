import { createEvidenceCache, type EvidenceCache } from '../coordination/groups/evidence-cache.js'
import { createGroupCoordinator, type GroupCoordinator, type GroupCoordinatorOptions } from '../coordination/groups/group-coordinator.js'
import { defaultGroupSettings, type GroupSettings } from '../coordination/groups/group-settings.js'
import type { EntryNodeInfo } from '../coordination/ports/membership-view.js'
import { VmLifecycle, type ListedVm } from '../coordination/ports/vm-list.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import type { FleetConfig } from '../state/fleet-config.js'
import { createFakeEngines, type FakeEngineLink, type FakeEngines } from '../testing/fake-engines.js'
import { createFakeKeyValueStore, type FakeKeyValueStore, type FakeStoreFaults } from '../testing/fake-key-value-store.js'
import { createDeployment, createEntryNodeInfo, createFakeMembership, createSampleFleetConfig, createListedVm } from '../testing/group-samples.js'
import { createPausableProcess, type PausableProcess } from '../testing/pausable-process.js'

/** The default settings with shorter times, so that several rounds fit in a history. */
export const fuzzGroupSettings: GroupSettings = {
  ...defaultGroupSettings,
  probeIntervalMs: 1000,
  evidenceMaxAgeMs: 3000,
  planIntervalMs: 1000,
  surplusGraceMs: 10_000,
  drainTimeoutMs: 8000
}

/** Factories of the parts under test. Tests pass broken variants to show that the oracle detects them. */
export interface GroupParts {
  createCoordinator (options: GroupCoordinatorOptions): GroupCoordinator
  createCache (timers: TimerService, settings: GroupSettings): EvidenceCache
}

/** The parts that entry nodes use. */
export const realGroupParts: GroupParts = {
  createCoordinator: createGroupCoordinator,
  createCache: createEvidenceCache
}

/** One simulated entry node. */
export interface WorldNode {
  readonly entryNode: EntryNodeInfo
  readonly process: PausableProcess
  readonly coordinator: GroupCoordinator
  readonly cache: EvidenceCache
  readonly storeLink: FakeStoreFaults
  readonly engineLink: FakeEngineLink
  /** The node's view of the VM list and the configuration, each of which may lag behind the world's. */
  view: { vms: readonly ListedVm[], listVersion: number, config: FleetConfig }
}

/** Simulated entry nodes, engines, store and platform VM list, in virtual time. */
export interface GroupsWorld {
  readonly timers: VirtualTimerService
  readonly random: RandomSource
  readonly store: FakeKeyValueStore
  readonly engines: FakeEngines
  readonly nodes: Array<WorldNode | undefined>
  readonly vms: Map<string, ListedVm>
  config: FleetConfig
  /** Minimum lag after which a node learns of a VM list or configuration change. Each lag is random, between this and twice this. */
  changeLagMs: number
  /** Maximum one-way delay of a message between nodes. */
  peerDelayMs: number
  /** Links between nodes that lose all messages in one direction, as `from>to` with node indexes. */
  readonly peerCuts: Set<string>
  /** Indexes of nodes whose membership sees the others as dead, and that the others see as dead. Polls between them still arrive. */
  readonly unseenNodes: Set<number>
  startNode (index: number): void
  killNode (index: number): void
  /** Changes a VM in the platform's list; undefined removes it. */
  changeVm (vmId: string, vm: ListedVm | undefined): void
  changeConfig (config: FleetConfig): void
}

/** Deployment whose engines check epochs. */
export const checkedDeployment = 'checked'
/** Deployment whose engines do not check epochs. */
export const uncheckedDeployment = 'unchecked'
export const vmCountPerDomain = 5
const nodeZones = ['zone-a', 'zone-b', 'zone-a']
const pollIntervalMs = 1000
/** Virtual time at which a history starts. */
const initialClockMs = 100_000
/** Time that an engine takes to load weights. Zone A models engines that keep weights in memory. */
const loadMsByZone: Record<string, number> = { 'zone-a': 500, 'zone-b': 4000 }
/** Time that an engine takes to join a group again with weights that it has loaded. */
const rejoinMs = 200

/** Creates a fleet with two fabric domains: the engines of zone A check epochs, those of zone B do not. */
export function createGroupsWorld (seed: number, parts: GroupParts): GroupsWorld {
  const timers = createVirtualTimerService(initialClockMs)
  const random = createRandomSource(seed)
  const store = createFakeKeyValueStore(timers, random)
  const engines = createFakeEngines(timers, random)
  const vms = new Map(['a', 'b'].flatMap(createVmsOfDomain).map(vm => [vm.vmId, vm]))
  const config = createSampleFleetConfig([
    createDeployment({ name: checkedDeployment, availabilityZones: ['zone-a'], doesEngineCheckEpoch: true }),
    createDeployment({ name: uncheckedDeployment, availabilityZones: ['zone-b'], doesEngineCheckEpoch: false })
  ])
  for (const vm of vms.values()) {
    engines.add({ vmId: vm.vmId, address: vm.address, doesCheckEpoch: vm.availabilityZone === 'zone-a', loadMs: loadMsByZone[vm.availabilityZone] ?? 0, rejoinMs })
  }
  let listVersion = 0
  const world: GroupsWorld = {
    timers,
    random,
    store,
    engines,
    nodes: nodeZones.map(() => undefined),
    vms,
    config,
    changeLagMs: 500,
    peerDelayMs: 5,
    peerCuts: new Set(),
    unseenNodes: new Set(),
    startNode: index => startNode(world, parts, index, listVersion),
    killNode: index => {
      world.nodes[index]?.process.end()
      world.nodes[index]?.cache.stop()
      world.nodes[index]?.coordinator.stop()
      world.nodes[index] = undefined
    },
    changeVm (vmId, vm) {
      if (vm === undefined) vms.delete(vmId)
      else vms.set(vmId, vm)
      listVersion += 1
      const known = { vms: [...vms.values()], listVersion }
      propagate(world, node => {
        if (node.view.listVersion < known.listVersion) node.view = { ...node.view, ...known }
      })
    },
    changeConfig (next) {
      world.config = next
      propagate(world, node => {
        if (node.view.config.version < next.version) node.view = { ...node.view, config: next }
      })
    }
  }
  nodeZones.forEach((_, index) => world.startNode(index))
  return world
}

function createVmsOfDomain (zone: string): ListedVm[] {
  return Array.from({ length: vmCountPerDomain }, (_, index) => createListedVm(`vm-${zone}${index}`, `domain-${zone}`, `zone-${zone}`))
}

/** Applies a change to the view of each node after a random lag, so changes may arrive out of order. */
function propagate (world: GroupsWorld, apply: (node: WorldNode) => void): void {
  for (const index of world.nodes.keys()) {
    const lagMs = world.changeLagMs * (1 + world.random.nextFloat())
    world.timers.subscribeOnce(lagMs, () => {
      const node = world.nodes[index]
      if (node !== undefined) apply(node)
    })
  }
}

function startNode (world: GroupsWorld, parts: GroupParts, index: number, listVersion: number): void {
  if (world.nodes[index] !== undefined) return
  const entryNode = { ...createEntryNodeInfo(`node-${index}`, nodeZones[index] ?? ''), incarnation: world.timers.nowMs() }
  const process = createPausableProcess(world.timers)
  const storeClient = world.store.createClient()
  const engineClient = world.engines.createClient()
  const node: WorldNode = {
    entryNode,
    process,
    storeLink: storeClient.faults,
    engineLink: engineClient.link,
    cache: parts.createCache(process.timers, fuzzGroupSettings),
    view: { vms: [...world.vms.values()], listVersion, config: world.config },
    coordinator: parts.createCoordinator({
      store: process.wrap(storeClient.store),
      vmList: { getListedVms: () => node.view.vms },
      engineControl: process.wrap(engineClient.control),
      timers: process.timers,
      random: world.random,
      membership: createFakeMembership(entryNode, () => findLiveNodes(world, index)),
      settings: fuzzGroupSettings,
      getConfig: () => node.view.config
    })
  }
  world.nodes[index] = node
  node.coordinator.start()
  process.timers.subscribeEvery(pollIntervalMs, () => {
    for (const peerIndex of world.nodes.keys()) void pollPeer(world, node, index, peerIndex)
  })
}

function findLiveNodes (world: GroupsWorld, self: number): EntryNodeInfo[] {
  const isSeen = (index: number) => index === self || (
    !world.unseenNodes.has(self) && !world.unseenNodes.has(index) && world.nodes[index]?.process.isStopped() === false
  )
  return world.nodes.flatMap((node, index) => node !== undefined && isSeen(index) ? [node.entryNode] : [])
}

async function pollPeer (world: GroupsWorld, router: WorldNode, routerIndex: number, peerIndex: number): Promise<void> {
  const sentAtMs = router.process.timers.nowMs()
  const peer = world.nodes[peerIndex]
  if (peer === undefined || isCut(world, routerIndex, peerIndex)) return
  await delay(world.timers, world.random.nextFloat() * world.peerDelayMs)
  await peer.process.waitUntilRunning()
  const response = peer.coordinator.evidence.createPollResponse()
  await delay(world.timers, world.random.nextFloat() * world.peerDelayMs)
  if (isCut(world, peerIndex, routerIndex)) return
  await router.process.waitUntilRunning()
  router.cache.applyResponse(response, sentAtMs)
}

function isCut (world: GroupsWorld, from: number, to: number): boolean {
  return from !== to && world.peerCuts.has(`${from}>${to}`)
}

/** Returns whether the platform lists the VM as live and it isn't being drained. */
export function isExpectedToServe (world: GroupsWorld, vmId: string): boolean {
  return world.vms.get(vmId)?.lifecycle === VmLifecycle.Live && !world.config.drainingVmIds.includes(vmId)
}
