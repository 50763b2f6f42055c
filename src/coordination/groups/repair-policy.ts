import type { Partner } from '../../state/fleet-config.js'

export enum RepairDecision {
  /** Leave the assignment as it is. */
  Wait = 'wait',
  /** Put spares of the domain in the place of the missing members. */
  Replace = 'replace',
  /** Give up the group, so that its other members can mend another group. */
  Dissolve = 'dissolve'
}

/** A group that lacks members, as the policy sees it. */
export interface BrokenGroup {
  readonly missingCount: number
  readonly memberCount: number
  /** Time since the group lost its first member. */
  readonly missingForMs: number
  /** True when the platform no longer lists one of the missing members, or it leaves. */
  readonly isGoneForGood: boolean
  /** True when nothing listens on the missing members or they left, so that none of them can go on where it was. */
  readonly isProvenDown: boolean
  readonly acceleratorsPerVm: number
  /** Healthy VMs of the domain without a group. */
  readonly spareCount: number
  /** Groups of the domain that the group's healthy members could complete. */
  readonly mendableGroupCount: number
  readonly weights: Pick<Partner, 'groupDowntimeWeight' | 'strandedAcceleratorWeight'>
}

/** Decides what becomes of a group that lacks members. */
export interface RepairPolicy {
  decide (group: BrokenGroup): RepairDecision
}

/** Expected times that the weighted policy compares. */
export interface RepairTimes {
  /** Time that a member may be silent before anything is done. */
  readonly graceMs: number
  /** Time to load weights on a spare. */
  readonly loadMs: number
  /** Time after which a restarted VM is back. */
  readonly restartMs: number
  /** Time after which a failed VM is replaced. */
  readonly replacementMs: number
  /** Part of the outages that are restarts. */
  readonly restartPercent: number
}

export const defaultRepairTimes: RepairTimes = {
  graceMs: 3000,
  loadMs: 60_000,
  restartMs: 90_000,
  replacementMs: 1_800_000,
  restartPercent: 92
}

/** Chooses the way with the least expected cost under the partner's weights. */
export class CostBasedRepair implements RepairPolicy {
  constructor (private readonly times: RepairTimes = defaultRepairTimes) {}

  decide (group: BrokenGroup): RepairDecision {
    if (!group.isProvenDown && group.missingForMs < this.times.graceMs) return RepairDecision.Wait
    const returnMs = this.expectReturnMs(group)
    const survivorCount = group.memberCount - group.missingCount
    const waitCost = this.costOf(group, 1, returnMs + this.times.loadMs, survivorCount)
    if (group.spareCount >= group.missingCount) {
      const replaceCost = this.costOf(group, 1, this.times.loadMs, group.memberCount)
      return replaceCost < waitCost ? RepairDecision.Replace : RepairDecision.Wait
    }
    if (group.mendableGroupCount === 0) return RepairDecision.Wait
    const bothWaitCost = 2 * waitCost
    const dissolveCost = waitCost + this.costOf(group, 1, this.times.loadMs, group.memberCount)
    return dissolveCost < bothWaitCost ? RepairDecision.Dissolve : RepairDecision.Wait
  }

  private costOf (group: BrokenGroup, groupCount: number, durationMs: number, strandedVmCount: number): number {
    const { groupDowntimeWeight, strandedAcceleratorWeight } = group.weights
    const costPerMs = groupCount * groupDowntimeWeight + strandedVmCount * group.acceleratorsPerVm * strandedAcceleratorWeight
    return costPerMs * durationMs
  }

  private expectReturnMs (group: BrokenGroup): number {
    const { restartMs, replacementMs, restartPercent } = this.times
    const failureRemainderMs = Math.max(restartMs, replacementMs - group.missingForMs)
    if (group.isGoneForGood || group.missingForMs >= restartMs) return failureRemainderMs
    const restartRemainderMs = restartMs - group.missingForMs
    return (restartPercent * restartRemainderMs + (100 - restartPercent) * failureRemainderMs) / 100
  }
}

/** Baseline: replaces a member as soon as it is missing, or gives the group up. */
export class ImmediateRepair implements RepairPolicy {
  decide (group: BrokenGroup): RepairDecision {
    return group.spareCount >= group.missingCount ? RepairDecision.Replace : RepairDecision.Dissolve
  }
}

/** Baseline: never changes a group whose members may return. */
export class WaitForRecovery implements RepairPolicy {
  decide (group: BrokenGroup): RepairDecision {
    if (!group.isGoneForGood) return RepairDecision.Wait
    return group.spareCount >= group.missingCount ? RepairDecision.Replace : RepairDecision.Wait
  }
}
