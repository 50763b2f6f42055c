import type { BackendServer } from '../../state/backend-server.js'
import { countLiveExecutions, type PossibleExecution } from './possible-executions.js'

/** The attempts of one stream so far. */
export interface AttemptCounts {
  /** Servers that may have executed the request, or may be doing so. */
  readonly executions: readonly PossibleExecution[]
  /** Attempts that no server executed. */
  readonly notExecutedCount: number
  /** Servers of the service that still run. */
  readonly servers: readonly BackendServer[]
  /** Whether the stream may be resumed. */
  readonly mayRepeat: boolean
  /** The route's limit on servers. Those that have terminated since don't count. */
  readonly maxAttempts: number
}

/** Limit on the further attempts of a call after attempts that no server executed, for streams and plain calls alike. */
export const maxNotExecutedRetryCount = 3
/** Limit on possible executions in total, while the route's `maxAttempts` limits those on servers that are still alive. */
const maxPossibleExecutionCount = 4

/** Servers at which one more attempt may run. */
export enum AttemptScope {
  AnyServer = 'anyServer',
  /** Those that may have executed the request: `maxAttempts` limits servers, and one of these is no further server. */
  KnownServers = 'knownServers',
  None = 'none'
}

/** Where the limits on attempts allow one more. */
export function getAttemptScope ({ executions, notExecutedCount, servers, mayRepeat, maxAttempts }: AttemptCounts): AttemptScope {
  if (notExecutedCount > maxNotExecutedRetryCount) return AttemptScope.None
  if (executions.length === 0) return AttemptScope.AnyServer
  if (!mayRepeat || executions.length >= maxPossibleExecutionCount) return AttemptScope.None
  return countLiveExecutions(executions, servers) < maxAttempts ? AttemptScope.AnyServer : AttemptScope.KnownServers
}
