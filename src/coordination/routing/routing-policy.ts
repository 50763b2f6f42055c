import type { RandomSource } from '../../shared/random-source.js'
import type { RequestPriority } from '../../state/fleet-config.js'
import type { RoutingCandidate } from './routable-group.js'

/** What a policy may know about the request. */
export interface RoutingRequest {
  readonly deployment: string
  readonly partner: string
  /** Hash of the prompt's first part; requests with the same hash gain from the same prefix cache. */
  readonly prefixHash?: string
  readonly priority?: RequestPriority
}

/** What the router knows about all groups of the deployment, also those that have no free credit. */
export interface RoutingContext {
  /** Median time between tokens. */
  readonly usualTokenIntervalMs: number
}

/** Chooses one of the groups that may take a request. */
export interface RoutingPolicy {
  /** Returns undefined when none of the candidates is worth taking; the request then waits for another. */
  choose (candidates: readonly RoutingCandidate[], request: RoutingRequest, context: RoutingContext): RoutingCandidate | undefined
}

/** Chooses uniformly at random. */
export class RandomRouting implements RoutingPolicy {
  constructor (private readonly random: RandomSource) {}

  choose (candidates: readonly RoutingCandidate[]): RoutingCandidate | undefined {
    return this.random.pick(candidates)
  }
}

/** Takes the groups of each deployment in turn, ordered by group id. */
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

/** Draws two groups at random and takes the one with fewer estimated streams per slot. */
export class TwoChoicesRouting implements RoutingPolicy {
  constructor (private readonly random: RandomSource) {}

  choose (candidates: readonly RoutingCandidate[]): RoutingCandidate | undefined {
    const first = this.random.pick(candidates)
    const second = this.random.pick(candidates)
    if (first === undefined || second === undefined) return first
    return getUtilisation(second) < getUtilisation(first) ? second : first
  }
}

/** Returns the estimated streams per slot of a candidate's group. */
export function getUtilisation (candidate: RoutingCandidate): number {
  return candidate.estimatedStreamCount / Math.max(1, candidate.group.slotCount)
}
