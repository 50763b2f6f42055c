import type { ListedDomain } from '../coordination/groups/domain-ownership.js'
import type { DomainQuota } from '../coordination/groups/domain-quota.js'
import type { EngineObservation } from '../coordination/groups/engine-probes.js'
import { defaultGroupSettings } from '../coordination/groups/group-settings.js'
import { assessGroup, createConditionDurations, type GroupCondition } from '../coordination/groups/group-condition.js'
import { isAssignedTo, type MemberContext } from '../coordination/groups/member-condition.js'
import { findDueJoinCommands } from '../coordination/groups/command-sender.js'
import { planDomain } from '../coordination/groups/domain-plan.js'
import type { RepairPolicy } from '../coordination/groups/repair-policy.js'
import type { EngineCommand, EngineState } from '../coordination/ports/engine-control.js'
import type { ListedVm } from '../coordination/ports/vm-list.js'
import { createDomainRecord } from '../state/domain-record.js'
import type { FleetConfig } from '../state/fleet-config.js'

/** Time to load weights on a VM, and to re-form at the same rank with the weights that are there. */
export const loadMs = 60_000
const rejoinMs = 2000
/** Time after which the platform's list drops a failed VM. */
const listLagMs = 60_000
const maxGapMs = 3000

export enum OutageKind {
  /** The VM stands still and goes on with all it holds. */
  Pause = 'pause',
  /** The VM comes back empty. */
  Restart = 'restart',
  /** The platform drops the VM from its list until an empty one takes its place. */
  Failure = 'failure'
}

export interface Outage {
  readonly kind: OutageKind
  readonly vmId: string
  readonly fromMs: number
  readonly untilMs: number
}

interface VmRun {
  readonly vm: ListedVm
  outage?: Outage
  state: EngineState
  loadedAtMs: number
  loadCount: number
}

/** One domain of the benchmark: the production planner over VMs that fail and return. */
export interface DomainRun {
  begin (outage: Outage): void
  end (outage: Outage): void
  /** Plans and orders until nothing changes at this moment; true when the domain is at rest until the next outage. */
  step (nowMs: number): boolean
  countCompleteGroups (): number
  countLoads (): number
}

/** Creates a run in which all VMs are up and hold no weights. */
export function createDomainRun (domain: ListedDomain, quota: DomainQuota, config: FleetConfig, policy: RepairPolicy): DomainRun {
  const holdTimes = createConditionDurations(maxGapMs)
  const runs = new Map(domain.vms.map(vm => [vm.vmId, createVmRun(vm)]))
  let record = createDomainRecord(domain.fabricDomain, domain.availabilityZone)

  function createContext (nowMs: number): MemberContext {
    return {
      nowMs,
      maxAgeMs: defaultGroupSettings.evidenceMaxAgeMs,
      drainingVmIds: new Set(),
      getListedVm: vmId => {
        const run = runs.get(vmId)
        return run === undefined || isDropped(run, nowMs) ? undefined : run.vm
      },
      getObservation: vmId => observe(runs.get(vmId), nowMs)
    }
  }

  function planOnce (nowMs: number, context: MemberContext): boolean {
    const situations = record.groups.map(group => assessGroup(group, context, holdTimes))
    const next = planDomain({
      record,
      groupConditions: situations,
      placeableVms: [...runs.values()].filter(run => run.outage === undefined).map(run => run.vm),
      quota,
      config,
      settings: defaultGroupSettings,
      policy,
      surplusMsByDeployment: new Map(),
      wallClockMs: nowMs,
      changeToken: ''
    })
    if (next !== undefined) {
      record = next
      return true
    }
    return giveOrders(situations, nowMs)
  }

  function giveOrders (situations: readonly GroupCondition[], nowMs: number): boolean {
    const orders = findDueJoinCommands(record, situations, config, defaultGroupSettings.maxLoadingGroupCount)
    for (const due of orders) {
      const run = runs.get(due.vmId)
      if (run !== undefined) join(run, due.command, nowMs)
    }
    return orders.length > 0
  }

  function finishLoads (nowMs: number): void {
    for (const run of runs.values()) {
      if (run.outage === undefined && run.state.groupId !== undefined && nowMs >= run.loadedAtMs) {
        run.state = { ...run.state, isLoaded: true }
      }
    }
  }

  function countCompleteGroups (): number {
    return record.groups.filter(group => group.members.every(member => {
      const run = runs.get(member.vmId)
      return run?.outage === undefined && run?.state.isLoaded === true && isAssignedTo(run.state, group)
    })).length
  }

  return {
    begin (outage) {
      const run = runs.get(outage.vmId)
      if (run === undefined || run.outage !== undefined) return
      run.outage = outage
      if (outage.kind !== OutageKind.Pause) run.state = createEmptyState(outage.vmId)
    },
    end (outage) {
      const run = runs.get(outage.vmId)
      if (run?.outage === outage) delete run.outage
    },
    step (nowMs) {
      finishLoads(nowMs)
      const context = createContext(nowMs)
      const maxTurns = 8
      for (let turn = 0; turn < maxTurns && planOnce(nowMs, context); turn += 1);
      return record.groups.length === countCompleteGroups()
    },
    countCompleteGroups,
    countLoads: () => [...runs.values()].reduce((sum, run) => sum + run.loadCount, 0)
  }
}

function createEmptyState (vmId: string): EngineState {
  return {
    vmId,
    epoch: 0,
    memberVmIds: [],
    isLoaded: false,
    isLeaving: false,
    activeStreamCount: 0,
    queuedStreamCount: 0,
    tokenIntervalMs: 20
  }
}

function createVmRun (vm: ListedVm): VmRun {
  return { vm, state: createEmptyState(vm.vmId), loadedAtMs: Infinity, loadCount: 0 }
}

function isDropped (run: VmRun, nowMs: number): boolean {
  return run.outage?.kind === OutageKind.Failure && nowMs - run.outage.fromMs >= listLagMs
}

function observe (run: VmRun | undefined, nowMs: number): EngineObservation | undefined {
  if (run === undefined) return undefined
  if (run.outage === undefined) return { state: run.state, sentAtMs: nowMs, assignmentSeenAtMs: 0, isUnreachable: false }
  const { kind, fromMs } = run.outage
  return { state: run.state, sentAtMs: fromMs, assignmentSeenAtMs: 0, failingSinceMs: fromMs, isUnreachable: kind !== OutageKind.Pause }
}

function join (run: VmRun, order: EngineCommand, nowMs: number): void {
  const { vmId } = run.vm
  const memberVmIds = order.members.map(member => member.vmId)
  const hasWeights = run.state.isLoaded && run.state.memberVmIds.indexOf(vmId) === memberVmIds.indexOf(vmId) &&
    run.state.modelVersion === order.modelVersion && run.state.deployment === order.deployment
  if (!hasWeights) run.loadCount += 1
  run.loadedAtMs = nowMs + (hasWeights ? rejoinMs : loadMs)
  run.state = {
    ...run.state,
    groupId: order.groupId,
    epoch: order.epoch,
    deployment: order.deployment,
    modelVersion: order.modelVersion,
    memberVmIds,
    isLoaded: false
  }
}
