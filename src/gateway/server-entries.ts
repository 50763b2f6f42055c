/** The backend servers of a gateway's view: their entries in the store, corrected by what the gateway knows better. */
import type { Logger } from '../observability/log.js'
import { failure, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { ServerState, type BackendServer } from '../state/backend-server.js'
import { createLeavingServers } from '../state/leaving-servers.js'
import { createMissingEntryTracker } from '../state/missing-entry-tracker.js'
import { createRemovedServers } from '../state/removed-servers.js'

/** Servers by id, kept through outages of the store and its returns from older copies. */
export interface ServerEntries {
  /** Applies an entry that the server has written. */
  apply (id: string, text: string): void
  /** Applies an entry of a copy from which the store came back, unless the server is known or was removed lately. */
  applyIfUnknown (id: string, text: string): boolean
  /** Removes the server, unless its entry may only have lapsed in an outage of the store. */
  remove (id: string): void
  /** Removes the servers whose entries have not come back after an outage, and returns whether there were any. */
  removeExpired (): boolean
  /** Records a process that announced its leaving; see `FleetView.markLeaving`. */
  markLeaving (id: string, startedAtMs: number): boolean
  listRecentlyLeaving (withinMs: number): Record<string, number>
  recordStoreResponse (): void
  recordStoreFailure (): void
  /** Whether the store is failing, or failed so recently that lapsed entries may still come back. */
  hasRecentStoreFailure (): boolean
  listByService (): Map<string, BackendServer[]>
  listIds (): string[]
}

export interface ServerEntriesOptions {
  readonly timers: TimerService
  readonly logger: Logger
  /** Time within which servers renew lapsed entries once the store responds again. */
  readonly missingEntryGraceMs: number
  decode (id: string, text: string): Result<BackendServer, string>
  /** Called with each entry that is used, as it was read. */
  onEntry? (server: BackendServer): void
}

/** Creates the record without servers. */
export function createServerEntries ({ timers, logger, missingEntryGraceMs, decode, onEntry }: ServerEntriesOptions): ServerEntries {
  const servers = new Map<string, BackendServer>()
  const warnedIds = new Set<string>()
  const missing = createMissingEntryTracker(timers, missingEntryGraceMs)
  const leaving = createLeavingServers(timers)
  const removed = createRemovedServers(timers)

  function decodeAndSet (id: string, text: string): void {
    const decoded = tryDecode(id, text)
    if (decoded.isOk) {
      servers.set(id, withOwnState(decoded.value))
      onEntry?.(decoded.value)
      return
    }
    servers.delete(id)
    if (warnedIds.has(id)) return
    warnedIds.add(id)
    logger.warn('A server entry is invalid; the server is not used.', { serverId: id, reason: decoded.error })
  }

  /** An entry that the decoder fails on is one that cannot be read. */
  function tryDecode (id: string, text: string): Result<BackendServer, string> {
    try {
      return decode(id, text)
    } catch (error) {
      return failure(`the decoder failed: ${(error as Error).message}`)
    }
  }

  /** A server that announced its leaving in a response may still be listed as ready. */
  function withOwnState (server: BackendServer): BackendServer {
    return leaving.has(server) ? { ...server, state: ServerState.Draining } : server
  }

  function remove (id: string): void {
    if (!servers.has(id)) return
    if (missing.shouldKeep(id)) return
    servers.delete(id)
    removed.record(id)
    logger.info('A server was removed: its entry is no longer in the store.', { serverId: id })
  }

  return {
    apply (id, text) {
      missing.markPresent(id)
      removed.forget(id)
      decodeAndSet(id, text)
    },
    applyIfUnknown (id, text) {
      if (servers.has(id) || removed.has(id)) return false
      decodeAndSet(id, text)
      return true
    },
    remove,
    removeExpired () {
      const ids = missing.takeExpired()
      for (const id of ids) remove(id)
      return ids.length > 0
    },
    markLeaving (id, startedAtMs) {
      if (!leaving.record(id, startedAtMs)) return false
      logger.info('A server is leaving; it gets no new requests.', { serverId: id, startedAtMs })
      const server = servers.get(id)
      if (server !== undefined) servers.set(id, withOwnState(server))
      return true
    },
    listRecentlyLeaving: leaving.listRecent,
    recordStoreResponse: missing.recordStoreResponse,
    recordStoreFailure: missing.recordStoreFailure,
    hasRecentStoreFailure: missing.isGracePeriodActive,
    listByService () {
      const byService = new Map<string, BackendServer[]>()
      for (const server of servers.values()) {
        const list = byService.get(server.serviceName)
        if (list === undefined) byService.set(server.serviceName, [server])
        else list.push(server)
      }
      return byService
    },
    listIds: () => [...servers.keys()]
  }
}
