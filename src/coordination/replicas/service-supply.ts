import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { statesTimes } from '../demand/group-time.js'
import type { PlannerInput } from './planner-types.js'
import type { ReplicaDissolver } from './replica-dissolver.js'
import { countServersByModel, type FormingReplica } from './replica-transitions.js'
import { listStagingWishes, type StagingWish } from './staging-plan.js'
import { listSupply, type SupplyChanges, type SupplyDecision } from './supply-changes.js'
import type { SupplyReplica } from './supply-plan.js'
import { maxDirectCount } from '../relay/relay-plan.js'
import { needsWeightFetch } from './domain-layout.js'
import type { WeightFetchTracker } from './weight-fetch-tracker.js'

/** The state of the planner that supply depends on. */
export interface ServiceSupplyOptions {
  readonly forming: ReadonlyMap<string, FormingReplica>
  readonly dissolver: ReplicaDissolver
  readonly fetches: WeightFetchTracker
  readonly changes: SupplyChanges
  isIntact (replica: Replica): boolean
}

/** What to do to change the split between models. */
export interface SupplySteps {
  readonly decisions: readonly SupplyDecision[]
  /** Replicas that give up their servers to a model. */
  readonly closing: ReadonlyArray<{ readonly replica: Replica, readonly target: ReplicatedModel }>
  /** What members of open replicas should stage before they can change. */
  readonly staging: readonly StagingWish[]
}

/** Compares the supply of a service, as its planner knows it, with the demand. */
export interface ServiceSupply {
  plan (input: PlannerInput): SupplySteps
  /** Lists what members of open replicas should stage before the first client request, once nothing else needs a fetch. */
  listEarlyStaging (input: PlannerInput, free: readonly BackendServer[]): StagingWish[]
  /** Counts the servers that serve each model, or will once the changes in progress have ended. */
  countServers (input: PlannerInput): Map<string, number>
}

/** Fraction of the concurrent fetches up to which servers stage a model that is short; the others stay free for lost replicas. */
const maxStagingFraction = 0.5

/**
 * Whether the split may follow the demand. In a small fleet each model has a few replicas, whose losses within a day exceed what a
 * change gains: they need the servers that have their weights staged.
 */
function isApplicable ({ demand }: PlannerInput): boolean {
  return demand !== undefined && demand.listedGatewayCount > maxDirectCount
}

/** Creates the view of a planner's supply. */
export function createServiceSupply ({ forming, dissolver, fetches, changes, isIntact }: ServiceSupplyOptions): ServiceSupply {
  function listServing ({ replicas, getStreamCount, isZoneEvacuated }: PlannerInput): SupplyReplica[] {
    const isEvacuated = ({ members }: Replica) => members.some(({ zone }) => isZoneEvacuated(zone))
    return listSupply(replicas, replica => replica.isOpen && isIntact(replica) && !dissolver.has(replica.id) && !isEvacuated(replica), getStreamCount ?? (() => 0))
  }

  /** Replicas that are being closed for another model. */
  function listChanging ({ replicas }: PlannerInput): Replica[] {
    return replicas.filter(replica => dissolver.getTarget(replica.id) !== undefined)
  }

  /** Lost replicas that are being replaced; their model is expected to have as many again. */
  function listRecovering ({ replicas }: PlannerInput): Replica[] {
    return replicas.filter(replica => dissolver.has(replica.id) && dissolver.getTarget(replica.id) === undefined)
  }

  function listReserved ({ servers, nowMs }: PlannerInput): string[] {
    return servers.flatMap(server => changes.getReservedModel(server, nowMs) ?? [])
  }

  function countServers (input: PlannerInput): Map<string, number> {
    const counts = countServersByModel([...listServing(input), ...listRecovering(input)], [...forming.values()])
    const add = (model: string, count: number) => counts.set(model, (counts.get(model) ?? 0) + count)
    for (const replica of listChanging(input)) add(dissolver.getTarget(replica.id)?.name ?? '', replica.members.length)
    for (const model of listReserved(input)) add(model, 1)
    return counts
  }

  /** Whether a lost replica may need fetches soon. */
  function mayNeedFetches (input: PlannerInput): boolean {
    return listRecovering(input).length > 0 || [...forming.values()].some(({ members, joinedIds, model }) =>
      members.some(member => !joinedIds.has(member.id) && needsWeightFetch(member, model.name)))
  }

  function listStaging (input: PlannerInput, decisions: readonly SupplyDecision[]): StagingWish[] {
    if (mayNeedFetches(input)) return []
    const limit = Math.floor(input.engine.maxConcurrentLoads * maxStagingFraction) - fetches.count()
    return decisions.filter(({ change }) => !change.isStaged)
      .flatMap(({ change }) => change.unstaged.map(server => ({ server, model: change.to.name })))
      .slice(0, Math.max(0, limit))
  }

  return {
    countServers,
    plan (input) {
      if (isApplicable(input)) changes.observe(input.demand, input.nowMs)
      if (input.demand === undefined || !isApplicable(input)) return { decisions: [], closing: [], staging: [] }
      const changingReplicas = [...listChanging(input), ...forming.values()]
      const decisions = changes.choose({
        nowMs: input.nowMs,
        models: input.engine.models,
        replicas: listServing(input),
        serverCounts: countServers(input),
        recoveringCounts: countServersByModel(listRecovering(input), []),
        serverCount: input.servers.length,
        changingServerCount: listReserved(input).length + changingReplicas.reduce((sum, { members }) => sum + members.length, 0),
        isFetching: fetches.has
      })
      const closing = decisions.filter(({ change }) => change.isStaged).flatMap(({ change }) => change.replicas.flatMap(({ id }) => {
        const replica = input.replicas.find(candidate => candidate.id === id)
        return replica === undefined ? [] : { replica, target: change.to }
      }))
      return { decisions, closing, staging: listStaging(input, decisions) }
    },
    listEarlyStaging (input, free) {
      const { models, stagedModelLimit } = input.engine
      const needsFetches = [...forming.values()].some(replica => replica.joinedIds.size < replica.members.length) ||
        free.some(server => server.stagedModels.length === 0)
      if (!isApplicable(input) || !statesTimes(input.engine) || models.length < 2 || needsFetches) return []
      const replicas = listServing(input).map(replica => ({ ...replica, members: replica.members.map(fetches.withFetchedModel) }))
      return listStagingWishes({ models, replicas, stagedModelLimit })
    }
  }
}
