import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'

/** A group that is being formed. */
export interface Forming {
  readonly domain: string
  readonly model: ReplicatedModel
  readonly groupName: string
  readonly epoch: number
  readonly members: readonly BackendServer[]
  readonly joinedIds: Set<string>
  readonly startedAtMs: number
  /** An order to open was sent, so that the leader may serve whatever the list shows. */
  isOpening: boolean
  /** Formed by an earlier planner, whose late orders the members refuse once they have one of this planner. */
  readonly isAdopted: boolean
}

/** A group that lost a member and whose servers are to be released. */
export interface Dissolving {
  readonly startedAtMs: number
  /** When a member is known to have left; from then on the leader stands still. */
  memberLostAtMs: number | undefined
  /** The leader has accepted to stop serving, and refuses older planners. */
  isClosed: boolean
}

/** Counts the servers of each model in groups that stand or are being formed. */
export function countServers (standing: readonly Replica[], forming: readonly Forming[]): Map<string, number> {
  const counts = new Map<string, number>()
  const models = [...standing.map(replica => replica.model), ...forming.map(group => group.model)]
  for (const model of models) {
    if (model !== undefined) counts.set(model.name, (counts.get(model.name) ?? 0) + model.groupSize)
  }
  return counts
}

/** Lists the models of a domain's groups. */
export function listModels (domain: string, standing: readonly Replica[], forming: readonly Forming[]): Set<string> {
  const models = [...standing, ...forming].filter(group => group.domain === domain).map(group => group.model)
  return new Set(models.flatMap(model => model?.name ?? []))
}
