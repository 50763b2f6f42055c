import type { RandomSource } from '../../shared/random-source.js'
import type { RequestPriority } from '../../state/fleet-config.js'
import type { RoutingCandidate } from './routable-group.js'

/** Properties of a request that a policy may use. */
export interface RoutingRequest {
  readonly deployment: string
  readonly partner: string
  /** Hash of the start of the prompt; requests with the same hash benefit from the same prefix cache. */
  readonly prefixHash?: string
  readonly priority?: RequestPriority
}

/** Values over all fresh groups of the deployment, including those without free credits. */
export interface RoutingContext {
  /** Median time between tokens. */
  readonly medianTokenIntervalMs: number
}

/** Chooses one of the groups that may serve a request. */
export interface RoutingPolicy {
  /** Returns undefined when no candidate is acceptable; the request then waits for another candidate. */
  choose (candidates: readonly RoutingCandidate[], request: RoutingRequest, context: RoutingContext): RoutingCandidate | undefined
}

/** Baseline for the benchmarks: chooses uniformly at random. */
export class RandomRouting implements RoutingPolicy {
  constructor (private readonly random: RandomSource) {}

  choose (candidates: readonly RoutingCandidate[]): RoutingCandidate | undefined {
    return this.random.pick(candidates)
  }
}

/** Baseline for the benchmarks: chooses the groups of each deployment round robin, ordered by group id. */
export class RoundRobinRouting implements RoutingPolicy {
  private readonly lastGroupIds = new Map<string, string>()

  choose (candidates: readonly RoutingCandidate[], request: RoutingRequest): RoutingCandidate | undefined {
    const ordered = [...candidates].sort((left, right) => left.group.groupId < right.group.groupId ? -1 : 1)
    const lastGroupId = this.lastGroupIds.get(request.deployment) ?? ''
    const chosen = ordered.find(candidate => candidate.group.groupId > lastGroupId) ?? ordered[0]
    if (chosen !== undefined) this.lastGroupIds.set(request.deployment, chosen.group.groupId)
    return chosen
  }
}

/**
 * Baseline for the benchmarks: draws two groups at random, possibly the same one twice, and chooses the one with fewer
 * estimated streams per slot.
 */
export class TwoChoicesRouting implements RoutingPolicy {
  constructor (private readonly random: RandomSource) {}

  choose (candidates: readonly RoutingCandidate[]): RoutingCandidate | undefined {
    const first = this.random.pick(candidates)
    const second = this.random.pick(candidates)
    if (first === undefined || second === undefined) return first
    return getUtilisation(second) < getUtilisation(first) ? second : first
  }
}

/** Returns the estimated streams per slot of a candidate's group; above 1 while streams queue. */
export function getUtilisation (candidate: RoutingCandidate): number {
  return candidate.estimatedStreamCount / Math.max(1, candidate.group.slotCount)
}
