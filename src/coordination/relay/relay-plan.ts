/** A gateway as the list of gateways shows it. */
export interface ListedGateway {
  readonly nodeId: string
  readonly zone: string
  readonly address: string
  /** Revision at which it was listed; lower is longer ago. */
  readonly listedRevision: number
}

export interface RelayPlan {
  /** This gateway reads the store itself. */
  readonly isRelay: boolean
  /** Gateways to ask for what the store holds, the preferred one first; none for a relay. */
  readonly relays: readonly ListedGateway[]
}

/** The plan of a gateway that reads the store whatever the others do. */
export const directPlan: RelayPlan = { isRelay: true, relays: [] }

/** Up to this many gateways all read the store; a relay would save few calls and add a hop. */
const maxDirectCount = 16
/** Gateways that one relay serves. */
const gatewaysPerRelay = 24
/** A zone keeps its source when one relay is lost. */
const minRelayCount = 2

/** Sorts gateways by when they were listed, the first one first. */
export function sortByAge (gateways: readonly ListedGateway[]): ListedGateway[] {
  return [...gateways].sort((left, right) => left.listedRevision - right.listedRevision || (left.nodeId < right.nodeId ? -1 : 1))
}

/** Lists the gateways of all zones that read the store themselves. */
export function listRelays (gateways: readonly ListedGateway[]): ListedGateway[] {
  if (gateways.length <= maxDirectCount) return [...gateways]
  const zones = new Set(gateways.map(gateway => gateway.zone))
  return [...zones].flatMap(zone => {
    const inZone = sortByAge(gateways.filter(gateway => gateway.zone === zone))
    return inZone.slice(0, countRelays(inZone.length))
  })
}

function countRelays (gatewayCount: number): number {
  return Math.max(minRelayCount, Math.ceil(gatewayCount / gatewaysPerRelay))
}

/**
 * Names the gateways of a zone that read the store for the others: those that were listed first, so that
 * newcomers change nothing. Gateways with different lists disagree for a moment, which costs a second question.
 */
export function planRelays (gateways: readonly ListedGateway[], nodeId: string): RelayPlan {
  const self = gateways.find(gateway => gateway.nodeId === nodeId)
  if (self === undefined || gateways.length <= maxDirectCount) return directPlan
  const inZone = sortByAge(gateways.filter(gateway => gateway.zone === self.zone))
  const relays = inZone.slice(0, countRelays(inZone.length))
  const rank = inZone.indexOf(self)
  if (rank < relays.length) return directPlan
  const first = rank % relays.length
  return { isRelay: false, relays: [...relays.slice(first), ...relays.slice(0, first)] }
}
