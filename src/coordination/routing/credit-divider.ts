import { hashText } from '../../shared/rendezvous.js'
import type { PartnerShare } from '../../state/fleet-config.js'
import type { PartnerDemand } from './demand-collector.js'
import { allocateMaxMin } from './max-min-allocation.js'

export interface CreditDividerSettings {
  /** Percentage of a partner's own slots that is not lent to others while the partner does not use them. */
  readonly reservePercent: number
  /** Slots per router from which on a partner leaves one slot to each router without demand. */
  readonly minSlotsPerRouter: number
  /** Base weight of each router in the division of headroom; each stream in flight or waiting adds 1. */
  readonly idleRouterWeight: number
}

export const defaultCreditDividerSettings: CreditDividerSettings = {
  reservePercent: 10,
  minSlotsPerRouter: 3,
  idleRouterWeight: 0.25
}

/** Demand of one router on a group. */
export interface RouterDemand {
  readonly nodeId: string
  readonly partners: readonly PartnerDemand[]
}

/** Input of `divideCredits`. */
export interface CreditDivisionInput {
  readonly groupId: string
  readonly slotCount: number
  readonly shares: readonly PartnerShare[]
  readonly routers: readonly RouterDemand[]
  readonly settings: CreditDividerSettings
}

/** Slots by node id of the router, then by partner. */
export type DividedCredits = Map<string, Map<string, number>>

/**
 * Divides a group's slots among partners and their routers. Partners get a weighted max-min allocation
 * by capacity share; a partner that uses less than its share keeps a small reserve on top of its
 * demand. Within a partner, routers get a max-min allocation by demand. Slots that nobody requests go
 * first to routers that prefer the group for its cached prompt prefixes. The rest, the headroom, is
 * spread over all routers, so a first request need not wait for the owner's response. The sum never
 * exceeds the slots.
 */
export function divideCredits (division: CreditDivisionInput): DividedCredits {
  const divided: DividedCredits = new Map(division.routers.map(router => [router.nodeId, new Map()]))
  const slotsByPartner = divideAmongPartners(division)
  for (const [partner, slotCount] of slotsByPartner) {
    for (const [nodeId, count] of divideAmongRouters(division, partner, slotCount)) {
      divided.get(nodeId)?.set(partner, count)
    }
  }
  return divided
}

function divideAmongPartners ({ slotCount, shares, routers, settings }: CreditDivisionInput): Map<string, number> {
  const claims = shares.map(share => {
    const demandCount = routers.reduce((sum, router) => sum + getDemandCount(router, share.partner), 0)
    const ownCount = slotCount * share.capacityPercent / 100
    const reserveCount = Math.ceil(ownCount * settings.reservePercent / 100)
    const minClaimCount = Math.min(demandCount + reserveCount, Math.floor(ownCount))
    return { id: share.partner, weight: share.capacityPercent, demandCount: Math.max(demandCount, minClaimCount) }
  })
  const allocated = allocateMaxMin(slotCount, claims)
  const headroomCount = slotCount - sumValues(allocated)
  const headroom = allocateMaxMin(headroomCount, claims.map(claim => ({ ...claim, demandCount: headroomCount })))
  return addMaps(allocated, headroom)
}

function divideAmongRouters (division: CreditDivisionInput, partner: string, slotCount: number): Map<string, number> {
  const { routers, settings } = division
  const hasSlotsForIdleRouters = slotCount >= settings.minSlotsPerRouter * routers.length
  const idleSlotCount = hasSlotsForIdleRouters ? 1 : 0
  const ordered = orderByHash(routers, `${division.groupId}/${partner}`)
  const claims = ordered.map(router => ({
    id: router.nodeId,
    weight: 1,
    demandCount: Math.max(idleSlotCount, getDemandCount(router, partner))
  }))
  const allocated = allocateMaxMin(slotCount, claims)
  const preferred = allocateMaxMin(slotCount - sumValues(allocated), ordered.map(router => ({
    id: router.nodeId,
    weight: 1,
    demandCount: Math.max(0, getPreferredCount(router, partner) - (allocated.get(router.nodeId) ?? 0))
  })))
  const needed = addMaps(allocated, preferred)
  const headroomCount = slotCount - sumValues(needed)
  const headroom = allocateMaxMin(headroomCount, claims.map(claim => ({
    id: claim.id,
    weight: settings.idleRouterWeight + claim.demandCount,
    demandCount: headroomCount
  })))
  return addMaps(needed, headroom)
}

function getPreferredCount (router: RouterDemand, partner: string): number {
  return router.partners.find(candidate => candidate.partner === partner)?.preferredCount ?? 0
}

function getDemandCount (router: RouterDemand, partner: string): number {
  const demand = router.partners.find(candidate => candidate.partner === partner)
  return demand === undefined ? 0 : demand.inFlightCount + demand.waitingCount
}

/** Orders routers by a hash that depends on the key, so the slots left over by rounding do not all go to the same router. */
function orderByHash (routers: readonly RouterDemand[], key: string): RouterDemand[] {
  const weighted = routers.map(router => ({ router, weight: hashText(`${key}/${router.nodeId}`) }))
  return weighted.sort((left, right) => left.weight - right.weight).map(entry => entry.router)
}

function sumValues (counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0)
}

function addMaps (left: ReadonlyMap<string, number>, right: ReadonlyMap<string, number>): Map<string, number> {
  return new Map([...left].map(([key, count]) => [key, count + (right.get(key) ?? 0)]))
}
