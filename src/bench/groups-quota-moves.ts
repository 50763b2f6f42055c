import type { ListedDomain } from '../coordination/groups/domain-ownership.js'
import { computeQuotas } from '../coordination/groups/domain-quota.js'
import type { ListedVm } from '../coordination/ports/vm-list.js'
import { createRandomSource } from '../shared/random-source.js'
import type { Deployment } from '../state/fleet-config.js'
import type { BenchmarkContext } from './benchmark.js'
import { createBenchConfig, createBenchDeployment, createBenchFleet } from './groups-bench-fleet.js'

/** Groups per domain. */
type GroupCounts = ReadonlyMap<string, number>
type PlaceGroups = (domains: readonly ListedDomain[], deployment: Deployment) => GroupCounts

const changeCount = 200
const membersPerGroup = 4

/**
 * Prints how many groups move to another domain when one VM at a time leaves the list, for two ways to assign groups to
 * domains: the production quotas by rendezvous hashing, and the domain with the most free VMs first.
 */
export function printQuotaMoves (context: BenchmarkContext): void {
  context.print('groups that change their domain while one VM at a time is off the list')
  context.print('domains  VMs each  groups  rendezvous  most room first')
  for (const [domainCount, vmsPerDomain] of [[6, 11], [24, 11], [194, 32]] as const) {
    const fleet = createBenchFleet(domainCount, vmsPerDomain)
    const maxGroupCount = domainCount * Math.floor(vmsPerDomain / membersPerGroup)
    // Leaves a fifth of the room free, so that groups can move.
    const deployment = { ...createBenchDeployment('vrany', membersPerGroup), groupCount: Math.floor(maxGroupCount * 0.8) }
    const rendezvousMoves = countMoves(fleet, deployment, placeByRendezvous, context.seed)
    const mostFreeVmsMoves = countMoves(fleet, deployment, placeByMostFreeVms, context.seed)
    context.print([
      String(domainCount).padStart(7),
      String(vmsPerDomain).padStart(9),
      String(deployment.groupCount).padStart(7),
      `${(rendezvousMoves / changeCount).toFixed(3)} each`.padStart(11),
      `${(mostFreeVmsMoves / changeCount).toFixed(3)} each`.padStart(16)
    ].join(' '))
  }
}

function countMoves (fleet: readonly ListedDomain[], deployment: Deployment, place: PlaceGroups, seed: number): number {
  const random = createRandomSource(seed)
  const vms = fleet.flatMap(domain => domain.vms)
  let previous = place(fleet, deployment)
  let moveCount = 0
  for (let change = 0; change < changeCount; change += 1) {
    const missingVm = random.pick(vms)
    const next = place(fleet.map(domain => withoutVm(domain, missingVm)), deployment)
    moveCount += countAddedGroups(previous, next)
    previous = next
  }
  return moveCount
}

function withoutVm (domain: ListedDomain, missingVm: ListedVm | undefined): ListedDomain {
  if (missingVm?.fabricDomain !== domain.fabricDomain) return domain
  return { ...domain, vms: domain.vms.filter(vm => vm !== missingVm) }
}

function countAddedGroups (before: GroupCounts, after: GroupCounts): number {
  return [...after].reduce((sum, [domain, count]) => sum + Math.max(0, count - (before.get(domain) ?? 0)), 0)
}

function placeByRendezvous (domains: readonly ListedDomain[], deployment: Deployment): GroupCounts {
  const quotas = computeQuotas(domains, createBenchConfig(deployment), () => 0)
  return new Map([...quotas].map(([domain, quota]) => [domain, quota.get(deployment.name) ?? 0]))
}

function placeByMostFreeVms (domains: readonly ListedDomain[], deployment: Deployment): GroupCounts {
  const counts = new Map(domains.map(domain => [domain.fabricDomain, 0]))
  const freeCounts = new Map(domains.map(domain => [domain.fabricDomain, domain.vms.length]))
  for (let placedCount = 0; placedCount < deployment.groupCount; placedCount += 1) {
    const [domain, freeCount] = [...freeCounts].reduce((best, candidate) => candidate[1] > best[1] ? candidate : best)
    if (freeCount < deployment.membersPerGroup) break
    freeCounts.set(domain, freeCount - deployment.membersPerGroup)
    counts.set(domain, (counts.get(domain) ?? 0) + 1)
  }
  return counts
}
