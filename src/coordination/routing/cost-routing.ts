import type { RandomSource } from '../../shared/random-source.js'
import { hashText } from '../../shared/rendezvous.js'
import type { RoutingCandidate } from './routable-group.js'
import { getUtilisation, type RoutingPolicy, type RoutingRequest } from './routing-policy.js'

export interface CostRoutingSettings {
  /** Cost of serving from another availability zone: delay and price of the link. */
  readonly crossingCostMs: number
  /** Time to compute a prompt prefix that the group does not hold in its cache. */
  readonly prefillMs: number
  /** Tokens of a typical answer. */
  readonly answerTokenCount: number
  /** Cost of a fully used group against an idle one; spreads load before queues form. */
  readonly utilisationCostMs: number
  /** Candidates within this distance of the cheapest count as equal. */
  readonly toleranceMs: number
}

export const defaultCostRoutingSettings: CostRoutingSettings = {
  crossingCostMs: 20,
  prefillMs: 200,
  answerTokenCount: 200,
  utilisationCostMs: 300,
  toleranceMs: 10
}

/**
 * Chooses the group with the lowest expected time: link to another zone, wait for a slot, prompt
 * prefix missing in the cache, and the pace of the group's slowest member. Nearly equal groups
 * are told apart by how much of the node's own credits is in use, then at random, so that
 * routers with the same stale report do not all pick the same group.
 */
export class CostRouting implements RoutingPolicy {
  constructor (
    private readonly random: RandomSource,
    private readonly settings: CostRoutingSettings = defaultCostRoutingSettings
  ) {}

  choose (candidates: readonly RoutingCandidate[], request: RoutingRequest): RoutingCandidate | undefined {
    const home = findPrefixHome(candidates, request.prefixHash)
    const costs = candidates.map(candidate => this.estimateCostMs(candidate, home))
    const limitMs = Math.min(...costs) + this.settings.toleranceMs
    const cheapest = candidates.filter((_, index) => (costs[index] ?? Infinity) <= limitMs)
    const lowestUse = Math.min(...cheapest.map(candidate => candidate.creditUse))
    return this.random.pick(cheapest.filter(candidate => candidate.creditUse === lowestUse))
  }

  private estimateCostMs (candidate: RoutingCandidate, home: RoutingCandidate | undefined): number {
    const { crossingCostMs, prefillMs, answerTokenCount, utilisationCostMs } = this.settings
    const answerMs = candidate.group.tokenIntervalMs * answerTokenCount
    const excessStreamCount = candidate.estimatedStreamCount + 1 - candidate.group.slotCount
    const waitMs = Math.max(0, excessStreamCount) / Math.max(1, candidate.group.slotCount) * answerMs
    const crossingMs = candidate.isLocal ? 0 : crossingCostMs
    const missMs = home === undefined || candidate === home ? 0 : prefillMs
    return answerMs + waitMs + crossingMs + missMs + utilisationCostMs * getUtilisation(candidate)
  }
}

/** Returns the group that holds a prefix by rendezvous hashing, within the own zone where it has one. */
function findPrefixHome (candidates: readonly RoutingCandidate[], prefixHash: string | undefined): RoutingCandidate | undefined {
  if (prefixHash === undefined) return undefined
  const local = candidates.filter(candidate => candidate.isLocal)
  const eligible = local.length > 0 ? local : candidates
  let home: RoutingCandidate | undefined
  let highestWeight = -1
  for (const candidate of eligible) {
    const weight = hashText(`${prefixHash}/${candidate.group.groupId}`)
    if (weight <= highestWeight) continue
    home = candidate
    highestWeight = weight
  }
  return home
}
