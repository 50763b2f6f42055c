import { MemberState, type BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'

/** A replica that is being formed. */
export interface FormingReplica {
  readonly domain: string
  readonly model: ReplicatedModel
  readonly groupName: string
  readonly epoch: number
  /** In rank order; the first becomes the leader. */
  readonly members: readonly BackendServer[]
  /** Members that accepted the join command. */
  readonly joinedIds: Set<string>
  readonly startedAtMs: number
  /** An open command was sent; the leader may be serving even if the server list does not show it yet. */
  isOpening: boolean
  /** The replica was formed by an earlier planner. Its members refuse late commands of that planner once they have one of this planner. */
  readonly isAdopted: boolean
}

export function isMemberOf (server: BackendServer, { groupName, epoch }: FormingReplica): boolean {
  return server.group?.groupName === groupName && server.group.epoch === epoch
}

export function isReadyOrOpenIn (server: BackendServer, replica: FormingReplica): boolean {
  return isMemberOf(server, replica) && (server.group?.state === MemberState.Ready || server.group?.state === MemberState.Open)
}

/** Counts the servers of each model in replicas that exist or are being formed. */
export function countServersByModel (existing: ReadonlyArray<Pick<Replica, 'model'>>, forming: readonly FormingReplica[]): Map<string, number> {
  const counts = new Map<string, number>()
  const models = [...existing.map(replica => replica.model), ...forming.map(replica => replica.model)]
  for (const model of models) {
    if (model !== undefined) counts.set(model.name, (counts.get(model.name) ?? 0) + model.groupSize)
  }
  return counts
}

/** Returns the model names of a domain's replicas. */
export function listDomainModels (domain: string, existing: readonly Replica[], forming: readonly FormingReplica[]): Set<string> {
  const models = [...existing, ...forming].filter(replica => replica.domain === domain).map(replica => replica.model)
  return new Set(models.flatMap(model => model?.name ?? []))
}
