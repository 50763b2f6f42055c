import { hashText } from '../../shared/rendezvous.js'
import type { Deployment, FleetConfig } from '../../state/fleet-config.js'
import { VmLifecycle } from '../ports/vm-list.js'
import type { ListedDomain } from './domain-ownership.js'
import { computeSpareCount } from './spare-count.js'

/** Desired number of groups of each deployment in one domain, by deployment name. */
export type DomainQuota = ReadonlyMap<string, number>

/**
 * Returns the number of VMs that a domain reserves as spares for a deployment. `freeCount` counts the VMs of the
 * domain that are live, not drained and not yet used for a group.
 */
export type SparePolicy = (domain: ListedDomain, freeCount: number, deployment: Deployment, config: FleetConfig) => number

interface DomainCapacity {
  readonly domain: ListedDomain
  freeCount: number
}

/**
 * Reserves the number of spares that costs least under the weights of the deployment's partner. All VMs of a domain
 * are assumed to have as many accelerators as the first.
 */
export const reserveSparesByCost: SparePolicy = (domain, freeCount, deployment, config) => {
  const partner = config.partners.find(candidate => candidate.name === deployment.partner)
  if (partner === undefined) return 0
  const acceleratorsPerVm = domain.vms[0]?.acceleratorCount ?? 1
  return computeSpareCount({ vmCount: freeCount, acceleratorsPerVm, deployment, partner })
}

/**
 * Distributes the desired groups of all deployments over the domains. The result depends only on the
 * listed VMs and the configuration, so owners with the same inputs agree on the quota of every domain.
 * Groups are assigned to the availability zones round robin, and within a zone to the first domain in
 * rendezvous order that has enough free VMs.
 */
export function computeQuotas (domains: readonly ListedDomain[], config: FleetConfig, sparePolicy: SparePolicy = reserveSparesByCost): Map<string, DomainQuota> {
  const drainingVmIds = new Set(config.drainingVmIds)
  const capacities = domains.map(domain => ({
    domain,
    freeCount: domain.vms.filter(vm => vm.lifecycle === VmLifecycle.Live && !drainingVmIds.has(vm.vmId)).length
  }))
  const quotas = new Map(domains.map(domain => [domain.fabricDomain, new Map<string, number>()]))
  for (const deployment of config.deployments) {
    for (const capacity of placeGroups(deployment, capacities, config, sparePolicy)) {
      const quota = quotas.get(capacity.domain.fabricDomain)
      quota?.set(deployment.name, (quota.get(deployment.name) ?? 0) + 1)
    }
  }
  return quotas
}

/** Places a deployment's groups and subtracts their VMs from the free counts. Returns one entry for each placed group. */
function placeGroups (deployment: Deployment, capacities: readonly DomainCapacity[], config: FleetConfig, sparePolicy: SparePolicy): DomainCapacity[] {
  const zones = deployment.availabilityZones
  const spareCounts = new Map(capacities.map(capacity => [capacity, sparePolicy(capacity.domain, capacity.freeCount, deployment, config)]))
  const hasCapacity = (capacity: DomainCapacity) => capacity.freeCount - (spareCounts.get(capacity) ?? 0) >= deployment.membersPerGroup
  const placed: DomainCapacity[] = []
  for (let groupIndex = 0; groupIndex < deployment.groupCount; groupIndex += 1) {
    const capacity = chooseDomain(deployment, groupIndex, zones, capacities.filter(hasCapacity))
    if (capacity === undefined) return placed
    capacity.freeCount -= deployment.membersPerGroup
    placed.push(capacity)
  }
  return placed
}

function chooseDomain (deployment: Deployment, groupIndex: number, zones: readonly string[], capacities: readonly DomainCapacity[]): DomainCapacity | undefined {
  for (let offset = 0; offset < zones.length; offset += 1) {
    const zone = zones[(groupIndex + offset) % zones.length]
    const candidates = capacities.filter(capacity => capacity.domain.availabilityZone === zone)
    const best = pickByHash(`${deployment.name}/${groupIndex}`, candidates)
    if (best !== undefined) return best
  }
  return undefined
}

function pickByHash (key: string, capacities: readonly DomainCapacity[]): DomainCapacity | undefined {
  let best: DomainCapacity | undefined
  let bestWeight = -1
  for (const capacity of capacities) {
    const weight = hashText(`${key}/${capacity.domain.fabricDomain}`)
    if (weight <= bestWeight) continue
    best = capacity
    bestWeight = weight
  }
  return best
}
