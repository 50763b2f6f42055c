import type { BackendServer } from '../../state/backend-server.js'

/** Tracks servers that recently did not respond. */
export interface UnreachableServers {
  add (server: BackendServer, nowMs: number): void
  remove (server: BackendServer): void
  has (server: BackendServer, nowMs: number): boolean
}

/** A server is used again after this time, or when it has restarted. */
const unreachableHoldMs = 6000

/** Creates the record with all servers reachable. */
export function createUnreachableServers (): UnreachableServers {
  const entries = new Map<string, { readonly startedAtMs: number, readonly untilMs: number }>()
  return {
    add (server, nowMs) {
      entries.set(server.id, { startedAtMs: server.startedAtMs, untilMs: nowMs + unreachableHoldMs })
    },
    remove (server) {
      entries.delete(server.id)
    },
    has (server, nowMs) {
      const entry = entries.get(server.id)
      return entry !== undefined && entry.startedAtMs === server.startedAtMs && entry.untilMs > nowMs
    }
  }
}
