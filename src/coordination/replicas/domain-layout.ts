import type { BackendServer } from '../../state/backend-server.js'
import { isSpareGroup } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'

/** A replica to form next. */
export interface NewReplica {
  readonly model: ReplicatedModel
  readonly members: readonly BackendServer[]
}

/** State of a domain and of the whole service on which the next replica depends. */
export interface LayoutInput {
  readonly models: readonly ReplicatedModel[]
  /** Servers of one fabric domain that can join a new replica. */
  readonly free: readonly BackendServer[]
  /** Servers of the whole service in replicas that exist or are being formed, by model. */
  readonly serverCounts: ReadonlyMap<string, number>
  /** Whether a replica that needs loads from the weight store may be chosen. */
  readonly canLoad: boolean
  /** Free servers to keep as spares when more than half of a replica would have to load. */
  readonly spareCount: number
  readonly domain: DomainState
}

/** Properties of a fabric domain. */
export interface DomainState {
  /** Servers of a full domain; all domains are assumed to have the same size. */
  readonly capacity: number
  /** Names of the models of the domain's replicas. */
  readonly models: ReadonlySet<string>
}

const minReplicasPerModelInLargeDomain = 2

/** Ranks how soon a server can serve a model: 0 when it is loaded, 1 when it is staged on the host, 2 when it is neither. */
export function rankReadiness (server: BackendServer, model: string): number {
  if (server.loadedModels.includes(model)) return 0
  return server.stagedModels.includes(model) ? 1 : 2
}

/** Whether the server has to load the model from the weight store. */
export function needsLoad (server: BackendServer, model: string): boolean {
  return rankReadiness(server, model) === 2
}

/**
 * Chooses the next replica to form from a domain's free servers. Among the models with enough free servers it prefers
 * one that needs no load, then the domain's dedicated model, then the model with the fewest servers relative to its
 * share. A model that is ahead of another one by a replica of that one gets no further replica that needs a load, so
 * servers stay free for the other model. The dedicated model may be ahead by a full domain.
 */
export function chooseNewReplica ({ models, free, serverCounts, canLoad, spareCount, domain }: LayoutInput): NewReplica | undefined {
  const saturations = new Map(models.map(model => [model, (serverCounts.get(model.name) ?? 0) / getShare(model)]))
  const replicaLimit = Math.min(...models.map(model => (saturations.get(model) ?? 0) + model.groupSize / getShare(model)))
  const dedicatedModel = findDedicatedModel(domain, models)
  const getLimit = (model: ReplicatedModel) =>
    model === dedicatedModel ? Math.min(...saturations.values()) + domain.capacity / getShare(model) : replicaLimit
  const candidates = models.filter(model => free.length >= model.groupSize).map(model => {
    const members = pickMembers(free, model)
    const loadCount = members.filter(member => needsLoad(member, model.name)).length
    return { model, members, loadCount, saturation: saturations.get(model) ?? 0 }
  }).filter(({ model, loadCount, saturation }) => {
    if (loadCount === 0) return true
    const isRepair = loadCount * 2 <= model.groupSize
    return canLoad && saturation < getLimit(model) && (isRepair || free.length - spareCount >= model.groupSize)
  })
  candidates.sort((left, right) => Math.sign(left.loadCount) - Math.sign(right.loadCount) ||
    Number(right.model === dedicatedModel) - Number(left.model === dedicatedModel) ||
    left.saturation - right.saturation || right.model.groupSize - left.model.groupSize)
  const best = candidates[0]
  return best === undefined ? undefined : { model: best.model, members: best.members }
}

/**
 * Returns the model to which a domain is dedicated: the only one present in a domain with room for several replicas of
 * each model. Members of lost replicas can then replace lost members of other replicas, and fewer servers stay idle than
 * one replica needs.
 */
function findDedicatedModel ({ capacity, models: present }: DomainState, models: readonly ReplicatedModel[]): ReplicatedModel | undefined {
  const isLarge = models.every(model => capacity >= model.groupSize * minReplicasPerModelInLargeDomain)
  return isLarge && present.size === 1 ? models.find(model => present.has(model.name)) : undefined
}

function getShare (model: ReplicatedModel): number {
  return Math.max(model.share, 0.01)
}

/**
 * Chooses the members of a replica. Servers with another staged model come last: they can replace members of
 * that model's replicas faster than a server without weights.
 */
function pickMembers (free: readonly BackendServer[], model: ReplicatedModel): BackendServer[] {
  return [...free].sort((left, right) => rankReadiness(left, model.name) - rankReadiness(right, model.name) ||
    left.stagedModels.length - right.stagedModels.length || (left.id < right.id ? -1 : 1)).slice(0, model.groupSize)
}

/** Returns the model that a spare has staged but not loaded; undefined when there is none or the spare is in a group of its own that loads it. */
export function findUnloadedModel (server: BackendServer, models: readonly ReplicatedModel[]): string | undefined {
  if (server.group !== undefined && isSpareGroup(server.group.groupName)) return undefined
  return models.find(model => rankReadiness(server, model.name) === 1 && server.loadedModels.length === 0)?.name
}

export interface StagingInput {
  readonly server: BackendServer
  /** The domain's other free servers. */
  readonly others: readonly BackendServer[]
  readonly models: readonly ReplicatedModel[]
  readonly domain: DomainState
}

/** Chooses the model that a free server should stage: the domain's dedicated model, or the one that the fewest other free servers have staged. */
export function chooseModelToStage ({ server, others, models, domain }: StagingInput): string | undefined {
  if (server.stagedModels.length > 0) return undefined
  const dedicatedModel = findDedicatedModel(domain, models)
  if (dedicatedModel !== undefined) return dedicatedModel.name
  const counts = models.map(model => ({
    model,
    stagedCount: others.filter(other => other.stagedModels.includes(model.name)).length
  }))
  counts.sort((left, right) => left.stagedCount - right.stagedCount || right.model.groupSize - left.model.groupSize)
  return counts[0]?.model.name
}
