import { ImmediateRepair, WaitForRecovery, CostBasedRepair } from '../coordination/groups/repair-policy.js'
import { computeSpareCount } from '../coordination/groups/spare-count.js'
import type { Partner } from '../state/fleet-config.js'
import type { Benchmark, BenchmarkContext } from './benchmark.js'
import { acceleratorsPerVm, createBenchConfig, createBenchDeployment, createBenchDomain, partners } from './groups-bench-fleet.js'
import { printDarkDomain, type NamedPolicy } from './groups-dark-domain.js'
import { runFleet, type FleetCost } from './groups-fleet-run.js'
import { printQuotaMoves } from './groups-quota-moves.js'

const dayCount = 30
const hourMs = 3_600_000
const spareCounts = [0, 1, 2]
/** Partner whose weights the weighted policy gets. */
const spareWeightPartner = 'kandy'

interface FleetLayout {
  readonly name: string
  readonly vmCounts: readonly number[]
}

/** 65 servers each: one layout without VMs left over, one with some in each domain. */
const layouts: readonly FleetLayout[] = [
  { name: 'four domains of 16 or 17', vmCounts: [17, 16, 16, 16] },
  { name: 'six domains of 10 or 11', vmCounts: [11, 11, 11, 11, 11, 10] }
]

const policies: readonly NamedPolicy[] = [
  { name: 'weighted', policy: new CostBasedRepair() },
  { name: 'rebuild at once', policy: new ImmediateRepair() },
  { name: 'wait for return', policy: new WaitForRecovery() }
]

/** Prints what each policy and each number of spares costs each partner. */
export const runGroupsBenchmark: Benchmark = async context => {
  printQuotaMoves(context)
  printDarkDomain(context, policies)
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
      const deployment = createBenchDeployment(spareWeightPartner, membersPerGroup)
      const config = createBenchConfig(deployment)
      const cost = runFleet({ domains, config, deployment, policy, spareRule: () => spareCount, dayCount, pausesPerVmDay, seed: context.seed })
      if (policy instanceof CostBasedRepair) costs.set(spareCount, cost)
      context.print(formatCost(name, spareCount, cost))
    }
  }
  printBreakEven(context, costs, layout, membersPerGroup)
}

/** Prints from which ratio of the two weights one spare a domain pays: as measured, and as the production rule finds. */
function printBreakEven (context: BenchmarkContext, costs: ReadonlyMap<number, FleetCost>, layout: FleetLayout, membersPerGroup: number): void {
  const without = costs.get(0)
  const withOne = costs.get(1)
  if (without === undefined || withOne === undefined || without.downtimeMs <= withOne.downtimeMs) return
  const measured = (withOne.strandedAcceleratorMs - without.strandedAcceleratorMs) / (without.downtimeMs - withOne.downtimeMs)
  const vmCount = Math.min(...layout.vmCounts)
  const ruled = findSpareRatio(vmCount, membersPerGroup)
  context.print(`holding one spare pays from a weight ratio of ${measured.toFixed(0)} as measured, ${ruled} by the rule for ${vmCount} VMs`)
}

function findSpareRatio (vmCount: number, membersPerGroup: number): number {
  const deployment = createBenchDeployment(spareWeightPartner, membersPerGroup)
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

/** Weighted cost a second. */
function computeCostRate (cost: FleetCost, partner: Partner): number {
  const weighted = partner.groupDowntimeWeight * cost.downtimeMs + partner.strandedAcceleratorWeight * cost.strandedAcceleratorMs
  return weighted / (dayCount * 24 * hourMs)
}
