import fc from 'fast-check'

import { VmLifecycle } from '../coordination/ports/vm-list.js'
import { createListedVm } from '../testing/group-samples.js'
import { LeavingSource, type GroupsOracle } from './groups-oracle.js'
import { vmCountPerDomain, type GroupsWorld, type WorldNode } from './groups-world.js'

type GroupsCommand = fc.AsyncCommand<GroupsOracle, GroupsWorld>

const checkIntervalMs = 250
/** Time after each step of `raceOwners`, in which the other nodes change the record. */
const raceStepMs = 8000
const vmIds = ['a', 'b'].flatMap(zone => Array.from({ length: vmCountPerDomain }, (_, index) => `vm-${zone}${index}`))

/** Advances virtual time and runs the oracle every `checkIntervalMs`. */
export async function advanceAndCheck (oracle: GroupsOracle, world: GroupsWorld, spanMs: number): Promise<void> {
  const untilMs = world.timers.nowMs() + spanMs
  while (world.timers.nowMs() < untilMs) {
    await world.timers.advanceAsync(Math.min(checkIntervalMs, untilMs - world.timers.nowMs()))
    oracle.check(world)
  }
}

/** Ends every fault and restarts the nodes and VMs that are down. Does not advance time. */
export function endFaults (oracle: GroupsOracle, world: GroupsWorld): void {
  Object.assign(world.store.faults, { isOut: false, requestDelayMs: 0, replyDelayMs: 0, lostReplyCount: 0, lateWriteCount: 0 })
  world.peerCuts.clear()
  world.unseenNodes.clear()
  world.changeLagMs = 500
  world.peerDelayMs = 5
  for (const [index, node] of world.nodes.entries()) {
    if (node === undefined) {
      world.startNode(index)
      continue
    }
    Object.assign(node.storeLink, { isOut: false, lostReplyCount: 0, lateWriteCount: 0 })
    Object.assign(node.engineLink, { isCut: false, areResponsesLost: false, commandDelayMs: 0 })
    node.process.resume()
  }
  for (const vmId of vmIds) {
    const engine = world.engines.get(vmId)
    engine?.setIsolated(false)
    engine?.resume()
    engine?.setActiveStreamCount(0)
    restartVm(oracle, world, vmId)
  }
}

function restartVm (oracle: GroupsOracle, world: GroupsWorld, vmId: string): void {
  const engine = world.engines.get(vmId)
  const isListedLive = world.vms.get(vmId)?.lifecycle === VmLifecycle.Live
  if (engine === undefined || (engine.isAlive() && isListedLive && !engine.getState().isLeaving)) return
  const zone = vmId.charAt('vm-'.length)
  oracle.clearLeaving(vmId, LeavingSource.Engine)
  oracle.clearLeaving(vmId, LeavingSource.PlatformList)
  engine.restart()
  world.changeVm(vmId, createListedVm(vmId, `domain-${zone}`, `zone-${zone}`))
}

function createCommand (name: string, apply: (oracle: GroupsOracle, world: GroupsWorld) => void | Promise<void>): GroupsCommand {
  return {
    check: () => true,
    async run (oracle, world) {
      await apply(oracle, world)
      oracle.check(world)
    },
    toString: () => name
  }
}

function withNode (name: string, apply: (node: WorldNode, world: GroupsWorld, index: number) => void): fc.Arbitrary<GroupsCommand> {
  return fc.nat(2).map(index => createCommand(`${name}(node-${index})`, (_, world) => {
    const node = world.nodes[index]
    if (node !== undefined) apply(node, world, index)
  }))
}

function withVm (name: string, apply: (vmId: string, world: GroupsWorld, oracle: GroupsOracle) => void): fc.Arbitrary<GroupsCommand> {
  return fc.constantFrom(...vmIds).map(vmId => createCommand(`${name}(${vmId})`, (oracle, world) => apply(vmId, world, oracle)))
}

/** Records that a VM is leaving. Every node knows it after at most twice `changeLagMs`, the longest lag of a node. */
function recordLeavingAfterLag (vmId: string, cause: LeavingSource, world: GroupsWorld, oracle: GroupsOracle): void {
  oracle.recordLeaving(vmId, cause, world.timers.nowMs() + 2 * world.changeLagMs)
}

const advance = fc.integer({ min: 100, max: 9000 }).map(spanMs => {
  return createCommand(`advance(${spanMs} ms)`, (oracle, world) => advanceAndCheck(oracle, world, spanMs))
})

const memberCommands = [
  withVm('killMember', (vmId, world) => world.engines.get(vmId)?.kill()),
  withVm('restartMember', (vmId, world, oracle) => restartVm(oracle, world, vmId)),
  withVm('pauseMember', (vmId, world) => world.engines.get(vmId)?.pause()),
  withVm('resumeMember', (vmId, world) => world.engines.get(vmId)?.resume()),
  withVm('loseVm', (vmId, world, oracle) => {
    world.engines.get(vmId)?.kill()
    world.changeVm(vmId, undefined)
    recordLeavingAfterLag(vmId, LeavingSource.PlatformList, world, oracle)
  }),
  withVm('leaveByEngine', (vmId, world, oracle) => {
    world.engines.get(vmId)?.setLeaving(true)
    oracle.recordLeaving(vmId, LeavingSource.Engine, world.timers.nowMs())
  }),
  withVm('leaveByList', (vmId, world, oracle) => {
    const vm = world.vms.get(vmId)
    if (vm === undefined) return
    world.changeVm(vmId, { ...vm, lifecycle: VmLifecycle.Leaving })
    recordLeavingAfterLag(vmId, LeavingSource.PlatformList, world, oracle)
  }),
  withVm('drainVm', (vmId, world, oracle) => {
    world.changeConfig({ ...world.config, version: world.config.version + 1, drainingVmIds: [vmId] })
    for (const other of vmIds) {
      if (other !== vmId) oracle.clearLeaving(other, LeavingSource.Operator)
    }
    recordLeavingAfterLag(vmId, LeavingSource.Operator, world, oracle)
  }),
  withVm('startStream', (vmId, world) => world.engines.get(vmId)?.setActiveStreamCount(1)),
  withVm('endStreams', (vmId, world) => world.engines.get(vmId)?.setActiveStreamCount(0)),
  fc.tuple(fc.constantFrom('a', 'b'), fc.boolean()).map(([zone, isDark]) => createCommand(`${isDark ? 'cutDomain' : 'restoreDomain'}(domain-${zone})`, (_, world) => {
    for (const vmId of vmIds.filter(id => id.startsWith(`vm-${zone}`))) world.engines.get(vmId)?.setIsolated(isDark)
  }))
]

const nodeCommands = [
  withNode('pauseNode', node => node.process.pause()),
  withNode('resumeNode', node => node.process.resume()),
  withNode('killNode', (_, world, index) => world.killNode(index)),
  fc.nat(2).map(index => createCommand(`startNode(node-${index})`, (_, world) => world.startNode(index))),
  withNode('cutFromStore', node => { node.storeLink.isOut = true }),
  withNode('cutFromEngines', node => { node.engineLink.isCut = true }),
  withNode('loseEngineReplies', node => { node.engineLink.areResponsesLost = true }),
  withNode('restoreLinks', node => {
    node.storeLink.isOut = false
    Object.assign(node.engineLink, { isCut: false, areResponsesLost: false })
  }),
  withNode('isolate', (_, world, index) => world.unseenNodes.add(index)),
  withNode('rejoin', (_, world, index) => world.unseenNodes.delete(index)),
  withNode('delayCommands', node => { node.engineLink.commandDelayMs = 6000 }),
  withNode('endCommandDelay', node => { node.engineLink.commandDelayMs = 0 }),
  fc.tuple(fc.nat(2), fc.nat(2), fc.boolean()).map(([from, to, isCut]) => createCommand(`${isCut ? 'cut' : 'heal'}(${from}>${to})`, (_, world) => {
    if (isCut) world.peerCuts.add(`${from}>${to}`)
    else world.peerCuts.delete(`${from}>${to}`)
  }))
]

const platformCommands = [
  fc.boolean().map(isOut => createCommand(`setStoreOut(${isOut})`, (_, world) => { world.store.faults.isOut = isOut })),
  fc.integer({ min: 1, max: 3 }).map(count => createCommand(`loseStoreReplies(${count})`, (_, world) => { world.store.faults.lostReplyCount = count })),
  fc.integer({ min: 1, max: 8000 }).map(delayMs => createCommand(`writeLate(${delayMs} ms)`, (_, world) => {
    Object.assign(world.store.faults, { lateWriteCount: 1, lateWriteDelayMs: delayMs })
  })),
  fc.constantFrom(0, 500, 5000).map(lagMs => createCommand(`setVmListLag(${lagMs} ms)`, (_, world) => { world.changeLagMs = lagMs })),
  fc.constantFrom(5, 1500).map(delayMs => createCommand(`setPeerDelay(${delayMs} ms)`, (_, world) => { world.peerDelayMs = delayMs })),
  fc.integer({ min: 0, max: 2 }).map(groupCount => createCommand(`setGroupCount(${groupCount})`, (_, world) => {
    const deployments = world.config.deployments.map(deployment => ({ ...deployment, groupCount }))
    world.changeConfig({ ...world.config, version: world.config.version + 1, deployments })
  })),
  fc.constantFrom('1', '2').map(modelVersion => createCommand(`setModelVersion(${modelVersion})`, (_, world) => {
    const deployments = world.config.deployments.map(deployment => ({ ...deployment, modelVersion }))
    world.changeConfig({ ...world.config, version: world.config.version + 1, deployments })
  }))
]

/** A router chooses a group, its process pauses, a VM may die meanwhile, and the router then routes a request to that group. */
const routeAfterPause = fc.tuple(fc.nat(2), fc.constantFrom(0, 1000, 10_000), fc.option(fc.constantFrom(...vmIds))).map(([index, pauseMs, killedVmId]) => {
  return createCommand(`routeAfterPause(node-${index}, paused for ${pauseMs} ms, ${killedVmId ?? 'no VM'} dies)`, async (oracle, world) => {
    const node = world.nodes[index]
    if (node === undefined || node.process.isStopped()) return
    const chosen = world.config.deployments.flatMap(({ name }) => node.cache.getFreshGroups(name, world.timers.nowMs()))
    node.process.pause()
    if (killedVmId !== null) world.engines.get(killedVmId)?.kill()
    await advanceAndCheck(oracle, world, pauseMs)
    if (world.nodes[index] !== node) return
    for (const group of chosen) {
      if (node.cache.canRouteTo(group.groupId, group.epoch, world.timers.nowMs())) oracle.checkRoute(world, group)
    }
    node.process.resume()
  })
})

/** A node that the others see as dead, and that cannot reach the store, reconnects to the store and plans from a record that the others have changed twice. */
const raceOwners = fc.tuple(fc.nat(2), fc.shuffledSubarray(vmIds, { minLength: 2, maxLength: 2 })).map(([index, [firstVmId = '', secondVmId = '']]) => {
  return createCommand(`raceOwners(node-${index}, ${firstVmId}, ${secondVmId})`, async (oracle, world) => {
    const node = world.nodes[index]
    if (node === undefined) return
    world.unseenNodes.add(index)
    node.storeLink.isOut = true
    world.engines.get(firstVmId)?.kill()
    await advanceAndCheck(oracle, world, raceStepMs)
    restartVm(oracle, world, firstVmId)
    await advanceAndCheck(oracle, world, raceStepMs)
    world.engines.get(secondVmId)?.kill()
    await advanceAndCheck(oracle, world, raceStepMs)
    node.storeLink.isOut = false
    await advanceAndCheck(oracle, world, raceStepMs)
    world.unseenNodes.delete(index)
  })
})

/** Command generators of the groups area. `advance` and `routeAfterPause` are listed several times, which makes them more frequent. */
export const groupsCommands: Array<fc.Arbitrary<GroupsCommand>> = [
  ...Array.from({ length: 12 }, () => advance),
  ...Array.from({ length: 6 }, () => routeAfterPause),
  raceOwners,
  ...memberCommands,
  ...nodeCommands,
  ...platformCommands
]
