import type { BackendServer } from '../../state/backend-server.js'
import { isSpareGroup } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'

/** A group to form next. */
export interface NewGroup {
  readonly model: ReplicatedModel
  readonly members: readonly BackendServer[]
}

export interface LayoutInput {
  readonly models: readonly ReplicatedModel[]
  /** Servers of one fabric domain that belong to no group. */
  readonly free: readonly BackendServer[]
  /** Servers in groups or about to be, of the whole service, by model. */
  readonly serverCounts: ReadonlyMap<string, number>
  /** Whether a group may need the weight store. */
  readonly mayLoad: boolean
  /** Free servers that stay spares when a group would be formed mostly by loads. */
  readonly spareCount: number
  readonly domain: DomainSituation
}

/** A fabric domain as a whole. */
export interface DomainSituation {
  /** Servers of a whole domain; all are taken to be of one size. */
  readonly capacity: number
  /** Models of the groups in it. */
  readonly models: ReadonlySet<string>
}

const minGroupsOfRoomyDomain = 2

/** How soon a server could serve a model: less is sooner. */
export function rankPreparation (server: BackendServer, model: string): number {
  if (server.loadedModels.includes(model)) return 0
  return server.stagedModels.includes(model) ? 1 : 2
}

/** Whether serving the model needs the weight store. */
export function needsLoad (server: BackendServer, model: string): boolean {
  return rankPreparation(server, model) === 2
}

/**
 * Chooses the group to form from a domain's free servers: of the models that fit, one that needs no
 * load first, then the domain's own where it keeps to one, then the one whose part of the servers is
 * farthest below its share of the work. A model that is ahead of another one by more than a group of
 * that one, or by more than a domain of its own, waits for servers that fit the other.
 */
export function chooseNewGroup ({ models, free, serverCounts, mayLoad, spareCount, domain }: LayoutInput): NewGroup | undefined {
  const saturations = new Map(models.map(model => [model, (serverCounts.get(model.name) ?? 0) / getShare(model)]))
  const groupLimit = Math.min(...models.map(model => (saturations.get(model) ?? 0) + model.groupSize / getShare(model)))
  const ownModel = findOwnModel(domain, models)
  const getLimit = (model: ReplicatedModel) =>
    model === ownModel ? Math.min(...saturations.values()) + domain.capacity / getShare(model) : groupLimit
  const candidates = models.filter(model => free.length >= model.groupSize).map(model => {
    const members = pickMembers(free, model)
    const loadCount = members.filter(member => needsLoad(member, model.name)).length
    return { model, members, loadCount, saturation: saturations.get(model) ?? 0 }
  }).filter(({ model, loadCount, saturation }) => {
    if (loadCount === 0) return true
    const isRepair = loadCount * 2 <= model.groupSize
    return mayLoad && saturation < getLimit(model) && (isRepair || free.length - spareCount >= model.groupSize)
  })
  candidates.sort((left, right) => Math.sign(left.loadCount) - Math.sign(right.loadCount) ||
    Number(right.model === ownModel) - Number(left.model === ownModel) ||
    left.saturation - right.saturation || right.model.groupSize - left.model.groupSize)
  const best = candidates[0]
  return best === undefined ? undefined : { model: best.model, members: best.members }
}

/**
 * The one model of a domain that has room for several groups of each model. There the members of lost groups
 * replace those of others, so that only as many servers are idle as are too few for a group.
 */
function findOwnModel ({ capacity, models: present }: DomainSituation, models: readonly ReplicatedModel[]): ReplicatedModel | undefined {
  const isRoomy = models.every(model => capacity >= model.groupSize * minGroupsOfRoomyDomain)
  return isRoomy && present.size === 1 ? models.find(model => present.has(model.name)) : undefined
}

function getShare (model: ReplicatedModel): number {
  return Math.max(model.share, 0.01)
}

/**
 * Chooses the servers of a group. Servers prepared for another model come last, since they replace
 * members of its groups sooner than an empty one.
 */
function pickMembers (free: readonly BackendServer[], model: ReplicatedModel): BackendServer[] {
  return [...free].sort((left, right) => rankPreparation(left, model.name) - rankPreparation(right, model.name) ||
    left.stagedModels.length - right.stagedModels.length || (left.id < right.id ? -1 : 1)).slice(0, model.groupSize)
}

/** The staged model that a spare does not have loaded, unless its group of one is about to load it. */
export function findUnloadedModel (server: BackendServer, models: readonly ReplicatedModel[]): string | undefined {
  if (server.group !== undefined && isSpareGroup(server.group.groupName)) return undefined
  return models.find(model => rankPreparation(server, model.name) === 1 && server.loadedModels.length === 0)?.name
}

export interface StagingInput {
  readonly server: BackendServer
  /** The domain's other free servers. */
  readonly others: readonly BackendServer[]
  readonly models: readonly ReplicatedModel[]
  readonly domain: DomainSituation
}

/** Chooses the model that a free server should stage, given those that the domain's other free servers have. */
export function chooseStaging ({ server, others, models, domain }: StagingInput): string | undefined {
  if (server.stagedModels.length > 0) return undefined
  const ownModel = findOwnModel(domain, models)
  if (ownModel !== undefined) return ownModel.name
  const counts = models.map(model => ({
    model,
    stagedCount: others.filter(other => other.stagedModels.includes(model.name)).length
  }))
  counts.sort((left, right) => left.stagedCount - right.stagedCount || right.model.groupSize - left.model.groupSize)
  return counts[0]?.model.name
}
