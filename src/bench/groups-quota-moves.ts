import type { ListedDomain } from '../coordination/groups/domain-ownership.js'
import { computeQuotas } from '../coordination/groups/domain-quota.js'
import type { ListedVm } from '../coordination/ports/vm-list.js'
import { createRandomSource } from '../shared/random-source.js'
import type { Deployment } from '../state/fleet-config.js'
import type { BenchmarkContext } from './benchmark.js'
import { createBenchConfig, createBenchDeployment, createBenchFleet } from './groups-bench-fleet.js'

type Counts = ReadonlyMap<string, number>
type Placement = (domains: readonly ListedDomain[], deployment: Deployment) => Counts

const changeCount = 200
const membersPerGroup = 4

/** Prints how many groups change their domain when VMs leave the list and return, for two ways to spread groups. */
export function printQuotaMoves (context: BenchmarkContext): void {
  context.print('groups that change their domain while one VM at a time is off the list')
  context.print('domains  VMs each  groups  rendezvous  most room first')
  for (const [domainCount, vmsPerDomain] of [[6, 11], [24, 11], [194, 32]] as const) {
    const fleet = createBenchFleet(domainCount, vmsPerDomain)
    const roomCount = domainCount * Math.floor(vmsPerDomain / membersPerGroup)
    const deployment = { ...createBenchDeployment('vrany', membersPerGroup), groupCount: Math.floor(roomCount * 0.8) }
    const rendezvous = countMoves(fleet, deployment, placeByRendezvous, context.seed)
    const mostRoom = countMoves(fleet, deployment, placeByRoom, context.seed)
    context.print([
      String(domainCount).padStart(7),
      String(vmsPerDomain).padStart(9),
      String(deployment.groupCount).padStart(7),
      `${(rendezvous / changeCount).toFixed(3)} each`.padStart(11),
      `${(mostRoom / changeCount).toFixed(3)} each`.padStart(16)
    ].join(' '))
  }
}

function countMoves (fleet: readonly ListedDomain[], deployment: Deployment, place: Placement, seed: number): number {
  const random = createRandomSource(seed)
  const vms = fleet.flatMap(domain => domain.vms)
  let previous = place(fleet, deployment)
  let moveCount = 0
  for (let change = 0; change < changeCount; change += 1) {
    const missing = random.pick(vms)
    const next = place(fleet.map(domain => withoutVm(domain, missing)), deployment)
    moveCount += countDifferences(previous, next)
    previous = next
  }
  return moveCount
}

function withoutVm (domain: ListedDomain, missing: ListedVm | undefined): ListedDomain {
  if (missing?.fabricDomain !== domain.fabricDomain) return domain
  return { ...domain, vms: domain.vms.filter(vm => vm !== missing) }
}

function countDifferences (before: Counts, after: Counts): number {
  return [...after].reduce((sum, [domain, count]) => sum + Math.max(0, count - (before.get(domain) ?? 0)), 0)
}

function placeByRendezvous (domains: readonly ListedDomain[], deployment: Deployment): Counts {
  const quotas = computeQuotas(domains, createBenchConfig(deployment), () => 0)
  return new Map([...quotas].map(([domain, quota]) => [domain, quota.get(deployment.name) ?? 0]))
}

function placeByRoom (domains: readonly ListedDomain[], deployment: Deployment): Counts {
  const counts = new Map(domains.map(domain => [domain.fabricDomain, 0]))
  const freeCounts = new Map(domains.map(domain => [domain.fabricDomain, domain.vms.length]))
  for (let slot = 0; slot < deployment.groupCount; slot += 1) {
    const [domain, freeCount] = [...freeCounts].reduce((best, candidate) => candidate[1] > best[1] ? candidate : best)
    if (freeCount < deployment.membersPerGroup) break
    freeCounts.set(domain, freeCount - deployment.membersPerGroup)
    counts.set(domain, (counts.get(domain) ?? 0) + 1)
  }
  return counts
}
