/** Servers that are cold: for some time after their start during traffic, or after an evacuation, they take few requests. */
import type { Logger } from '../../observability/log.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { BackendServer } from '../../state/backend-server.js'
import { maxColdMs, type ColdPolicy } from '../../state/serving-config.js'
import type { ColdStatement } from '../ports/server-control.js'
import type { ServerProcess } from '../limits/server-limits.js'
import type { EvacuatedZones } from './evacuated-zones.js'

/** How long a server is cold, and the requests a second that it takes meanwhile from all gateways together. */
export interface ColdState {
  readonly remainingMs: number
  readonly requestsPerSecond: number
}

export interface ColdServers {
  /** The state of a cold server, or of one of which a later process is cold; undefined when neither is known. */
  getState (server: ServerProcess): ColdState | undefined
  /** The same without what other gateways have told, so that a time does not grow as gateways tell each other. */
  getOwnState (server: ServerProcess): ColdState | undefined
  /** Records an entry that was read; `isFirstRead` for those that this gateway finds when it starts. */
  recordEntry (server: BackendServer, isFirstRead: boolean): void
  /** Records what a server has said of itself in a response; the longer time holds where the entry says something else. */
  recordStatement (statement: ColdStatement): void
  /** Records what another gateway has told. Returns whether that is new, beyond the time that messages take. */
  recordHeard (server: ServerProcess, state: ColdState): boolean
  /** Looks for servers that have become cold by the end of an evacuation. */
  refresh (): void
  countCold (): number
}

export interface ColdServersOptions {
  readonly timers: TimerService
  readonly logger: Logger
  readonly evacuatedZones: Pick<EvacuatedZones, 'getEndedAtMs'>
  /** Undefined for a service whose servers are never cold. */
  getPolicy (serviceName: string): ColdPolicy | undefined
  /** Whether client requests have arrived at any gateway: a server that starts before them is not cold. */
  hasTraffic (): boolean
  /** Called when this gateway itself learned that a server is cold, or is cold for longer. */
  onCold (server: ServerProcess): void
}

interface ColdRecord {
  readonly server: BackendServer
  /** Until when the server is cold by its entry, and by its responses. */
  statedUntilMs: number
  headerUntilMs: number
  /** When a new process was first seen whose entry stated nothing; undefined for another one. */
  readonly unstatedSinceMs: number | undefined
  /** Until when the server was known to be cold when `onCold` was called last. */
  announcedUntilMs: number
  isCold: boolean
}

interface HeardState {
  readonly startedAtMs: number
  readonly untilMs: number
  readonly requestsPerSecond: number
}

/** The time that messages between gateways take, with a margin for late ones. A longer time that differs by less is no news. */
const minNewsMs = 500
/** Interval at which the end of cold states is looked for, while there are any. It matters for logs only. */
const sweepIntervalMs = 500
/** An entry is at most this old when a response is compared with it: it is written about every 1.2 s, and takes a second to all gateways. */
const maxEntryAgeMs = 2500
/** More than the largest fleet has servers; the oldest records are dropped. */
const maxRecordCount = 5000
/** Servers whose odd statements were logged; a bound for a program that writes arbitrary entries. */
const maxWarnedCount = 1000

/** Creates the record without servers. */
export function createColdServers ({ timers, logger, evacuatedZones, getPolicy, hasTraffic, onCold }: ColdServersOptions): ColdServers {
  const records = new Map<string, ColdRecord>()
  const heardStates = new Map<string, HeardState>()
  const warned = new Set<string>()
  let sweepTimer: TimerSubscription | undefined

  function warnOnce (message: string, { id, startedAtMs }: ServerProcess, value: string | number): void {
    const key = `${id}/${startedAtMs}/${message}`
    if (warned.has(key) || warned.size >= maxWarnedCount) return
    warned.add(key)
    logger.warn(message, { serverId: id, startedAtMs, value })
  }

  function getOwnUntilMs ({ server, statedUntilMs, headerUntilMs, unstatedSinceMs = -Infinity }: ColdRecord, { coldMs }: ColdPolicy): number {
    const evacuatedUntilMs = (evacuatedZones.getEndedAtMs(server.zone) ?? -Infinity) + coldMs
    return Math.max(statedUntilMs, headerUntilMs, unstatedSinceMs + coldMs, evacuatedUntilMs)
  }

  function toState (untilMs: number, requestsPerSecond: number): ColdState | undefined {
    const remainingMs = untilMs - timers.nowMs()
    return remainingMs > 0 ? { remainingMs, requestsPerSecond } : undefined
  }

  function find ({ id, startedAtMs }: ServerProcess): ColdRecord | undefined {
    const record = records.get(id)
    return record !== undefined && record.server.startedAtMs >= startedAtMs ? record : undefined
  }

  function getOwnState (server: ServerProcess): ColdState | undefined {
    const record = find(server)
    const policy = record === undefined ? undefined : getPolicy(record.server.serviceName)
    return record === undefined || policy === undefined ? undefined : toState(getOwnUntilMs(record, policy), policy.requestsPerSecond)
  }

  function getState (server: ServerProcess): ColdState | undefined {
    const heard = heardStates.get(server.id)
    if (heard === undefined || heard.startedAtMs < server.startedAtMs) return getOwnState(server)
    const record = records.get(server.id)
    const policy = record === undefined ? undefined : getPolicy(record.server.serviceName)
    // By the configuration that this gateway has, the service's servers are never cold.
    if (record !== undefined && policy === undefined) return undefined
    const ownRemainingMs = getOwnState(server)?.remainingMs ?? 0
    return toState(Math.max(heard.untilMs, timers.nowMs() + ownRemainingMs), policy?.requestsPerSecond ?? heard.requestsPerSecond)
  }

  /** Bounds a stated time, so that a wrong one does not slow a server down for good. */
  function toUntilMs (server: BackendServer, remainingMs: number): number {
    if (remainingMs > maxColdMs) warnOnce('A server states that it is cold for longer than a server can be; the time is cut.', server, remainingMs)
    if (remainingMs > 0 && getPolicy(server.serviceName) === undefined) warnOnce('A server states that it is cold, and its service has no cold servers by the configuration, which wins.', server, remainingMs)
    return timers.nowMs() + Math.min(remainingMs, maxColdMs)
  }

  function removeOldest (): void {
    const [oldestId] = records.keys()
    if (records.size > maxRecordCount && oldestId !== undefined) records.delete(oldestId)
  }

  /** Notices that a server has become cold, or warm. */
  function update (record: ColdRecord): void {
    const { server } = record
    const state = getOwnState(server)
    if (state !== undefined) {
      const untilMs = timers.nowMs() + state.remainingMs
      if (!record.isCold) logger.info('A server is cold.', { serverId: server.id, startedAtMs: server.startedAtMs, remainingMs: Math.round(state.remainingMs), requestsPerSecond: state.requestsPerSecond })
      record.isCold = true
      if (untilMs > record.announcedUntilMs + minNewsMs) {
        record.announcedUntilMs = untilMs
        onCold(server)
      }
      sweepTimer ??= timers.subscribeOnce(sweepIntervalMs, sweep)
    } else if (record.isCold) {
      record.isCold = false
      logger.info('A server is no longer cold.', { serverId: server.id, startedAtMs: server.startedAtMs })
    }
  }

  function sweep (): void {
    sweepTimer = undefined
    for (const [id, { untilMs }] of heardStates) {
      if (untilMs <= timers.nowMs()) heardStates.delete(id)
    }
    for (const record of records.values()) update(record)
  }

  return {
    getState,
    getOwnState,
    recordEntry (server, isFirstRead) {
      const { coldRemainingMs, invalidCold } = server
      const known = records.get(server.id)
      const former = known?.server.startedAtMs === server.startedAtMs ? known : undefined
      const isNewProcess = known === undefined ? !isFirstRead : former === undefined
      if (invalidCold !== undefined) warnOnce('A server states a cold time that is no number of milliseconds; it is ignored.', server, invalidCold)
      const record: ColdRecord = {
        server,
        statedUntilMs: coldRemainingMs === undefined ? former?.statedUntilMs ?? -Infinity : toUntilMs(server, coldRemainingMs),
        headerUntilMs: former?.headerUntilMs ?? -Infinity,
        unstatedSinceMs: isNewProcess && coldRemainingMs === undefined && hasTraffic() ? timers.nowMs() : former?.unstatedSinceMs,
        announcedUntilMs: former?.announcedUntilMs ?? -Infinity,
        isCold: former?.isCold ?? false
      }
      records.set(server.id, record)
      removeOldest()
      update(record)
    },
    recordStatement ({ server, remainingMs, text }) {
      if (remainingMs === undefined) {
        warnOnce('A server states a cold time in a response that is no number of milliseconds; it is ignored.', server, text)
        return
      }
      const record = records.get(server.id)
      if (record === undefined || record.server.startedAtMs !== server.startedAtMs) return
      const untilMs = toUntilMs(server, remainingMs)
      const entryMs = Math.max(0, record.statedUntilMs - timers.nowMs())
      if (Math.abs(entryMs - remainingMs) > maxEntryAgeMs) warnOnce('A server states another cold time in a response than in its entry; the longer one holds.', server, remainingMs)
      record.headerUntilMs = Math.max(record.headerUntilMs, untilMs)
      update(record)
    },
    recordHeard (server, { remainingMs, requestsPerSecond }) {
      const untilMs = timers.nowMs() + Math.min(remainingMs, maxColdMs)
      const knownMs = getState(server)?.remainingMs ?? 0
      if (untilMs <= timers.nowMs() + knownMs + (knownMs > 0 ? minNewsMs : 0)) return false
      heardStates.set(server.id, { startedAtMs: server.startedAtMs, untilMs, requestsPerSecond })
      sweepTimer ??= timers.subscribeOnce(sweepIntervalMs, sweep)
      return true
    },
    refresh () {
      sweepTimer?.cancel()
      sweep()
    },
    countCold: () => [...records.values()].filter(({ server }) => getState(server) !== undefined).length
  }
}
