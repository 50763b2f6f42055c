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
  /** Gateways to ask for what the store holds, the preferred one first and those of other zones last; none for a relay. */
  readonly relays: readonly ListedGateway[]
}

/** The plan of a gateway that reads the store whatever the others do. */
export const directPlan: RelayPlan = { isRelay: true, relays: [] }

/** Up to this many gateways all read the store; a relay would save few calls and add a hop. */
const maxDirectCount = 16
/** Gateways that one relay serves. */
const gatewaysPerRelay = 24
/** With fewer relays in all, the loss of one would send too many gateways to the store at once. */
const minRelayCount = 3

/** Sorts gateways by when they were listed, the first one first. */
export function sortByAge (gateways: readonly ListedGateway[]): ListedGateway[] {
  return [...gateways].sort((left, right) => left.listedRevision - right.listedRevision || (left.nodeId < right.nodeId ? -1 : 1))
}

/** Lists the gateways of all zones that read the store themselves. */
export function listRelays (gateways: readonly ListedGateway[]): ListedGateway[] {
  if (gateways.length <= maxDirectCount) return [...gateways]
  const zones = new Set(gateways.map(gateway => gateway.zone))
  const minPerZone = Math.ceil(minRelayCount / zones.size)
  return [...zones].flatMap(zone => {
    const inZone = sortByAge(gateways.filter(gateway => gateway.zone === zone))
    return inZone.slice(0, Math.max(minPerZone, Math.ceil(inZone.length / gatewaysPerRelay)))
  })
}

/**
 * Names the gateways of a zone that read the store for the others: those that were listed first, so that
 * newcomers change nothing. Gateways with different lists disagree for a moment, which costs a second question.
 */
export function planRelays (gateways: readonly ListedGateway[], nodeId: string): RelayPlan {
  const self = gateways.find(gateway => gateway.nodeId === nodeId)
  if (self === undefined || gateways.length <= maxDirectCount) return directPlan
  const relays = listRelays(gateways)
  if (relays.includes(self)) return directPlan
  const rank = sortByAge(gateways).indexOf(self)
  const near = relays.filter(relay => relay.zone === self.zone)
  const far = relays.filter(relay => relay.zone !== self.zone)
  return { isRelay: false, relays: [...rotate(near, rank), ...rotate(far, rank)] }
}

/** Begins the list elsewhere for each gateway, so that they spread over it. */
function rotate<T> (items: readonly T[], count: number): T[] {
  const first = items.length === 0 ? 0 : count % items.length
  return [...items.slice(first), ...items.slice(0, first)]
}
