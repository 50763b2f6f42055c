import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { PlannerSummary } from './planner-types.js'
import { listServersByDomain } from './settled-domains.js'

/** State of a plan by replica and server. */
export interface PlanState {
  /** Open replicas with all members usable. */
  readonly openIntact: readonly Replica[]
  readonly forming: ReadonlyArray<{ readonly groupName: string, readonly joinedIds: ReadonlySet<string>, readonly members: readonly BackendServer[] }>
  readonly dissolvingIds: readonly string[]
  readonly free: readonly BackendServer[]
  readonly unusableCount: number
}

/** Formats the state of a plan as the fields of a log line. */
export function summarizePlan ({ openIntact, forming, dissolvingIds, free, unusableCount }: PlanState): PlannerSummary {
  return {
    openGroups: countNames(openIntact.map(replica => replica.model?.name ?? '')),
    formingGroups: forming.map(replica => `${replica.groupName} ${replica.joinedIds.size}/${replica.members.length}`).join(', '),
    dissolvingGroups: dissolvingIds.join(', '),
    freeServers: [...listServersByDomain(free)].map(([domain, servers]) =>
      `${domain}: ${servers.map(server => server.stagedModels[0] ?? 'empty').join(' ')}`).join('; '),
    unusableCount
  }
}

function countNames (names: readonly string[]): string {
  const counts = new Map<string, number>()
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1)
  return [...counts].sort().map(([name, count]) => `${name} ${count}`).join(', ')
}
