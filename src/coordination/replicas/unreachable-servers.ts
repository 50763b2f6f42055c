import type { BackendServer } from '../../state/backend-server.js'

/** Servers that did not answer lately. */
export interface ReachMarks {
  markUnreachable (server: BackendServer, nowMs: number): void
  clear (server: BackendServer): void
  isUnreachable (server: BackendServer, nowMs: number): boolean
}

/** A server is tried again after this time, or when it has started anew. */
const unreachableMs = 6000

/** Creates marks with all servers in reach. */
export function createReachMarks (): ReachMarks {
  const marks = new Map<string, { readonly startedAtMs: number, readonly untilMs: number }>()
  return {
    markUnreachable (server, nowMs) {
      marks.set(server.id, { startedAtMs: server.startedAtMs, untilMs: nowMs + unreachableMs })
    },
    clear (server) {
      marks.delete(server.id)
    },
    isUnreachable (server, nowMs) {
      const mark = marks.get(server.id)
      return mark !== undefined && mark.startedAtMs === server.startedAtMs && mark.untilMs > nowMs
    }
  }
}
