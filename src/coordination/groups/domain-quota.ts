import { hashText } from '../../shared/rendezvous.js'
import type { Deployment, FleetConfig } from '../../state/fleet-config.js'
import { VmLifecycle } from '../ports/vm-list.js'
import type { ListedDomain } from './domain-ownership.js'
import { computeSpareCount } from './spare-count.js'

/** Wanted number of groups of each deployment in one domain, by deployment name. */
export type DomainQuota = ReadonlyMap<string, number>

/** Number of VMs that a domain holds back for a deployment. */
export type SparePolicy = (domain: ListedDomain, usableCount: number, deployment: Deployment, config: FleetConfig) => number

interface Room {
  readonly domain: ListedDomain
  freeCount: number
}

/** Holds back what the weights of the deployment's partner justify. */
export const holdSparesByWeight: SparePolicy = (domain, usableCount, deployment, config) => {
  const partner = config.partners.find(candidate => candidate.name === deployment.partner)
  if (partner === undefined) return 0
  const acceleratorsPerVm = domain.vms[0]?.acceleratorCount ?? 1
  return computeSpareCount({ vmCount: usableCount, acceleratorsPerVm, deployment, partner })
}

/**
 * Spreads the wanted groups of all deployments over the domains. Depends on the listed VMs and the
 * configuration only, so that owners with the same inputs agree on the quota of every domain.
 * A group goes to the availability zones in turn, and within a zone to the first domain in rendezvous
 * order that has room.
 */
export function computeQuotas (domains: readonly ListedDomain[], config: FleetConfig, spareRule: SparePolicy = holdSparesByWeight): Map<string, DomainQuota> {
  const drainingVmIds = new Set(config.drainingVmIds)
  const rooms = domains.map(domain => ({
    domain,
    freeCount: domain.vms.filter(vm => vm.lifecycle === VmLifecycle.Live && !drainingVmIds.has(vm.vmId)).length
  }))
  const quotas = new Map(domains.map(domain => [domain.fabricDomain, new Map<string, number>()]))
  for (const deployment of config.deployments) {
    for (const room of placeGroups(deployment, rooms, config, spareRule)) {
      const quota = quotas.get(room.domain.fabricDomain)
      quota?.set(deployment.name, (quota.get(deployment.name) ?? 0) + 1)
    }
  }
  return quotas
}

/** Takes the room of a deployment's groups; returns one room for each group that was placed. */
function placeGroups (deployment: Deployment, rooms: readonly Room[], config: FleetConfig, spareRule: SparePolicy): Room[] {
  const zones = deployment.availabilityZones
  const spareCounts = new Map(rooms.map(room => [room, spareRule(room.domain, room.freeCount, deployment, config)]))
  const hasRoom = (room: Room) => room.freeCount - (spareCounts.get(room) ?? 0) >= deployment.membersPerGroup
  const placed: Room[] = []
  for (let slot = 0; slot < deployment.groupCount; slot += 1) {
    const room = chooseRoom(deployment, slot, zones, rooms.filter(hasRoom))
    if (room === undefined) return placed
    room.freeCount -= deployment.membersPerGroup
    placed.push(room)
  }
  return placed
}

function chooseRoom (deployment: Deployment, slot: number, zones: readonly string[], rooms: readonly Room[]): Room | undefined {
  for (let turn = 0; turn < zones.length; turn += 1) {
    const zone = zones[(slot + turn) % zones.length]
    const candidates = rooms.filter(room => room.domain.availabilityZone === zone)
    const best = pickByHash(`${deployment.name}/${slot}`, candidates)
    if (best !== undefined) return best
  }
  return undefined
}

function pickByHash (key: string, rooms: readonly Room[]): Room | undefined {
  let best: Room | undefined
  let bestWeight = -1
  for (const room of rooms) {
    const weight = hashText(`${key}/${room.domain.fabricDomain}`)
    if (weight <= bestWeight) continue
    best = room
    bestWeight = weight
  }
  return best
}
