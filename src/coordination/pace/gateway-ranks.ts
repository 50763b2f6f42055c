import { rankByDigest } from '../../shared/digest-rank.js'

/** Place of this gateway in an order of all gateways, and their number. */
export interface GatewayRank {
  /** From 0. */
  readonly rank: number
  readonly gatewayCount: number
}

/** IDs of replicas are never reused; ranks of replicas that are gone are dropped all at once above this number. */
const maxKnownCount = 1000

/**
 * Ranks this gateway among all gateways for each replica, by rendezvous hashing. `listGatewayIds` returns the same array
 * until the list changes. A gateway that is not listed comes last.
 */
export function createGatewayRanks (nodeId: string, listGatewayIds: () => readonly string[]): (replicaId: string) => GatewayRank {
  const known = new Map<string, GatewayRank>()
  let rankedIds: readonly string[] = []

  return replicaId => {
    const gatewayIds = listGatewayIds()
    if (gatewayIds !== rankedIds || known.size >= maxKnownCount) known.clear()
    rankedIds = gatewayIds
    const existing = known.get(replicaId)
    if (existing !== undefined) return existing
    const all = gatewayIds.includes(nodeId) ? gatewayIds : [...gatewayIds, nodeId]
    const created = { rank: rankByDigest(replicaId, all).indexOf(nodeId), gatewayCount: all.length }
    known.set(replicaId, created)
    return created
  }
}
