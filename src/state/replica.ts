import { MemberState, ServerState, type BackendServer } from './backend-server.js'
import type { EngineProfile, ReplicatedModel } from './serving-config.js'

/** The servers that report the same group and epoch. */
export interface Replica {
  /** Group name and epoch; never used again for another list of members. */
  readonly id: string
  readonly groupName: string
  readonly epoch: number
  readonly serviceName: string
  readonly domain: string
  /** Undefined when no member reports a model that the configuration knows. */
  readonly model: ReplicatedModel | undefined
  /** Sorted by rank; those that are gone are missing. */
  readonly members: readonly BackendServer[]
  readonly leader: BackendServer | undefined
  /** As many distinct ranks as the model's size, none of a server that is leaving. */
  readonly isComplete: boolean
  /** The leader takes requests. */
  readonly isOpen: boolean
}

/** Names a group at one epoch. */
export function formatReplicaId (groupName: string, epoch: number): string {
  return `${groupName}/${epoch}`
}

/** Finds the groups of a service in what its servers report. */
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

/** A group's name begins with its model, so that the model is known while the members still load it. */
export function formatGroupName (model: string, sequence: string): string {
  return `${model}.${sequence}`
}

const sparePart = '.spare-'

/** Names the group of one that a spare joins so that it has its model at hand; it is never opened. */
export function formatSpareGroupName (model: string, epoch: number): string {
  return `${model}${sparePart}${epoch}`
}

export function isSpareGroup (groupName: string): boolean {
  return groupName.includes(sparePart)
}

function findModel (groupName: string, members: readonly BackendServer[], engine: EngineProfile): ReplicatedModel | undefined {
  const nameEnd = groupName.lastIndexOf('.')
  const named = engine.models.find(model => model.name === groupName.slice(0, nameEnd))
  return named ?? engine.models.find(model => members[0]?.loadedModels.includes(model.name))
}
