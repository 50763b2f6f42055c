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

/** Time to load weights on a VM. */
export const loadMs = 60_000
/** Time to rejoin a group at the same rank, with the weights already loaded. */
const rejoinMs = 2000
/** Time from the failure of a VM until the platform removes it from its list. */
const listDelayMs = 60_000
/** A condition that is assessed again after a longer gap counts as new. */
const maxConditionGapMs = 3000

/** Kinds of VM outage. */
export enum OutageKind {
  /** The VM stops and later continues with its state and weights. */
  Pause = 'pause',
  /** The VM restarts without state and weights. */
  Restart = 'restart',
  /** The VM is unreachable; the platform removes it from its list after `listDelayMs`. An empty VM replaces it at the end. */
  Failure = 'failure'
}

/** One outage of one VM. */
export interface Outage {
  readonly kind: OutageKind
  readonly vmId: string
  readonly fromMs: number
  readonly untilMs: number
}

interface SimulatedVm {
  readonly vm: ListedVm
  outage?: Outage
  state: EngineState
  loadedAtMs: number
  loadCount: number
}

/** Simulation of one domain: the production planner with simulated VMs that fail and return. */
export interface DomainRun {
  /** Starts the outage, unless another outage of the VM is in progress. */
  beginOutage (outage: Outage): void
  /** Ends the outage, if it was started. */
  endOutage (outage: Outage): void
  /**
   * Plans and sends commands until neither changes anything at this time, at most `maxPassCount` times. Returns whether every
   * group of the record is complete.
   */
  step (nowMs: number): boolean
  countCompleteGroups (): number
  /** Returns how often weights were loaded since the start, summed over the VMs. */
  countLoads (): number
}

/** Creates a simulation in which all VMs are up and have no weights loaded. */
export function createDomainRun (domain: ListedDomain, quota: DomainQuota, config: FleetConfig, policy: RepairPolicy): DomainRun {
  const conditionDurations = createConditionDurations(maxConditionGapMs)
  const simulatedVms = new Map(domain.vms.map(vm => [vm.vmId, createSimulatedVm(vm)]))
  let record = createDomainRecord(domain.fabricDomain, domain.availabilityZone)

  function createContext (nowMs: number): MemberContext {
    return {
      nowMs,
      maxAgeMs: defaultGroupSettings.evidenceMaxAgeMs,
      drainingVmIds: new Set(),
      getListedVm: vmId => {
        const simulated = simulatedVms.get(vmId)
        return simulated === undefined || isRemovedFromList(simulated, nowMs) ? undefined : simulated.vm
      },
      getObservation: vmId => observe(simulatedVms.get(vmId), nowMs)
    }
  }

  /** Applies the next plan, or sends the due commands if there is none. Returns whether it did either. */
  function planOrSendCommands (nowMs: number, context: MemberContext): boolean {
    const groupConditions = record.groups.map(group => assessGroup(group, context, conditionDurations))
    const next = planDomain({
      record,
      groupConditions,
      placeableVms: [...simulatedVms.values()].filter(simulated => simulated.outage === undefined).map(simulated => simulated.vm),
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
    return sendCommands(groupConditions, nowMs)
  }

  function sendCommands (groupConditions: readonly GroupCondition[], nowMs: number): boolean {
    const commands = findDueJoinCommands(record, groupConditions, config, defaultGroupSettings.maxLoadingGroupCount)
    for (const due of commands) {
      const simulated = simulatedVms.get(due.vmId)
      if (simulated !== undefined) applyJoinCommand(simulated, due.command, nowMs)
    }
    return commands.length > 0
  }

  function finishLoads (nowMs: number): void {
    for (const simulated of simulatedVms.values()) {
      if (simulated.outage === undefined && simulated.state.groupId !== undefined && nowMs >= simulated.loadedAtMs) {
        simulated.state = { ...simulated.state, isLoaded: true }
      }
    }
  }

  function countCompleteGroups (): number {
    return record.groups.filter(group => group.members.every(member => {
      const simulated = simulatedVms.get(member.vmId)
      return simulated?.outage === undefined && simulated?.state.isLoaded === true && isAssignedTo(simulated.state, group)
    })).length
  }

  return {
    beginOutage (outage) {
      const simulated = simulatedVms.get(outage.vmId)
      if (simulated === undefined || simulated.outage !== undefined) return
      simulated.outage = outage
      if (outage.kind !== OutageKind.Pause) simulated.state = createEmptyState(outage.vmId)
    },
    endOutage (outage) {
      const simulated = simulatedVms.get(outage.vmId)
      if (simulated?.outage === outage) delete simulated.outage
    },
    step (nowMs) {
      finishLoads(nowMs)
      const context = createContext(nowMs)
      // Ends a planner that does not settle.
      const maxPassCount = 8
      for (let pass = 0; pass < maxPassCount && planOrSendCommands(nowMs, context); pass += 1);
      return record.groups.length === countCompleteGroups()
    },
    countCompleteGroups,
    countLoads: () => [...simulatedVms.values()].reduce((sum, simulated) => sum + simulated.loadCount, 0)
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

function createSimulatedVm (vm: ListedVm): SimulatedVm {
  return { vm, state: createEmptyState(vm.vmId), loadedAtMs: Infinity, loadCount: 0 }
}

function isRemovedFromList (simulated: SimulatedVm, nowMs: number): boolean {
  return simulated.outage?.kind === OutageKind.Failure && nowMs - simulated.outage.fromMs >= listDelayMs
}

function observe (simulated: SimulatedVm | undefined, nowMs: number): EngineObservation | undefined {
  if (simulated === undefined) return undefined
  if (simulated.outage === undefined) return { state: simulated.state, sentAtMs: nowMs, assignmentSeenAtMs: 0, isUnreachable: false }
  const { kind, fromMs } = simulated.outage
  return { state: simulated.state, sentAtMs: fromMs, assignmentSeenAtMs: 0, failingSinceMs: fromMs, isUnreachable: kind !== OutageKind.Pause }
}

/** Starts loading weights, or rejoining if the VM keeps its rank and weights. */
function applyJoinCommand (simulated: SimulatedVm, command: EngineCommand, nowMs: number): void {
  const { vmId } = simulated.vm
  const memberVmIds = command.members.map(member => member.vmId)
  const hasWeights = simulated.state.isLoaded && simulated.state.memberVmIds.indexOf(vmId) === memberVmIds.indexOf(vmId) &&
    simulated.state.modelVersion === command.modelVersion && simulated.state.deployment === command.deployment
  if (!hasWeights) simulated.loadCount += 1
  simulated.loadedAtMs = nowMs + (hasWeights ? rejoinMs : loadMs)
  simulated.state = {
    ...simulated.state,
    groupId: command.groupId,
    epoch: command.epoch,
    deployment: command.deployment,
    modelVersion: command.modelVersion,
    memberVmIds,
    isLoaded: false
  }
}
