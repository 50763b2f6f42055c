import { ImmediateRepair, WaitForRecovery, CostBasedRepair } from '../coordination/groups/repair-policy.js'
import { computeSpareCount } from '../coordination/groups/spare-count.js'
import type { Partner } from '../state/fleet-config.js'
import type { Benchmark, BenchmarkContext } from './benchmark.js'
import { acceleratorsPerVm, createBenchConfig, createBenchDeployment, createBenchDomain, partners } from './groups-bench-fleet.js'
import { printDomainOutage, type NamedPolicy } from './groups-domain-outage.js'
import { runFleet, type FleetCost } from './groups-fleet-run.js'
import { printQuotaMoves } from './groups-quota-moves.js'

const dayCount = 30
const hourMs = 3_600_000
const spareCounts = [0, 1, 2]
/** Partner that owns the deployment; `CostBasedRepair` uses its weights. */
const deploymentPartner = 'kandy'

interface FleetLayout {
  readonly name: string
  readonly vmCounts: readonly number[]
}

/** 65 VMs each: the first layout leaves at most one VM a domain outside the groups, the second leaves two or three. */
const layouts: readonly FleetLayout[] = [
  { name: 'four domains of 16 or 17', vmCounts: [17, 16, 16, 16] },
  { name: 'six domains of 10 or 11', vmCounts: [11, 11, 11, 11, 11, 10] }
]

const policies: readonly NamedPolicy[] = [
  { name: 'weighted', policy: new CostBasedRepair() },
  { name: 'rebuild at once', policy: new ImmediateRepair() },
  { name: 'wait for return', policy: new WaitForRecovery() }
]

/**
 * Prints how many groups move when VMs leave the list, how long a domain takes to recover from an outage, and the weighted
 * cost of each repair policy and number of spares for each partner.
 */
export const runGroupsBenchmark: Benchmark = async context => {
  printQuotaMoves(context)
  printDomainOutage(context, policies)
  for (const pausesPerVmDay of [0, 1]) {
    for (const membersPerGroup of [4, 8]) {
      for (const layout of layouts) printFleet(context, layout, membersPerGroup, pausesPerVmDay)
    }
  }
}

function printFleet (context: BenchmarkContext, layout: FleetLayout, membersPerGroup: number, pausesPerVmDay: number): void {
  const domains = layout.vmCounts.map((vmCount, index) => createBenchDomain(`domain-${index}`, `zone-${index % 3}`, vmCount, acceleratorsPerVm))
  context.print(`${layout.name}, groups of ${membersPerGroup}, ${dayCount} days, ${pausesPerVmDay} pauses of a VM a day`)
  context.print(`policy           spares  groups  idle VMs  outages  downtime h  stranded accel h  loads  ${partners.map(partner => `${partner.name} cost/s`).join('  ')}`)
  const costs = new Map<number, FleetCost>()
  for (const { name, policy } of policies) {
    for (const spareCount of spareCounts) {
      const deployment = createBenchDeployment(deploymentPartner, membersPerGroup)
      const config = createBenchConfig(deployment)
      const cost = runFleet({ domains, config, deployment, policy, sparePolicy: () => spareCount, dayCount, pausesPerVmDay, seed: context.seed })
      if (policy instanceof CostBasedRepair) costs.set(spareCount, cost)
      context.print(formatCost(name, spareCount, cost))
    }
  }
  printBreakEven(context, costs, layout, membersPerGroup)
}

/**
 * Prints the ratio of downtime weight to stranded accelerator weight above which one spare per domain lowers the cost:
 * as measured in this run, and as `computeSpareCount` predicts it.
 */
function printBreakEven (context: BenchmarkContext, costs: ReadonlyMap<number, FleetCost>, layout: FleetLayout, membersPerGroup: number): void {
  const withoutSpares = costs.get(0)
  const withOneSpare = costs.get(1)
  if (withoutSpares === undefined || withOneSpare === undefined || withoutSpares.downtimeMs <= withOneSpare.downtimeMs) return
  const measuredRatio = (withOneSpare.strandedAcceleratorMs - withoutSpares.strandedAcceleratorMs) / (withoutSpares.downtimeMs - withOneSpare.downtimeMs)
  const vmCount = Math.min(...layout.vmCounts)
  const predictedRatio = findMinSpareRatio(vmCount, membersPerGroup)
  context.print(`holding one spare pays from a weight ratio of ${measuredRatio.toFixed(0)} as measured, ${predictedRatio} by the rule for ${vmCount} VMs`)
}

/** Returns the lowest ratio, in steps of about 5%, at which `computeSpareCount` reserves a spare. */
function findMinSpareRatio (vmCount: number, membersPerGroup: number): number {
  const deployment = createBenchDeployment(deploymentPartner, membersPerGroup)
  const maxRatio = 1_000_000
  for (let ratio = 1; ratio < maxRatio; ratio = Math.ceil(ratio * 1.05)) {
    const partner = { groupDowntimeWeight: ratio, strandedAcceleratorWeight: 1 }
    if (computeSpareCount({ vmCount, acceleratorsPerVm, deployment, partner }) > 0) return ratio
  }
  return maxRatio
}

function formatCost (name: string, spareCount: number, cost: FleetCost): string {
  const cells = [
    name.padEnd(16),
    String(spareCount).padStart(6),
    String(cost.plannedGroupCount).padStart(7),
    String(cost.idleVmCount).padStart(9),
    String(cost.outageCount).padStart(8),
    (cost.downtimeMs / hourMs).toFixed(2).padStart(11),
    (cost.strandedAcceleratorMs / hourMs).toFixed(0).padStart(17),
    String(cost.loadCount).padStart(6),
    ...partners.map(partner => computeCostRate(cost, partner).toFixed(2).padStart(13))
  ]
  return cells.join(' ')
}

/** Returns the mean weighted cost per second. */
function computeCostRate (cost: FleetCost, partner: Partner): number {
  const weighted = partner.groupDowntimeWeight * cost.downtimeMs + partner.strandedAcceleratorWeight * cost.strandedAcceleratorMs
  return weighted / (dayCount * 24 * hourMs)
}
