import type { Partner } from '../../state/fleet-config.js'

export enum RepairDecision {
  /** Leave the assignment as it is. */
  Wait = 'wait',
  /** Replace the lost and leaving members with free VMs of the domain. */
  Replace = 'replace',
  /** Remove the group, so its healthy members can repair another group. */
  Dissolve = 'dissolve'
}

/** A group with lost or leaving members that may be replaced now, as input to the policy. */
export interface BrokenGroup {
  /** Number of members to replace: lost ones, and leaving ones that may be replaced now. */
  readonly toReplaceCount: number
  readonly memberCount: number
  /** How long the group has had lost or leaving members without interruption. */
  readonly brokenForMs: number
  /** True when a member to replace is leaving (shutting down, drained or not listed as live), so it is not expected back. */
  readonly isPermanentlyGone: boolean
  /** True when every member to replace is leaving or unreachable at its address, so none can go on serving under its assignment. */
  readonly isConfirmedDown: boolean
  readonly acceleratorsPerVm: number
  /** Healthy VMs of the domain without a group. */
  readonly freeVmCount: number
  /** Other broken groups of the domain that this group's healthy members could repair. */
  readonly repairableGroupCount: number
  readonly weights: Pick<Partner, 'groupDowntimeWeight' | 'strandedAcceleratorWeight'>
}

/** Decides how to handle a group with lost or leaving members. */
export interface RepairPolicy {
  decide (group: BrokenGroup): RepairDecision
}

/** Expected durations that the cost-based policy compares. */
export interface RepairTimes {
  /** Time without reports from a member before the policy acts, unless the member is confirmed down. */
  readonly graceMs: number
  /** Time to load weights on a free VM. */
  readonly loadMs: number
  /** Time until a restarted VM is available again. */
  readonly restartMs: number
  /** Time until a failed VM has been replaced. */
  readonly replacementMs: number
  /** Percentage of outages that are restarts; the rest are failures. */
  readonly restartPercent: number
}

export const defaultRepairTimes: RepairTimes = {
  graceMs: 3000,
  loadMs: 60_000,
  restartMs: 90_000,
  replacementMs: 1_800_000,
  restartPercent: 92
}

/** Chooses the decision with the lowest expected cost under the partner's weights. */
export class CostBasedRepair implements RepairPolicy {
  constructor (private readonly times: RepairTimes = defaultRepairTimes) {}

  decide (group: BrokenGroup): RepairDecision {
    if (!group.isConfirmedDown && group.brokenForMs < this.times.graceMs) return RepairDecision.Wait
    const recoveryMs = this.estimateRecoveryMs(group)
    const survivorCount = group.memberCount - group.toReplaceCount
    const waitCost = this.costOf(group, 1, recoveryMs + this.times.loadMs, survivorCount)
    if (group.freeVmCount >= group.toReplaceCount) {
      const replaceCost = this.costOf(group, 1, this.times.loadMs, group.memberCount)
      return replaceCost < waitCost ? RepairDecision.Replace : RepairDecision.Wait
    }
    if (group.repairableGroupCount === 0) return RepairDecision.Wait
    const bothWaitCost = 2 * waitCost
    // This group still waits, but the other one is repaired and only loads weights.
    const dissolveCost = waitCost + this.costOf(group, 1, this.times.loadMs, group.memberCount)
    return dissolveCost < bothWaitCost ? RepairDecision.Dissolve : RepairDecision.Wait
  }

  /** Costs are only compared with each other, so their unit does not matter. */
  private costOf (group: BrokenGroup, groupCount: number, durationMs: number, strandedVmCount: number): number {
    const { groupDowntimeWeight, strandedAcceleratorWeight } = group.weights
    const weightSum = groupCount * groupDowntimeWeight + strandedVmCount * group.acceleratorsPerVm * strandedAcceleratorWeight
    return weightSum * durationMs
  }

  private estimateRecoveryMs (group: BrokenGroup): number {
    const { restartMs, replacementMs, restartPercent } = this.times
    const remainingReplacementMs = Math.max(restartMs, replacementMs - group.brokenForMs)
    if (group.isPermanentlyGone || group.brokenForMs >= restartMs) return remainingReplacementMs
    const remainingRestartMs = restartMs - group.brokenForMs
    return (restartPercent * remainingRestartMs + (100 - restartPercent) * remainingReplacementMs) / 100
  }
}

/** Baseline for the benchmarks: replaces members immediately, or dissolves the group if there are too few free VMs. */
export class ImmediateRepair implements RepairPolicy {
  decide (group: BrokenGroup): RepairDecision {
    return group.freeVmCount >= group.toReplaceCount ? RepairDecision.Replace : RepairDecision.Dissolve
  }
}

/** Baseline for the benchmarks: replaces members only if one of them will not return and there are enough free VMs. */
export class WaitForRecovery implements RepairPolicy {
  decide (group: BrokenGroup): RepairDecision {
    if (!group.isPermanentlyGone) return RepairDecision.Wait
    return group.freeVmCount >= group.toReplaceCount ? RepairDecision.Replace : RepairDecision.Wait
  }
}
