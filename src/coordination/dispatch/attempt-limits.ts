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

/** Whether the limits on attempts allow one more. */
export function allowsAnotherAttempt ({ executions, notExecutedCount, servers, mayRepeat, maxAttempts }: AttemptCounts): boolean {
  if (notExecutedCount > maxNotExecutedRetryCount) return false
  if (executions.length === 0) return true
  return mayRepeat && executions.length < maxPossibleExecutionCount && countLiveExecutions(executions, servers) < maxAttempts
}
