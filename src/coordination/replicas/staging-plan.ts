import type { BackendServer } from '../../state/backend-server.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { needsWeightFetch } from './domain-layout.js'
import type { SupplyReplica } from './supply-plan.js'

/** A model that a server should stage while it serves another one. */
export interface StagingWish {
  readonly server: BackendServer
  readonly model: string
}

/** Open replicas of a service, whose members may stage another model. */
export interface StagingState {
  readonly models: readonly ReplicatedModel[]
  /** The members include models that are being fetched. */
  readonly replicas: readonly SupplyReplica[]
  /** Number of models that a host keeps staged. */
  readonly stagedModelLimit: number
}

/**
 * Fraction of a model's replicas whose members stage another model when a host keeps one: a member whose process restarts
 * then lacks its own model. The demand of the known deployments asks for at most half of a model's servers to change.
 */
const maxReplacedFraction = 0.6
/** Replicas of a model that keep its weights staged then: with few replicas a change gains little, and restarts would be slow. */
const minKeptReplicaCount = 3

/**
 * Lists what members of open replicas should stage before the first client request, so that a change between models needs
 * no fetch: the replicas of the largest groups first, in all zones alike.
 */
export function listStagingWishes ({ models, replicas, stagedModelLimit }: StagingState): StagingWish[] {
  const sorted = [...models].sort((left, right) => right.groupSize - left.groupSize || (left.name < right.name ? -1 : 1))
  return sorted.flatMap(model => {
    const other = findOtherModel(model, models)
    if (other === undefined) return []
    const own = sortByTurns(replicas.filter(replica => replica.model.name === model.name), replica => replica.members[0]?.zone ?? '')
    const isBegun = (replica: SupplyReplica) => replica.members.some(member => !needsWeightFetch(member, other.name))
    const maxCount = stagedModelLimit > 1 ? own.length : Math.max(0, Math.min(Math.floor(own.length * maxReplacedFraction), own.length - minKeptReplicaCount))
    // Those that have begun come first, so that a changed order of the replicas leads to no more staging.
    return [...own.filter(isBegun), ...own.filter(replica => !isBegun(replica))].slice(0, maxCount)
      .flatMap(replica => replica.members)
      .filter(member => needsWeightFetch(member, other.name))
      .map(server => ({ server, model: other.name }))
  })
}

/** Returns the other model with the largest share. */
function findOtherModel (model: ReplicatedModel, models: readonly ReplicatedModel[]): ReplicatedModel | undefined {
  return models.filter(candidate => candidate.name !== model.name).sort((left, right) => right.share - left.share)[0]
}

/** Sorts replicas so that each key has its turn. */
function sortByTurns (replicas: readonly SupplyReplica[], getKey: (replica: SupplyReplica) => string): SupplyReplica[] {
  const turns = new Map<string, number>()
  const ranked = [...replicas].sort((left, right) => left.id < right.id ? -1 : 1).map(replica => {
    const turn = turns.get(getKey(replica)) ?? 0
    turns.set(getKey(replica), turn + 1)
    return { replica, turn }
  })
  return ranked.sort((left, right) => left.turn - right.turn).map(({ replica }) => replica)
}
