import { expect } from 'chai'

import { createEvidenceCache, type EvidenceCache } from '../coordination/groups/evidence-cache.js'
import { createGroupCoordinator, type GroupCoordinator, type GroupCoordinatorOptions } from '../coordination/groups/group-coordinator.js'
import { ImmediateRepair } from '../coordination/groups/repair-policy.js'
import { EngineCommandKind, type EngineControl, type EngineCommand } from '../coordination/ports/engine-control.js'
import { KeyValueErrorKind, type KeyValueStore } from '../coordination/ports/key-value-store.js'
import { success } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { runGroupsFuzz } from './groups-area.js'
import { advanceAndCheck } from './groups-commands.js'
import { createGroupsOracle } from './groups-oracle.js'
import { createGroupsWorld, realGroupParts, type GroupParts } from './groups-world.js'

const options = { runCount: 100, maxCommandCount: 40, shouldShrink: false }
const assumptionMs = 30_000

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

/** Reports a group as complete unless a member refutes it or leaves. */
const completeUnlessRefuted = withCoordinator(coordinator => ({
  ...coordinator,
  evidence: {
    ...coordinator.evidence,
    createPollResponse: groupIds => coordinator.evidence.createPollResponse(groupIds).map(group => {
      return group.isRefuted === true || group.isLeaving === true ? group : { ...group, isComplete: true, ageMs: 0 }
    })
  }
}))

/** Counts the age of evidence from its receipt instead of from the members' reports. */
const agedFromReceipt = withCache((cache, nowMs) => ({
  ...cache,
  applyResponse: groups => cache.applyResponse(groups.map(group => ({ ...group, ageMs: 0 })), nowMs())
}))

/** Routes to the chosen group without checking the age of its evidence. */
const withoutAgeCheck = withCache(cache => ({
  ...cache,
  canRouteTo: (groupId, epoch) => cache.getEpoch(groupId) === epoch
}))

/** Repeats a conflicting write with the stored revision, which overwrites the other change. */
function writeUnconditionally (store: KeyValueStore): KeyValueStore {
  return {
    ...store,
    async compareAndSwap (request) {
      const result = await store.compareAndSwap(request)
      if (result.isOk || result.error.kind !== KeyValueErrorKind.Conflict) return result
      return await store.compareAndSwap({ ...request, expectedRevision: result.error.current?.revision ?? 0 })
    }
  }
}

/** Reports a group as complete as soon as no member is missing, while routers may still hold evidence for the members' old group. Fast repair makes that overlap likely. */
const countedBeforeSettling: GroupParts = {
  createCache: createEvidenceCache,
  createCoordinator (given) {
    const settings = { ...given.settings, planIntervalMs: 200, probeIntervalMs: 200 }
    const coordinator = createGroupCoordinator({ ...given, settings, repairPolicy: new ImmediateRepair() })
    const createPollResponse = (groupIds?: readonly string[]) => coordinator.evidence.createPollResponse(groupIds).map(group => {
      const health = coordinator.evidence.getHealth(group.groupId)
      const isServing = health?.missingVmIds.length === 0 && health.leavingVmIds.length === 0
      return isServing ? { ...group, isComplete: true } : group
    })
    return { ...coordinator, evidence: { ...coordinator.evidence, createPollResponse } }
  }
}

/** Assumes for `assumptionMs` that a join command took effect and that the weights stay loaded, as long as the engine responds. */
function assumeCommandsApplied (control: EngineControl, timers: TimerService): EngineControl {
  const commandByAddress = new Map<string, EngineCommand>()
  const loadedCommands = new Set<EngineCommand>()
  let lastCommandAtMs = -Infinity
  return {
    async sendCommand (address, command, timeoutMs) {
      commandByAddress.set(address, command)
      lastCommandAtMs = timers.nowMs()
      return await control.sendCommand(address, command, timeoutMs)
    },
    async fetchState (address, timeoutMs) {
      const result = await control.fetchState(address, timeoutMs)
      const command = commandByAddress.get(address)
      if (!result.isOk || command?.kind !== EngineCommandKind.Join || timers.nowMs() - lastCommandAtMs > assumptionMs) return result
      const memberVmIds = command.members.map(member => member.vmId)
      if (result.value.isLoaded) loadedCommands.add(command)
      return success({ ...result.value, ...command, memberVmIds, isLoaded: loadedCommands.has(command) })
    }
  }
}

const unconditionalWrites = withOptions(given => ({ ...given, store: writeUnconditionally(given.store) }))
const assumedCommands = withOptions(given => ({ ...given, engineControl: assumeCommandsApplied(given.engineControl, given.timers) }))

interface BrokenVariant {
  readonly name: string
  readonly parts: GroupParts
  /** Part of the oracle's error message. */
  readonly violation: string
  readonly seed: number
}

describe('groups fuzz area', () => {
  describe('with the real parts', () => {
    it('checks routing to each group at every router', async () => {
      const oracle = createGroupsOracle()
      const world = createGroupsWorld(1, realGroupParts)
      await advanceAndCheck(oracle, world, 20_000)
      const { checkCount: checkCountBefore, routeCheckCount: routeCheckCountBefore } = { ...oracle.counts }
      await advanceAndCheck(oracle, world, 1000)
      // Two groups in each of the two deployments.
      const routeCountPerCheck = 4 * world.nodes.length
      expect(oracle.counts.routeCheckCount - routeCheckCountBefore).to.equal(routeCountPerCheck * (oracle.counts.checkCount - checkCountBefore))
    })

    it('finds no violation', async () => {
      const report = await runGroupsFuzz({ ...options, seed: 4, runCount: 8 })
      expect(report.message).to.equal(undefined)
    })
  })

  describe('with a broken part', () => {
    const mayGetRequest = 'may get a request'
    const variants: BrokenVariant[] = [
      { name: 'groups that count as complete unless refuted', parts: completeUnlessRefuted, violation: mayGetRequest, seed: 4 },
      { name: 'evidence whose age counts from its receipt', parts: agedFromReceipt, violation: mayGetRequest, seed: 4 },
      { name: 'routing without a check of the evidence age', parts: withoutAgeCheck, violation: mayGetRequest, seed: 4 },
      { name: 'a member that counts for its new group before it has settled', parts: countedBeforeSettling, violation: 'may get work for', seed: 5 },
      { name: 'records written without compare-and-swap', parts: unconditionalWrites, violation: 'went back to epoch', seed: 4 },
      { name: 'commands that are assumed to have taken effect', parts: assumedCommands, violation: mayGetRequest, seed: 4 }
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
