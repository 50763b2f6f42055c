import type { ListedGateway } from '../coordination/relay/relay-plan.js'
import { parseAddress, type NetworkAddress } from '../shared/network-address.js'

export interface GatewayListOptions {
  readonly nodeId: string
  listGateways (): readonly ListedGateway[]
  /** Number of gateways, which falls only after some time. */
  countGateways (): number
}

/** IDs and addresses of the gateways that are listed in the store. */
export interface GatewayList {
  /**
   * Returns the same array until the list of gateways changes. A list that has lost more than half of the gateways is not used, as the
   * store may have lost it: gateways with different short lists would issue more permits together than a server takes.
   */
  listIds (): readonly string[]
  /** Returns the addresses of the other gateways among these. */
  toAddresses (gateways: readonly ListedGateway[]): NetworkAddress[]
}

/** Creates the view of the list. */
export function createGatewayList ({ nodeId, listGateways, countGateways }: GatewayListOptions): GatewayList {
  let listed: readonly ListedGateway[] = []
  let ids: readonly string[] = []

  return {
    listIds () {
      const gateways = listGateways()
      const isShort = gateways.length < ids.length / 2 && gateways.length < countGateways() / 2
      if (gateways !== listed && !isShort) {
        listed = gateways
        ids = gateways.map(gateway => gateway.nodeId)
      }
      return ids
    },
    toAddresses: gateways => gateways.filter(gateway => gateway.nodeId !== nodeId).flatMap(gateway => parseAddress(gateway.address) ?? [])
  }
}
