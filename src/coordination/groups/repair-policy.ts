import type { Partner } from '../../state/fleet-config.js'

export enum RepairDecision {
  /** Leave the assignment as it is. */
  Wait = 'wait',
  /** Replace the missing members with spares of the domain. */
  Replace = 'replace',
  /** Remove the group, so its healthy members can repair another group. */
  Dissolve = 'dissolve'
}

/** A group with missing members, as input to the policy. */
export interface BrokenGroup {
  readonly missingCount: number
  readonly memberCount: number
  /** Time since the group lost its first member. */
  readonly missingForMs: number
  /** True when a missing member is leaving or no longer listed as live. */
  readonly isPermanentlyGone: boolean
  /** True when every missing member is leaving or unreachable at its address, so none of them can resume where it was. */
  readonly isConfirmedDown: boolean
  readonly acceleratorsPerVm: number
  /** Healthy VMs of the domain without a group. */
  readonly spareCount: number
  /** Other broken groups of the domain that this group's healthy members could repair. */
  readonly repairableGroupCount: number
  readonly weights: Pick<Partner, 'groupDowntimeWeight' | 'strandedAcceleratorWeight'>
}

/** Decides how to handle a group with missing members. */
export interface RepairPolicy {
  decide (group: BrokenGroup): RepairDecision
}

/** Expected durations that the cost-based policy compares. */
export interface RepairTimes {
  /** Time without reports from a member before the policy acts, unless the member is confirmed down. */
  readonly graceMs: number
  /** Time to load weights on a spare. */
  readonly loadMs: number
  /** Time until a restarted VM is available again. */
  readonly restartMs: number
  /** Time until a failed VM has been replaced. */
  readonly replacementMs: number
  /** Share of outages that are restarts; the rest are failures. */
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
    if (!group.isConfirmedDown && group.missingForMs < this.times.graceMs) return RepairDecision.Wait
    const recoveryMs = this.estimateRecoveryMs(group)
    const survivorCount = group.memberCount - group.missingCount
    const waitCost = this.costOf(group, 1, recoveryMs + this.times.loadMs, survivorCount)
    if (group.spareCount >= group.missingCount) {
      const replaceCost = this.costOf(group, 1, this.times.loadMs, group.memberCount)
      return replaceCost < waitCost ? RepairDecision.Replace : RepairDecision.Wait
    }
    if (group.repairableGroupCount === 0) return RepairDecision.Wait
    const bothWaitCost = 2 * waitCost
    const dissolveCost = waitCost + this.costOf(group, 1, this.times.loadMs, group.memberCount)
    return dissolveCost < bothWaitCost ? RepairDecision.Dissolve : RepairDecision.Wait
  }

  private costOf (group: BrokenGroup, groupCount: number, durationMs: number, strandedVmCount: number): number {
    const { groupDowntimeWeight, strandedAcceleratorWeight } = group.weights
    const costPerMs = groupCount * groupDowntimeWeight + strandedVmCount * group.acceleratorsPerVm * strandedAcceleratorWeight
    return costPerMs * durationMs
  }

  private estimateRecoveryMs (group: BrokenGroup): number {
    const { restartMs, replacementMs, restartPercent } = this.times
    const remainingReplacementMs = Math.max(restartMs, replacementMs - group.missingForMs)
    if (group.isPermanentlyGone || group.missingForMs >= restartMs) return remainingReplacementMs
    const remainingRestartMs = restartMs - group.missingForMs
    return (restartPercent * remainingRestartMs + (100 - restartPercent) * remainingReplacementMs) / 100
  }
}

/** Baseline: replaces members as soon as they are missing, or dissolves the group if there are too few spares. */
export class ImmediateRepair implements RepairPolicy {
  decide (group: BrokenGroup): RepairDecision {
    return group.spareCount >= group.missingCount ? RepairDecision.Replace : RepairDecision.Dissolve
  }
}

/** Baseline: never changes a group if its missing members may return. */
export class WaitForRecovery implements RepairPolicy {
  decide (group: BrokenGroup): RepairDecision {
    if (!group.isPermanentlyGone) return RepairDecision.Wait
    return group.spareCount >= group.missingCount ? RepairDecision.Replace : RepairDecision.Wait
  }
}
