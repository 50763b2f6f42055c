/** A gateway in the list of gateways that the store holds. */
export interface ListedGateway {
  readonly nodeId: string
  readonly zone: string
  readonly address: string
  /** Store revision at which the gateway was listed; lower is earlier. */
  readonly listedRevision: number
}

/** How a gateway reads the store: directly or from relays. */
export interface RelayPlan {
  /** Whether this gateway reads the store itself, be it as a relay for others or because there are no relays. */
  readonly readsStoreDirectly: boolean
  /** Relays to read the store's content from, the preferred one first and those of other zones last; empty when `isRelay`. */
  readonly relays: readonly ListedGateway[]
}

/** The plan of a gateway that always reads the store itself. */
export const directPlan: RelayPlan = { readsStoreDirectly: true, relays: [] }

/** Up to this number, all gateways read the store; relays would save few calls and add a hop. */
export const maxDirectCount = 16
/** Gateways per relay in a zone. */
const gatewaysPerRelay = 24
/** With fewer relays in total, the loss of one would send too many gateways to the store at once. */
const minRelayCount = 3

/** Sorts gateways by the revision at which they were listed, the earliest first. */
export function sortByListedRevision (gateways: readonly ListedGateway[]): ListedGateway[] {
  return [...gateways].sort((left, right) => left.listedRevision - right.listedRevision || (left.nodeId < right.nodeId ? -1 : 1))
}

/** Returns the gateways of all zones that read the store themselves. */
export function listRelays (gateways: readonly ListedGateway[]): ListedGateway[] {
  if (gateways.length <= maxDirectCount) return [...gateways]
  const zones = new Set(gateways.map(gateway => gateway.zone))
  const minPerZone = Math.ceil(minRelayCount / zones.size)
  return [...zones].flatMap(zone => {
    const inZone = sortByListedRevision(gateways.filter(gateway => gateway.zone === zone))
    return inZone.slice(0, Math.max(minPerZone, Math.ceil(inZone.length / gatewaysPerRelay)))
  })
}

/**
 * Plans how a gateway reads the store. The relays of a zone are the gateways that were listed first, so a new gateway
 * rarely changes them. Gateways with different lists may briefly disagree, which costs one more relay request.
 */
export function planRelays (gateways: readonly ListedGateway[], nodeId: string): RelayPlan {
  const self = gateways.find(gateway => gateway.nodeId === nodeId)
  if (self === undefined || gateways.length <= maxDirectCount) return directPlan
  const relays = listRelays(gateways)
  if (relays.includes(self)) return directPlan
  const rank = sortByListedRevision(gateways).indexOf(self)
  const inSameZone = relays.filter(relay => relay.zone === self.zone)
  const inOtherZones = relays.filter(relay => relay.zone !== self.zone)
  return { readsStoreDirectly: false, relays: [...rotate(inSameZone, rank), ...rotate(inOtherZones, rank)] }
}

/** A gateway's place in the exchange of load reports. */
export interface ReportExchange {
  readonly gateways: readonly ListedGateway[]
  readonly relays: readonly ListedGateway[]
  readonly plannerId: string
  readonly isPlanner: boolean
  readonly readsStoreDirectly: boolean
}

/**
 * Lists the gateways that one sends its load reports to. Relays exchange them, with the planner too, which reads the store
 * itself and may be no relay. Other gateways send theirs with their relay requests.
 */
export function listReportPeers ({ gateways, relays, plannerId, isPlanner, readsStoreDirectly }: ReportExchange): readonly ListedGateway[] {
  if (!readsStoreDirectly && !isPlanner) return []
  const planner = gateways.find(gateway => gateway.nodeId === plannerId)
  return planner === undefined || relays.includes(planner) ? relays : [...relays, planner]
}

/** The plans that follow from the present list of gateways. */
export interface RelayPlans {
  /** How this gateway reads the store. */
  getPlan (): RelayPlan
  /** The gateways of all zones that read the store themselves. */
  listRelays (): readonly ListedGateway[]
}

/**
 * Creates plans that are computed once for each list: they are needed several times a second and change rarely. `listGateways`
 * returns the same array until the list changes.
 */
export function createRelayPlans (listGateways: () => readonly ListedGateway[], nodeId: string): RelayPlans {
  let known: { readonly gateways: readonly ListedGateway[], readonly plan: RelayPlan, readonly relays: readonly ListedGateway[] } | undefined

  function get () {
    const gateways = listGateways()
    if (known?.gateways === gateways) return known
    known = { gateways, plan: planRelays(gateways, nodeId), relays: listRelays(gateways) }
    return known
  }

  return {
    getPlan: () => get().plan,
    listRelays: () => get().relays
  }
}

/** Rotates a list by `count` places; different gateways then prefer different relays. */
function rotate<T> (items: readonly T[], count: number): T[] {
  const first = items.length === 0 ? 0 : count % items.length
  return [...items.slice(first), ...items.slice(0, first)]
}
