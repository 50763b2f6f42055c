import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { PlannerSummary } from './planner-types.js'
import { groupByDomain } from './settled-domains.js'

export interface PlanState {
  /** Open groups with all members. */
  readonly intact: readonly Replica[]
  readonly forming: ReadonlyArray<{ readonly groupName: string, readonly joinedIds: ReadonlySet<string>, readonly members: readonly BackendServer[] }>
  readonly dissolvingIds: readonly string[]
  readonly free: readonly BackendServer[]
  readonly unusableCount: number
}

/** Describes the state of a plan for a log line. */
export function summarizePlan ({ intact, forming, dissolvingIds, free, unusableCount }: PlanState): PlannerSummary {
  return {
    openGroups: countNames(intact.map(replica => replica.model?.name ?? '')),
    formingGroups: forming.map(group => `${group.groupName} ${group.joinedIds.size}/${group.members.length}`).join(', '),
    dissolvingGroups: dissolvingIds.join(', '),
    freeServers: [...groupByDomain(free)].map(([domain, servers]) =>
      `${domain}: ${servers.map(server => server.stagedModels[0] ?? 'empty').join(' ')}`).join('; '),
    unusableCount
  }
}

function countNames (names: readonly string[]): string {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return [...counts].sort().map(([name, count]) => `${name} ${count}`).join(', ')
}
