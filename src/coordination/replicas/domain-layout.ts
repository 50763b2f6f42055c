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
  /** Whether a replica with members that need a fetch from the weight store may be chosen. */
  readonly canFetch: boolean
  /** Free servers that a new replica must leave over, unless at most half of its members need a fetch. */
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

/** Returns how far a server is from serving a model: 0 when it is loaded, 1 when it is staged on the host, 2 when it is neither. */
export function getUnreadiness (server: BackendServer, model: string): number {
  if (server.loadedModels.includes(model)) return 0
  return server.stagedModels.includes(model) ? 1 : 2
}

/** Whether the server has to fetch the model's weights from the weight store, since it is neither loaded nor staged. */
export function needsWeightFetch (server: BackendServer, model: string): boolean {
  return getUnreadiness(server, model) === 2
}

/**
 * Chooses the next replica to form from a domain's free servers. Among the models with enough free servers it prefers
 * one that needs no fetch, then the domain's dedicated model, then the one with the fewest servers per share.
 * A model gets no further replica that needs a fetch once its servers per share are at or above what any model would
 * have with one more replica. The dedicated model may exceed the lowest one by a full domain instead.
 */
export function chooseNewReplica ({ models, free, serverCounts, canFetch, spareCount, domain }: LayoutInput): NewReplica | undefined {
  // Servers of each model, divided by its share.
  const serversPerShareByModel = new Map(models.map(model => [model, (serverCounts.get(model.name) ?? 0) / getShare(model)]))
  const maxServersPerShare = Math.min(...models.map(model => (serversPerShareByModel.get(model) ?? 0) + model.groupSize / getShare(model)))
  const dedicatedModel = findDedicatedModel(domain, models)
  const getMaxServersPerShare = (model: ReplicatedModel) =>
    model === dedicatedModel ? Math.min(...serversPerShareByModel.values()) + domain.capacity / getShare(model) : maxServersPerShare
  const candidates = models.filter(model => free.length >= model.groupSize).map(model => {
    const members = pickMembers(free, model)
    const fetchCount = members.filter(member => needsWeightFetch(member, model.name)).length
    // Members that serve another model; their hosts have this one staged too.
    const changingCount = members.filter(member => member.loadedModels.length > 0 && getUnreadiness(member, model.name) > 0).length
    return { model, members, fetchCount, changingCount, serversPerShare: serversPerShareByModel.get(model) ?? 0 }
  }).filter(({ model, fetchCount, changingCount, serversPerShare }) => {
    // Survivors of a lost replica keep their model, whose next member may come soon, unless the other one is short.
    if (fetchCount === 0) return changingCount === 0 || serversPerShare < maxServersPerShare
    // Such a replica mostly reuses members of a lost one, so it may use the spares.
    const needsFewFetches = fetchCount * 2 <= model.groupSize
    return canFetch && serversPerShare < getMaxServersPerShare(model) && (needsFewFetches || free.length - spareCount >= model.groupSize)
  })
  candidates.sort((left, right) => Math.sign(left.fetchCount) - Math.sign(right.fetchCount) ||
    Math.sign(left.changingCount) - Math.sign(right.changingCount) || Number(right.model === dedicatedModel) - Number(left.model === dedicatedModel) ||
    left.serversPerShare - right.serversPerShare || right.model.groupSize - left.model.groupSize)
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

/** The lower limit avoids a division by zero for a model without a share. */
function getShare (model: ReplicatedModel): number {
  return Math.max(model.share, 0.01)
}

/**
 * Chooses the members of a replica: the servers that can serve the model soonest and, among equals, those with the
 * fewest staged models. Servers with another staged model can replace members of that model's replicas sooner.
 */
function pickMembers (free: readonly BackendServer[], model: ReplicatedModel): BackendServer[] {
  return [...free].sort((left, right) => getUnreadiness(left, model.name) - getUnreadiness(right, model.name) ||
    left.stagedModels.length - right.stagedModels.length || (left.id < right.id ? -1 : 1)).slice(0, model.groupSize)
}

/** Returns the model that a spare has staged but not loaded; undefined when there is none or the spare is in a group of its own that loads it. */
export function findUnloadedModel (server: BackendServer, models: readonly ReplicatedModel[]): string | undefined {
  if (server.group !== undefined && isSpareGroup(server.group.groupName)) return undefined
  return models.find(model => getUnreadiness(server, model.name) === 1 && server.loadedModels.length === 0)?.name
}

/** A free server and its domain. */
export interface StagingInput {
  readonly server: BackendServer
  /** The domain's other free servers. */
  readonly others: readonly BackendServer[]
  readonly models: readonly ReplicatedModel[]
  readonly domain: DomainState
}

/**
 * Chooses the model that a free server should stage: the domain's dedicated model, or the one that the fewest other
 * free servers have staged. Undefined when the server has a staged model already.
 */
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
