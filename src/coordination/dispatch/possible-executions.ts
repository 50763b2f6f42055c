import type { BackendServer } from '../../state/backend-server.js'

/** A server process that may have executed a request. */
export interface PossibleExecution {
  readonly serverId: string
  readonly startedAtMs: number
}

/** Identifies the process of a server to which a request was sent. */
export function toPossibleExecution ({ id, startedAtMs }: BackendServer): PossibleExecution {
  return { serverId: id, startedAtMs }
}

/**
 * Counts the servers that may have executed a request and still run as the same process. A leader counts
 * even when its replica was closed or has lost a member; a server that ended or restarted does not.
 */
export function countLiveExecutions (executions: readonly PossibleExecution[], servers: readonly BackendServer[]): number {
  const isLive = ({ serverId, startedAtMs }: PossibleExecution) =>
    servers.some(server => server.id === serverId && server.startedAtMs === startedAtMs)
  return new Set(executions.filter(isLive).map(run => run.serverId)).size
}
