import { MemberState, ServerState, type BackendServer } from './backend-server.js'
import type { EngineProfile, ReplicatedModel } from './serving-config.js'

/** One serving copy of a model: the backend servers that report the same group name and epoch. */
export interface Replica {
  /** Group name and epoch; never reused for another set of members. */
  readonly id: string
  readonly groupName: string
  readonly epoch: number
  readonly serviceName: string
  readonly domain: string
  /** Undefined when neither the group name nor the loaded models of the first member name a configured model. */
  readonly model: ReplicatedModel | undefined
  /** Reporting members, sorted by rank; servers that are gone are not included. */
  readonly members: readonly BackendServer[]
  readonly leader: BackendServer | undefined
  /** Whether each rank of the model's group has exactly one member, and no member is draining. */
  readonly isComplete: boolean
  /** Whether the leader accepts requests. */
  readonly isOpen: boolean
}

/** Returns the replica id for a group name and epoch. */
export function formatReplicaId (groupName: string, epoch: number): string {
  return `${groupName}/${epoch}`
}

/** Lists the replicas that the servers of a service report; spares are left out. */
export function listReplicas (servers: readonly BackendServer[], engine: EngineProfile): Replica[] {
  const membersById = new Map<string, BackendServer[]>()
  for (const server of servers) {
    if (server.group === undefined || isSpareGroup(server.group.groupName)) continue
    const id = formatReplicaId(server.group.groupName, server.group.epoch)
    const members = membersById.get(id)
    if (members === undefined) membersById.set(id, [server])
    else members.push(server)
  }
  return [...membersById].map(([id, members]) => toReplica(id, members, engine))
}

function toReplica (id: string, unsorted: readonly BackendServer[], engine: EngineProfile): Replica {
  const members = [...unsorted].sort((left, right) => getRank(left) - getRank(right))
  const first = members[0] as BackendServer
  const group = first.group as NonNullable<BackendServer['group']>
  const leader = group.rank === 0 ? first : undefined
  const model = findModel(group.groupName, members, engine)
  const ranks = new Set(members.map(getRank))
  const isComplete = model !== undefined && leader !== undefined && ranks.size === model.groupSize &&
    members.length === model.groupSize && members.every(member => member.state === ServerState.Ready)
  return {
    id,
    groupName: group.groupName,
    epoch: group.epoch,
    serviceName: first.serviceName,
    domain: first.domain ?? '',
    model,
    members,
    leader,
    isComplete,
    isOpen: leader?.group?.state === MemberState.Open
  }
}

function getRank (server: BackendServer): number {
  return server.group?.rank ?? 0
}

/** Starts a group's name with its model, so that the model is known while the members still load it. */
export function formatGroupName (model: string, sequence: string): string {
  return `${model}.${sequence}`
}

const spareInfix = '.spare-'

/** Names the one-member group that a spare joins to preload its model; it is never opened. */
export function formatSpareGroupName (model: string, epoch: number): string {
  return `${model}${spareInfix}${epoch}`
}

/** Whether a group name is that of the one-member group of a spare. */
export function isSpareGroup (groupName: string): boolean {
  return groupName.includes(spareInfix)
}

function findModel (groupName: string, members: readonly BackendServer[], engine: EngineProfile): ReplicatedModel | undefined {
  const nameEnd = groupName.lastIndexOf('.')
  const named = engine.models.find(model => model.name === groupName.slice(0, nameEnd))
  return named ?? engine.models.find(model => members[0]?.loadedModels.includes(model.name))
}
