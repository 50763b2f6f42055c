import type { BackendServer } from '../../state/backend-server.js'

/** The order sequence that each server is expected to have, also before its entry shows it. */
export interface OrderSequences {
  get (server: BackendServer): number
  /** An order that began something raises the sequence by one. */
  noteBegun (server: BackendServer): void
  /** Takes over what the server reported itself. */
  set (server: BackendServer, sequence: number): void
}

/** Creates an empty record; a new life of a server begins anew. */
export function createOrderSequences (): OrderSequences {
  const known = new Map<string, { startedAtMs: number, sequence: number }>()

  function get (server: BackendServer): number {
    const mark = known.get(server.id)
    if (mark === undefined || mark.startedAtMs !== server.startedAtMs) return server.orderSequence
    return Math.max(mark.sequence, server.orderSequence)
  }

  return {
    get,
    noteBegun (server) {
      known.set(server.id, { startedAtMs: server.startedAtMs, sequence: get(server) + 1 })
    },
    set (server, sequence) {
      known.set(server.id, { startedAtMs: server.startedAtMs, sequence })
    }
  }
}
