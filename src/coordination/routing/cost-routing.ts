import type { RandomSource } from '../../shared/random-source.js'
import { RequestPriority } from '../../state/fleet-config.js'
import type { RoutingCandidate } from './routable-group.js'
import { getUtilisation, type RoutingContext, type RoutingPolicy, type RoutingRequest } from './routing-policy.js'

export interface CostRoutingSettings {
  /** Cost of serving from another availability zone, for the latency and price of the link. */
  readonly crossZoneCostMs: number
  /** Time to compute a prompt prefix that is missing in the group's cache; counts less the more the group is used. */
  readonly prefillMs: number
  /** Assumed number of tokens in a response, to estimate durations from token intervals. */
  readonly typicalResponseTokenCount: number
  /** Extra cost of a fully used group over an idle one; grows with the square of the utilisation and spreads load before queues form. */
  readonly utilisationCostMs: number
  /** Candidates whose cost is within this distance of the cheapest count as equal. */
  readonly toleranceMs: number
}

export const defaultCostRoutingSettings: CostRoutingSettings = {
  crossZoneCostMs: 20,
  prefillMs: 200,
  typicalResponseTokenCount: 200,
  utilisationCostMs: 300,
  toleranceMs: 10
}

/**
 * Chooses the group with the lowest estimated cost: link to another zone, wait for a slot, prompt
 * prefix missing in the cache, and a token interval far above the median. Interactive requests wait
 * rather than go to a group with a slow member, which could not respond in time. Among nearly equal
 * groups, it prefers the one with the lowest use of the node's own credits, then picks at random, so
 * entry nodes with the same stale report do not all pick the same group.
 */
export class CostRouting implements RoutingPolicy {
  constructor (
    private readonly random: RandomSource,
    private readonly settings: CostRoutingSettings = defaultCostRoutingSettings
  ) {}

  choose (candidates: readonly RoutingCandidate[], request: RoutingRequest, context: RoutingContext): RoutingCandidate | undefined {
    const slowestIntervalMs = slowMemberFactor * context.medianTokenIntervalMs
    const isInteractive = request.priority !== RequestPriority.Batch
    const eligible = candidates.filter(({ group }) => !isInteractive || group.tokenIntervalMs <= slowestIntervalMs)
    const costs = eligible.map(candidate => this.estimateCostMs(candidate, slowestIntervalMs))
    const limitMs = Math.min(...costs) + this.settings.toleranceMs
    const cheapest = eligible.filter((_, index) => (costs[index] ?? Infinity) <= limitMs)
    const lowestUse = Math.min(...cheapest.map(candidate => candidate.creditUse))
    return this.random.pick(cheapest.filter(candidate => candidate.creditUse === lowestUse))
  }

  private estimateCostMs (candidate: RoutingCandidate, slowestIntervalMs: number): number {
    const { crossZoneCostMs, prefillMs, typicalResponseTokenCount, utilisationCostMs } = this.settings
    const responseMs = candidate.group.tokenIntervalMs * typicalResponseTokenCount
    const excessStreamCount = candidate.estimatedStreamCount + 1 - candidate.group.slotCount
    const waitMs = Math.max(0, excessStreamCount) / Math.max(1, candidate.group.slotCount) * responseMs
    const crossZoneMs = candidate.isLocal ? 0 : crossZoneCostMs
    const idleFraction = Math.max(0, 1 - getUtilisation(candidate))
    const prefixMissMs = prefillMs * getPrefixMissFraction(candidate.prefixRank) * idleFraction
    const slowMemberMs = Math.max(0, candidate.group.tokenIntervalMs - slowestIntervalMs) * typicalResponseTokenCount
    return slowMemberMs + waitMs + crossZoneMs + prefixMissMs + utilisationCostMs * getUtilisation(candidate) ** 2
  }
}

/** A group whose token interval exceeds the median by this factor has a slow member; smaller differences come from load. */
const slowMemberFactor = 1.8
const secondRankMissFraction = 0.5

/** Returns the expected fraction of the prefill to compute: none on the group ranked first for the prefix, part of it on the second. */
function getPrefixMissFraction (prefixRank: number | undefined): number {
  if (prefixRank === undefined || prefixRank === 0) return 0
  return prefixRank === 1 ? secondRankMissFraction : 1
}
