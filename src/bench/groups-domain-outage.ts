import { computeQuotas } from '../coordination/groups/domain-quota.js'
import type { RepairPolicy } from '../coordination/groups/repair-policy.js'
import type { BenchmarkContext } from './benchmark.js'
import { createBenchConfig, createBenchDeployment, createBenchFleet } from './groups-bench-fleet.js'
import { createDomainRun, OutageKind, type DomainRun } from './groups-domain-run.js'

/** Simulation step of one second; printed times are counted in steps. */
const stepMs = 1000
/** All VMs of the domain fail together for this long. */
const outageMs = 600_000
/** The domain has formed its groups by this time, at which the outage begins. */
const outageAtMs = 3_600_000
const maxRecoveryMs = 7_200_000
const vmCount = 32
const membersPerGroup = 8

/** A repair policy with the name under which its results are printed. */
export interface NamedPolicy {
  readonly name: string
  readonly policy: RepairPolicy
}

/**
 * Prints how long a domain takes until all its groups serve again after an outage of all its VMs for ten minutes, and
 * how many loads of weights that takes.
 */
export function printDomainOutage (context: BenchmarkContext, policies: readonly NamedPolicy[]): void {
  context.print(`one domain of ${vmCount} VMs, groups of ${membersPerGroup}, dark for ${outageMs / stepMs} s`)
  context.print('policy           VMs come back  recovery s  loads')
  for (const { name, policy } of policies) {
    for (const kind of [OutageKind.Pause, OutageKind.Restart]) {
      const run = createFormedRun(policy)
      const loadCountBefore = run.countLoads()
      const recoveryMs = measureRecovery(run, kind)
      const loads = String(run.countLoads() - loadCountBefore).padStart(5)
      const state = kind === OutageKind.Pause ? 'as they were' : 'empty'
      context.print(`${name.padEnd(16)} ${state.padStart(13)} ${(recoveryMs / stepMs).toFixed(0).padStart(11)}  ${loads}`)
    }
  }
}

const domain = createBenchFleet(1, vmCount)[0]

function createFormedRun (policy: RepairPolicy): DomainRun {
  if (domain === undefined) throw new Error('the benchmark fleet has no domain')
  const config = createBenchConfig(createBenchDeployment('kandy', membersPerGroup))
  const quota = computeQuotas([domain], config, () => 0).get(domain.fabricDomain) ?? new Map<string, number>()
  const run = createDomainRun(domain, quota, config, policy)
  for (let nowMs = 0; nowMs < outageAtMs; nowMs += stepMs) run.step(nowMs)
  return run
}

/** Returns the time in ms until all groups are complete again; `maxRecoveryMs` if they are not by then. */
function measureRecovery (run: DomainRun, kind: OutageKind): number {
  const outageEndMs = outageAtMs + outageMs
  const outages = (domain?.vms ?? []).map(vm => ({ kind, vmId: vm.vmId, fromMs: outageAtMs, untilMs: outageEndMs }))
  outages.forEach(run.beginOutage)
  for (let nowMs = outageAtMs; nowMs < outageEndMs; nowMs += stepMs) run.step(nowMs)
  outages.forEach(run.endOutage)
  const plannedGroupCount = vmCount / membersPerGroup
  for (let nowMs = outageEndMs; nowMs < outageEndMs + maxRecoveryMs; nowMs += stepMs) {
    run.step(nowMs)
    if (run.countCompleteGroups() === plannedGroupCount) return nowMs - outageEndMs
  }
  return maxRecoveryMs
}
