import { computeQuotas } from '../coordination/groups/domain-quota.js'
import type { RepairPolicy } from '../coordination/groups/repair-policy.js'
import type { BenchmarkContext } from './benchmark.js'
import { createBenchConfig, createBenchDeployment, createBenchFleet } from './groups-bench-fleet.js'
import { createDomainRun, OutageKind, type DomainRun } from './groups-domain-run.js'

const stepMs = 1000
const darkMs = 600_000
const formedMs = 3_600_000
const maxRecoveryMs = 7_200_000
const vmCount = 32
const membersPerGroup = 8

export interface NamedPolicy {
  readonly name: string
  readonly policy: RepairPolicy
}

/** Prints how long a domain takes to serve with all its groups again after it was dark for ten minutes. */
export function printDarkDomain (context: BenchmarkContext, policies: readonly NamedPolicy[]): void {
  context.print(`one domain of ${vmCount} VMs, groups of ${membersPerGroup}, dark for ${darkMs / stepMs} s`)
  context.print('policy           VMs come back  recovery s  loads')
  for (const { name, policy } of policies) {
    for (const kind of [OutageKind.Pause, OutageKind.Restart]) {
      const run = createRun(policy)
      const formedLoadCount = run.countLoads()
      const recoveryMs = measureRecovery(run, kind)
      const loads = String(run.countLoads() - formedLoadCount).padStart(5)
      const state = kind === OutageKind.Pause ? 'as they were' : 'empty'
      context.print(`${name.padEnd(16)} ${state.padStart(13)} ${(recoveryMs / stepMs).toFixed(0).padStart(11)}  ${loads}`)
    }
  }
}

const domain = createBenchFleet(1, vmCount)[0]

function createRun (policy: RepairPolicy): DomainRun {
  if (domain === undefined) throw new Error('the fleet has no domain')
  const config = createBenchConfig(createBenchDeployment('kandy', membersPerGroup))
  const quota = computeQuotas([domain], config, () => 0).get(domain.fabricDomain) ?? new Map<string, number>()
  const run = createDomainRun(domain, quota, config, policy)
  for (let nowMs = 0; nowMs < formedMs; nowMs += stepMs) run.step(nowMs)
  return run
}

function measureRecovery (run: DomainRun, kind: OutageKind): number {
  const untilMs = formedMs + darkMs
  const outages = (domain?.vms ?? []).map(vm => ({ kind, vmId: vm.vmId, fromMs: formedMs, untilMs }))
  outages.forEach(run.begin)
  for (let nowMs = formedMs; nowMs < untilMs; nowMs += stepMs) run.step(nowMs)
  outages.forEach(run.end)
  const wantedCount = vmCount / membersPerGroup
  for (let nowMs = untilMs; nowMs < untilMs + maxRecoveryMs; nowMs += stepMs) {
    run.step(nowMs)
    if (run.countCompleteGroups() === wantedCount) return nowMs - untilMs
  }
  return maxRecoveryMs
}
