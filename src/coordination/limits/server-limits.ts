/** The limits that backend servers state in their responses: the requests a second that they take from all gateways together. */
import type { LogFields, Logger } from '../../observability/log.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { BackendServer } from '../../state/backend-server.js'

/** A process of a server. */
export type ServerProcess = Pick<BackendServer, 'id' | 'startedAtMs'>

/** How a statement reached this gateway; the values are logged. */
export enum StatementSource {
  Response = 'response',
  OtherGateway = 'other gateway'
}

/** What a server stated last, directly or through other gateways. */
export interface LimitStatement {
  readonly startedAtMs: number
  /** Undefined once the server no longer states a limit. */
  readonly limitPerSecond: number | undefined
  /** No earlier statement replaces this one. The time by this gateway's clock, see `record` and `recordEnd`. */
  readonly statedAtMs: number
}

export interface ServerLimits {
  /** Records a limit that was stated at `statedAtMs` at the latest. Returns whether that changes what is known. */
  record (server: ServerProcess, limitPerSecond: number, statedAtMs: number, source: StatementSource): boolean
  /**
   * Records a response without a limit to a request that was sent at `sentAtMs`. It ends a limit that was stated before: a
   * response to an earlier request may be older than the limit. Returns whether that changes what is known.
   */
  recordEnd (server: ServerProcess, sentAtMs: number, source: StatementSource): boolean
  /** The limit in force; undefined when there is none. */
  getLimit (server: ServerProcess): number | undefined
  /** The last statement, which may be an end. */
  getStatement (server: ServerProcess): LimitStatement | undefined
  /** Counts a request that is sent to the server, for the log. */
  countRequest (server: ServerProcess): void
  /** Number of servers with a limit. */
  countLimited (): number
}

export interface ServerLimitsOptions {
  readonly timers: TimerService
  readonly logger: Logger
}

interface KnownStatement extends LimitStatement {
  /** Requests that this gateway sent since the statement was first heard. */
  sentCount: number
  firstHeardAtMs: number
}

/** Statements of servers that nobody has heard of for this time are dropped when others arrive. */
const retentionMs = 600_000
/** Smaller changes are recorded without a log line and without telling other gateways. */
const minChangeFraction = 0.1

/** Creates the record without statements. */
export function createServerLimits ({ timers, logger }: ServerLimitsOptions): ServerLimits {
  const statements = new Map<string, KnownStatement>()

  function find ({ id, startedAtMs }: ServerProcess): KnownStatement | undefined {
    const known = statements.get(id)
    return known?.startedAtMs === startedAtMs ? known : undefined
  }

  function removeOld (): void {
    for (const [serverId, { statedAtMs }] of statements) {
      if (timers.nowMs() - statedAtMs > retentionMs) statements.delete(serverId)
    }
  }

  function store (server: ServerProcess, limitPerSecond: number | undefined, statedAtMs: number): KnownStatement {
    removeOld()
    const statement = { startedAtMs: server.startedAtMs, limitPerSecond, statedAtMs, sentCount: 0, firstHeardAtMs: timers.nowMs() }
    statements.set(server.id, statement)
    return statement
  }

  function describeFormer ({ limitPerSecond, sentCount, firstHeardAtMs }: KnownStatement): LogFields {
    return { formerLimitPerSecond: limitPerSecond ?? 0, sentCount, durationMs: Math.round(timers.nowMs() - firstHeardAtMs) }
  }

  function logChange (message: string, server: ServerProcess, source: StatementSource, former: KnownStatement | undefined, limitPerSecond?: number): void {
    logger.info(message, {
      serverId: server.id,
      startedAtMs: server.startedAtMs,
      source,
      ...(limitPerSecond === undefined ? {} : { limitPerSecond }),
      ...(former?.limitPerSecond === undefined ? {} : describeFormer(former))
    })
  }

  /** A later process than the one that is known has replaced it; an earlier one no longer counts. */
  function isOutdated ({ id, startedAtMs }: ServerProcess): boolean {
    return (statements.get(id)?.startedAtMs ?? -Infinity) > startedAtMs
  }

  return {
    record (server, limitPerSecond, statedAtMs, source) {
      const known = find(server)
      if (isOutdated(server) || (known !== undefined && statedAtMs < known.statedAtMs)) return false
      const formerLimit = known?.limitPerSecond
      if (known !== undefined && formerLimit !== undefined && Math.abs(limitPerSecond - formerLimit) <= formerLimit * minChangeFraction) {
        statements.set(server.id, { ...known, statedAtMs, limitPerSecond: Math.min(formerLimit, limitPerSecond) })
        return false
      }
      store(server, limitPerSecond, statedAtMs)
      logChange(formerLimit === undefined ? 'A server states a limit on its requests.' : 'A server has changed its limit.', server, source, known, limitPerSecond)
      return true
    },
    recordEnd (server, sentAtMs, source) {
      const known = find(server)
      if (known?.limitPerSecond === undefined || sentAtMs <= known.statedAtMs) return false
      store(server, undefined, sentAtMs)
      logChange('A server no longer states a limit.', server, source, known)
      return true
    },
    getLimit: server => find(server)?.limitPerSecond,
    getStatement: find,
    countRequest (server) {
      const known = find(server)
      if (known !== undefined) known.sentCount += 1
    },
    countLimited: () => [...statements.values()].filter(({ limitPerSecond }) => limitPerSecond !== undefined).length
  }
}
