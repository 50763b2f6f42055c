import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import { toPossibleExecution, type PossibleExecution } from './possible-executions.js'

/** What became of an attempt of a stream. */
enum AttemptState {
  Running,
  /** Known not to have been executed. */
  Refused,
  /** Failed after it may have been executed. */
  Lost,
  /** Given up because another attempt delivered while its replica was silent. */
  Replaced
}

interface RecordedAttempt {
  readonly replicaId: string
  readonly execution: PossibleExecution
  state: AttemptState
  /** The replica may be asked again from this time on; set by a refusal. */
  refusedUntilMs: number
}

/** The attempts of one stream, and which replicas may be asked once more. */
export interface AttemptRecord {
  start (replicaId: string, leader: BackendServer): void
  refuse (replicaId: string, nowMs: number): void
  lose (replicaId: string): void
  replace (replicaId: string): void
  /** Replica IDs of all attempts, in order. */
  listReplicaIds (): string[]
  /** Attempts that were executed, may have been, or are in progress. */
  listExecutions (): PossibleExecution[]
  countRefusals (): number
  /** Replicas that get no attempt as one of the replicas that have not run the stream. */
  listExcludedIds (nowMs: number): Set<string>
  /** Whether the stream may return to one of the replicas, now or after the pause that follows a refusal. */
  mayReturn (replicas: readonly Replica[]): boolean
  /** Replicas that ran the stream, were replaced while they were silent and still run as the same process. */
  filterReturnable (replicas: readonly Replica[], nowMs: number): Replica[]
}

/** A replica that refused the stream may be asked again after this time for each refusal so far, which spreads the few attempts over the wait. */
const refusedReplicaPauseMs = 500

/** Creates the record of a stream without attempts. */
export function createAttemptRecord (): AttemptRecord {
  const attempts: RecordedAttempt[] = []

  function findRunning (replicaId: string): RecordedAttempt | undefined {
    return attempts.find(attempt => attempt.replicaId === replicaId && attempt.state === AttemptState.Running)
  }

  function end (replicaId: string, state: AttemptState): void {
    const attempt = findRunning(replicaId)
    if (attempt !== undefined) attempt.state = state
  }

  function countRefusals (): number {
    return attempts.filter(({ state }) => state === AttemptState.Refused).length
  }

  function hasState (replicaId: string, states: readonly AttemptState[]): boolean {
    return attempts.some(attempt => attempt.replicaId === replicaId && states.includes(attempt.state))
  }

  function isPaused (replicaId: string, nowMs: number): boolean {
    return attempts.some(attempt => attempt.replicaId === replicaId && attempt.refusedUntilMs > nowMs)
  }

  function isReturnable ({ id, leader }: Replica, nowMs: number): boolean {
    if (isPaused(id, nowMs) || hasState(id, [AttemptState.Running, AttemptState.Lost])) return false
    return attempts.some(({ replicaId, state, execution }) => replicaId === id && state === AttemptState.Replaced &&
      execution.serverId === leader?.id && execution.startedAtMs === leader.startedAtMs)
  }

  return {
    start (replicaId, leader) {
      attempts.push({ replicaId, execution: toPossibleExecution(leader), state: AttemptState.Running, refusedUntilMs: 0 })
    },
    refuse (replicaId, nowMs) {
      const attempt = findRunning(replicaId)
      if (attempt === undefined) return
      attempt.state = AttemptState.Refused
      attempt.refusedUntilMs = nowMs + refusedReplicaPauseMs * countRefusals()
    },
    lose: replicaId => end(replicaId, AttemptState.Lost),
    replace: replicaId => end(replicaId, AttemptState.Replaced),
    listReplicaIds: () => attempts.map(({ replicaId }) => replicaId),
    listExecutions: () => attempts.filter(({ state }) => state !== AttemptState.Refused).map(({ execution }) => execution),
    countRefusals,
    listExcludedIds (nowMs) {
      const ids = attempts.map(({ replicaId }) => replicaId)
      return new Set(ids.filter(id => isPaused(id, nowMs) || hasState(id, [AttemptState.Running, AttemptState.Lost, AttemptState.Replaced])))
    },
    mayReturn: replicas => replicas.some(replica => isReturnable(replica, Infinity)),
    filterReturnable: (replicas, nowMs) => replicas.filter(replica => isReturnable(replica, nowMs))
  }
}
