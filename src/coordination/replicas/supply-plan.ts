import type { BackendServer } from '../../state/backend-server.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { needsWeightFetch } from './domain-layout.js'

/** An open replica that may give up its servers. */
export interface SupplyReplica {
  readonly id: string
  readonly model: ReplicatedModel
  readonly domain: string
  readonly members: readonly BackendServer[]
  /** Streams of all gateways on the replica. */
  readonly streamCount: number
}

/** Supply of a service and the demand for its models. */
export interface SupplyState {
  readonly models: readonly ReplicatedModel[]
  readonly replicas: readonly SupplyReplica[]
  /** Servers that serve each model, or will once the changes in progress have ended. */
  readonly serverCounts: ReadonlyMap<string, number>
  /** Those of them whose replicas were lost and may not be formed again; a model gives up no servers on their account. */
  readonly recoveringCounts: ReadonlyMap<string, number>
  /** Servers that the requests keep busy by model, in each second of the time that a change needs as evidence. */
  readonly demandSeconds: ReadonlyArray<ReadonlyMap<string, number>>
  /** Servers that may begin to change now. */
  readonly maxChangingServerCount: number
  /** Servers that are fetching weights, by ID. */
  isFetching (serverId: string): boolean
}

/** Replicas of one domain that give up their servers to another model. */
export interface SupplyChange {
  readonly from: ReplicatedModel
  readonly to: ReplicatedModel
  readonly replicas: readonly SupplyReplica[]
  /** Whether all members have the other model on their hosts. */
  readonly isStaged: boolean
  /** Members that have to fetch the other model's weights first and are not fetching. */
  readonly unstaged: readonly BackendServer[]
}

/** Below this utilization a model is not short: it could serve twice the usual rate, which bursts reach. */
const minShortUtilization = 0.5
/** A model above this utilization is short itself, since requests then wait for slots in bursts of a few streams. */
const maxGivingUtilization = 0.8
/** The model that gives up servers is at least this much less utilized afterwards; by less, the change is not worth its time. */
const minUtilizationRatio = 1.05
/** Servers of a change that must be part of a new group; the others would be idle. */
const minUsedFraction = 0.75
/** Replicas beyond the fewest that a change may take, to leave fewer servers over. */
const maxExtraReplicaCount = 3
/** A replica with members that only wait for their fetches is preferred to one that has to begin even one. */
const unstagedWeight = 1000

/** Returns demand divided by supply. */
export function getUtilization (demand: number, serverCount: number): number {
  if (demand === 0) return 0
  return serverCount > 0 ? demand / serverCount : Infinity
}

/** Chooses the next change that brings supply closer to demand; undefined when there is none that is worthwhile in each second. */
export function chooseSupplyChange (state: SupplyState): SupplyChange | undefined {
  const latest = state.demandSeconds[0]
  if (latest === undefined) return undefined
  const getCount = (model: ReplicatedModel) => state.serverCounts.get(model.name) ?? 0
  const byUtilization = [...state.models].sort((left, right) =>
    getUtilization(latest.get(right.name) ?? 0, getCount(right)) - getUtilization(latest.get(left.name) ?? 0, getCount(left)))
  // The most utilized model gets servers first, from the least utilized one if possible.
  for (const to of byUtilization) {
    for (const from of [...byUtilization].reverse()) {
      const change = from === to ? undefined : chooseChangeBetween(state, from, to)
      if (change !== undefined) return change
    }
  }
  return undefined
}

function chooseChangeBetween (state: SupplyState, from: ReplicatedModel, to: ReplicatedModel): SupplyChange | undefined {
  const replicaCount = countReplicas(from, to)
  const giving = state.replicas.filter(replica => replica.model.name === from.name)
  if (replicaCount === undefined || giving.length <= replicaCount) return undefined
  const releasedCount = replicaCount * from.groupSize
  if (releasedCount > state.maxChangingServerCount || !isWorthwhile(state, from, to, releasedCount)) return undefined
  const replicas = pickGivingReplicas(giving, replicaCount, server => rateUnreadiness(state, server, to))
  if (replicas === undefined) return undefined
  const members = replicas.flatMap(replica => replica.members).filter(member => needsWeightFetch(member, to.name))
  return { from, to, replicas, isStaged: members.length === 0, unstaged: members.filter(member => !state.isFetching(member.id)) }
}

/** Returns the fewest replicas of one model whose servers make up whole groups of another, nearly all of them. */
function countReplicas (from: ReplicatedModel, to: ReplicatedModel): number | undefined {
  const fewest = Math.ceil(to.groupSize / from.groupSize)
  return Array.from({ length: maxExtraReplicaCount + 1 }, (_, index) => fewest + index).find(count => {
    const releasedCount = count * from.groupSize
    return Math.floor(releasedCount / to.groupSize) * to.groupSize >= minUsedFraction * releasedCount
  })
}

function isWorthwhile ({ demandSeconds, serverCounts, recoveringCounts }: SupplyState, from: ReplicatedModel, to: ReplicatedModel, releasedCount: number): boolean {
  const fromCount = (serverCounts.get(from.name) ?? 0) - (recoveringCounts.get(from.name) ?? 0) - releasedCount
  return demandSeconds.every(demand => {
    const toUtilization = getUtilization(demand.get(to.name) ?? 0, serverCounts.get(to.name) ?? 0)
    const fromUtilization = getUtilization(demand.get(from.name) ?? 0, fromCount)
    return toUtilization >= minShortUtilization && fromUtilization <= maxGivingUtilization && toUtilization >= fromUtilization * minUtilizationRatio
  })
}

function rateUnreadiness ({ isFetching }: SupplyState, server: BackendServer, model: ReplicatedModel): number {
  if (!needsWeightFetch(server, model.name)) return 0
  return isFetching(server.id) ? 1 : unstagedWeight
}

/**
 * Picks replicas of one domain: those whose members are the readiest, then those of the zone with the most replicas
 * of the model, so that it stays in each zone, then those with the fewest streams.
 */
function pickGivingReplicas (giving: readonly SupplyReplica[], count: number, rate: (server: BackendServer) => number): SupplyReplica[] | undefined {
  const rated = giving.map(replica => ({
    replica,
    unreadiness: replica.members.reduce((sum, member) => sum + rate(member), 0),
    zoneCount: giving.filter(other => getZone(other) === getZone(replica)).length
  })).sort((left, right) => left.unreadiness - right.unreadiness || right.zoneCount - left.zoneCount ||
    left.replica.streamCount - right.replica.streamCount || (left.replica.id < right.replica.id ? -1 : 1))
  const sets = [...new Set(rated.map(({ replica }) => replica.domain))].map(domain => {
    const picked = rated.filter(({ replica }) => replica.domain === domain).slice(0, count)
    const sum = (get: (item: (typeof rated)[number]) => number) => picked.reduce((total, item) => total + get(item), 0)
    return { picked, unreadiness: sum(item => item.unreadiness), zoneCount: sum(item => item.zoneCount), streamCount: sum(item => item.replica.streamCount) }
  }).filter(({ picked }) => picked.length === count)
  sets.sort((left, right) => left.unreadiness - right.unreadiness || right.zoneCount - left.zoneCount || left.streamCount - right.streamCount)
  return sets[0]?.picked.map(({ replica }) => replica)
}

function getZone (replica: SupplyReplica): string {
  return replica.members[0]?.zone ?? ''
}
