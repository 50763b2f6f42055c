import type { Deployment, Partner } from '../../state/fleet-config.js'

const millisecondsPerDay = 86_400_000

/** Frequency and duration of VM outages in a fleet. */
export interface OutageModel {
  /** Failures and restarts of one VM per day. */
  readonly outagesPerVmDay: number
  /** Mean time until a missing VM is available again. */
  readonly meanOutageMs: number
}

/** Based on 160 failures of 30 minutes and 2,000 restarts of 90 seconds per day in a fleet of 6,200 VMs. */
export const defaultOutageModel: OutageModel = {
  outagesPerVmDay: 2160 / 6200,
  meanOutageMs: (160 * 1_800_000 + 2000 * 90_000) / 2160
}

export interface SpareInput {
  readonly vmCount: number
  readonly acceleratorsPerVm: number
  readonly deployment: Deployment
  readonly partner: Pick<Partner, 'groupDowntimeWeight' | 'strandedAcceleratorWeight'>
}

/**
 * Returns the number of VMs that a domain reserves as spares for a deployment: the one with the lowest
 * expected weighted cost of group downtime and stranded accelerators. The number of missing VMs is
 * assumed to be Poisson distributed.
 */
export function computeSpareCount (input: SpareInput, model: OutageModel = defaultOutageModel): number {
  const { vmCount, deployment } = input
  const maxSpareCount = Math.min(vmCount, deployment.membersPerGroup)
  let best = 0
  let bestCost = Infinity
  for (let spareCount = 0; spareCount <= maxSpareCount; spareCount += 1) {
    const cost = estimateCost(input, model, spareCount)
    if (cost < bestCost) {
      best = spareCount
      bestCost = cost
    }
  }
  return best
}

/** Returns the expected cost per second of reserving `spareCount` VMs. */
function estimateCost (input: SpareInput, model: OutageModel, spareCount: number): number {
  const { vmCount, acceleratorsPerVm, partner } = input
  const { membersPerGroup } = input.deployment
  const groupCount = Math.floor((vmCount - spareCount) / membersPerGroup)
  const ungroupedCount = vmCount - groupCount * membersPerGroup
  const meanMissingCount = vmCount * model.outagesPerVmDay * model.meanOutageMs / millisecondsPerDay
  // Each missing VM that no ungrouped VM replaces breaks one group.
  const brokenCount = Math.min(groupCount, computeExpectedExcess(meanMissingCount, ungroupedCount))
  const costOfBrokenGroup = partner.groupDowntimeWeight +
    partner.strandedAcceleratorWeight * (membersPerGroup - 1) * acceleratorsPerVm
  return ungroupedCount * acceleratorsPerVm * partner.strandedAcceleratorWeight + brokenCount * costOfBrokenGroup
}

/** Returns the mean of max(0, X - threshold) for a Poisson distributed X. */
function computeExpectedExcess (mean: number, threshold: number): number {
  let probability = Math.exp(-mean)
  let belowSum = 0
  for (let count = 0; count < threshold; count += 1) {
    belowSum += (threshold - count) * probability
    probability *= mean / (count + 1)
  }
  return Math.max(0, mean - threshold + belowSum)
}
