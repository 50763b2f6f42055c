import type { RandomSource } from '../../shared/random-source.js'
import { RequestPriority } from '../../state/fleet-config.js'
import type { RoutingCandidate } from './routable-group.js'
import { getUtilisation, type RoutingContext, type RoutingPolicy, type RoutingRequest } from './routing-policy.js'

export interface CostRoutingSettings {
  /** Cost of serving from another availability zone: delay and price of the link. */
  readonly crossingCostMs: number
  /** Time to compute a prompt prefix that the group does not hold in its cache; counts less the more a group is used. */
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
 * prefix missing in the cache, and the pace of a slow member. Interactive requests rather wait
 * than go to a group with a slow member, which could not answer in time. Nearly equal groups are
 * told apart by how much of the node's own credits is in use, then at random, so that routers
 * with the same stale report do not all pick the same group.
 */
export class CostRouting implements RoutingPolicy {
  constructor (
    private readonly random: RandomSource,
    private readonly settings: CostRoutingSettings = defaultCostRoutingSettings
  ) {}

  choose (candidates: readonly RoutingCandidate[], request: RoutingRequest, context: RoutingContext): RoutingCandidate | undefined {
    const slowestIntervalMs = slowPaceFactor * context.usualTokenIntervalMs
    const isInteractive = request.priority !== RequestPriority.Batch
    const eligible = candidates.filter(({ group }) => !isInteractive || group.tokenIntervalMs <= slowestIntervalMs)
    const costs = eligible.map(candidate => this.estimateCostMs(candidate, slowestIntervalMs))
    const limitMs = Math.min(...costs) + this.settings.toleranceMs
    const cheapest = eligible.filter((_, index) => (costs[index] ?? Infinity) <= limitMs)
    const lowestUse = Math.min(...cheapest.map(candidate => candidate.creditUse))
    return this.random.pick(cheapest.filter(candidate => candidate.creditUse === lowestUse))
  }

  private estimateCostMs (candidate: RoutingCandidate, slowestIntervalMs: number): number {
    const { crossingCostMs, prefillMs, answerTokenCount, utilisationCostMs } = this.settings
    const answerMs = candidate.group.tokenIntervalMs * answerTokenCount
    const excessStreamCount = candidate.estimatedStreamCount + 1 - candidate.group.slotCount
    const waitMs = Math.max(0, excessStreamCount) / Math.max(1, candidate.group.slotCount) * answerMs
    const crossingMs = candidate.isLocal ? 0 : crossingCostMs
    const idlePart = Math.max(0, 1 - getUtilisation(candidate))
    const missMs = prefillMs * getMissPart(candidate.prefixRank) * idlePart
    const delayMs = Math.max(0, candidate.group.tokenIntervalMs - slowestIntervalMs) * answerTokenCount
    return delayMs + waitMs + crossingMs + missMs + utilisationCostMs * getUtilisation(candidate) ** 2
  }
}

/** A group paced slower than this times the usual has a slow member; below, the pace follows the load. */
const slowPaceFactor = 1.8
const secondHomeMissPart = 0.5

/** Returns the part of the prefill that is likely to be needed: none at the prefix's home, some at the second. */
function getMissPart (prefixRank: number | undefined): number {
  if (prefixRank === undefined || prefixRank === 0) return 0
  return prefixRank === 1 ? secondHomeMissPart : 1
}
