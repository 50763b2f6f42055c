import { expect } from 'chai'

import { createEvidenceCache, type EvidenceCache } from '../coordination/groups/evidence-cache.js'
import { createGroupCoordinator, type GroupCoordinator, type GroupCoordinatorOptions } from '../coordination/groups/group-coordinator.js'
import { ImmediateRepair } from '../coordination/groups/repair-policy.js'
import { EngineCommandKind, type EngineControl, type EngineCommand } from '../coordination/ports/engine-control.js'
import { KeyValueErrorKind, type KeyValueStore } from '../coordination/ports/key-value-store.js'
import { success } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { runGroupsFuzz } from './groups-area.js'
import { advanceChecked } from './groups-commands.js'
import { createGroupsOracle } from './groups-oracle.js'
import { createGroupsWorld, realGroupParts, type GroupParts } from './groups-world.js'

const options = { runCount: 100, maxCommandCount: 40, isShrunk: false }
const beliefMs = 30_000

function withCoordinator (change: (coordinator: GroupCoordinator) => GroupCoordinator): GroupParts {
  return { createCoordinator: given => change(createGroupCoordinator(given)), createCache: createEvidenceCache }
}

function withOptions (change: (given: GroupCoordinatorOptions) => GroupCoordinatorOptions): GroupParts {
  return { createCoordinator: given => createGroupCoordinator(change(given)), createCache: createEvidenceCache }
}

function withCache (change: (cache: EvidenceCache, nowMs: () => number) => EvidenceCache): GroupParts {
  return {
    createCoordinator: createGroupCoordinator,
    createCache: (timers, settings) => change(createEvidenceCache(timers, settings), () => timers.nowMs())
  }
}

/** Takes a group for complete until a member says otherwise. */
const absenceOfBadNews = withCoordinator(coordinator => ({
  ...coordinator,
  evidence: {
    ...coordinator.evidence,
    createPollResponse: groupIds => coordinator.evidence.createPollResponse(groupIds).map(group => {
      return group.isRefuted === true || group.isLeaving === true ? group : { ...group, isComplete: true, ageMs: 0 }
    })
  }
}))

/** Counts the age of evidence from its receipt. */
const stampedAtReceipt = withCache((cache, nowMs) => ({
  ...cache,
  applyResponse: groups => cache.applyResponse(groups.map(group => ({ ...group, ageMs: 0 })), nowMs())
}))

/** Hands over to the group that was chosen, however long ago. */
const noCheckAfterPause = withCache(cache => ({
  ...cache,
  canRouteTo: (groupId, epoch) => cache.getEpoch(groupId) === epoch
}))

/** Writes without the condition on the revision. */
function writeBlindly (store: KeyValueStore): KeyValueStore {
  return {
    ...store,
    async compareAndSwap (request) {
      const result = await store.compareAndSwap(request)
      if (result.isOk || result.error.kind !== KeyValueErrorKind.Conflict) return result
      return await store.compareAndSwap({ ...request, expectedRevision: result.error.current?.revision ?? 0 })
    }
  }
}

/** Counts a member for its new group while routers may still hold evidence for its old one. */
const notSettled: GroupParts = {
  createCache: createEvidenceCache,
  createCoordinator (given) {
    const settings = { ...given.settings, planIntervalMs: 200, probeIntervalMs: 200 }
    const coordinator = createGroupCoordinator({ ...given, settings, repairPolicy: new ImmediateRepair() })
    const answerPoll = (groupIds?: readonly string[]) => coordinator.evidence.createPollResponse(groupIds).map(group => {
      const statement = coordinator.evidence.getHealth(group.groupId)
      const isServing = statement?.missingVmIds.length === 0 && statement.leavingVmIds.length === 0
      return isServing ? { ...group, isComplete: true } : group
    })
    return { ...coordinator, evidence: { ...coordinator.evidence, createPollResponse: answerPoll } }
  }
}

/** Believes for a while that an order took effect, and that the weights stay loaded, as long as the engine answers. */
function believeOrders (control: EngineControl, timers: TimerService): EngineControl {
  const orderByAddress = new Map<string, EngineCommand>()
  const loadedOrders = new Set<EngineCommand>()
  let lastOrderAtMs = -Infinity
  return {
    async sendCommand (address, order, timeoutMs) {
      orderByAddress.set(address, order)
      lastOrderAtMs = timers.nowMs()
      return await control.sendCommand(address, order, timeoutMs)
    },
    async fetchState (address, timeoutMs) {
      const result = await control.fetchState(address, timeoutMs)
      const order = orderByAddress.get(address)
      if (!result.isOk || order?.kind !== EngineCommandKind.Join || timers.nowMs() - lastOrderAtMs > beliefMs) return result
      const memberVmIds = order.members.map(member => member.vmId)
      if (result.value.isLoaded) loadedOrders.add(order)
      return success({ ...result.value, ...order, memberVmIds, isLoaded: loadedOrders.has(order) })
    }
  }
}

const writtenBlindly = withOptions(given => ({ ...given, store: writeBlindly(given.store) }))
const believedOrders = withOptions(given => ({ ...given, engineControl: believeOrders(given.engineControl, given.timers) }))

interface BrokenVariant {
  readonly name: string
  readonly parts: GroupParts
  /** Part of the message by which the oracle names the fault. */
  readonly violation: string
  readonly seed: number
}

describe('groups fuzz area', () => {
  describe('with the real parts', () => {
    it('looks at hand-overs to each group at every router', async () => {
      const oracle = createGroupsOracle()
      const world = createGroupsWorld(1, realGroupParts)
      await advanceChecked(oracle, world, 20_000)
      const { checkCount, handOverCount } = { ...oracle.counts }
      await advanceChecked(oracle, world, 1000)
      const groupsAtRouters = 4 * world.nodes.length
      expect(oracle.counts.handOverCount - handOverCount).to.equal(groupsAtRouters * (oracle.counts.checkCount - checkCount))
    })

    it('finds no violation', async () => {
      const report = await runGroupsFuzz({ ...options, seed: 4, runCount: 8 })
      expect(report.message).to.equal(undefined)
    })
  })

  describe('with a broken part', () => {
    const lateRequest = 'took a request'
    const variants: BrokenVariant[] = [
      { name: 'completeness by the absence of bad news', parts: absenceOfBadNews, violation: lateRequest, seed: 4 },
      { name: 'evidence that is stamped at receipt', parts: stampedAtReceipt, violation: lateRequest, seed: 4 },
      { name: 'no check after a pause', parts: noCheckAfterPause, violation: lateRequest, seed: 4 },
      { name: 'a member that counts at once for its new group', parts: notSettled, violation: 'may get work for', seed: 5 },
      { name: 'records written without compare-and-swap', parts: writtenBlindly, violation: 'went back to epoch', seed: 4 },
      { name: 'orders that are believed without read-back', parts: believedOrders, violation: lateRequest, seed: 4 }
    ]
    for (const { name, parts, violation, seed } of variants) {
      it(`catches ${name}`, async () => {
        const report = await runGroupsFuzz({ ...options, seed }, parts)
        expect(report.isPassed).to.equal(false)
        expect(report.message).to.include(violation)
      })
    }
  })
})
