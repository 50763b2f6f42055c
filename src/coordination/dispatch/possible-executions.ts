import type { BackendServer } from '../../state/backend-server.js'

/** A server that may have run a request. */
export interface PossibleExecution {
  readonly serverId: string
  readonly startedAtMs: number
}

/** Notes a server to which a request was sent. */
export function toPossibleExecution ({ id, startedAtMs }: BackendServer): PossibleExecution {
  return { serverId: id, startedAtMs }
}

/**
 * Counts the servers that may have run a request and are still there. A leader whose group was closed or
 * has lost a member is still there; one that ended or started anew is not.
 */
export function countLiveExecutions (runs: readonly PossibleExecution[], servers: readonly BackendServer[]): number {
  const isStanding = ({ serverId, startedAtMs }: PossibleExecution) =>
    servers.some(server => server.id === serverId && server.startedAtMs === startedAtMs)
  return new Set(runs.filter(isStanding).map(run => run.serverId)).size
}
