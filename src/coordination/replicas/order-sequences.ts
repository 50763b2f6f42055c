import type { BackendServer } from '../../state/backend-server.js'

/** The order sequence that each server is expected to have. */
export interface OrderSequences {
  /** Undefined when the server must be asked first. */
  get (server: BackendServer): number | undefined
  /** An order that began something raises the sequence by one. */
  noteBegun (server: BackendServer): void
  /** Takes over what the server reported itself. */
  set (server: BackendServer, sequence: number): void
}

/** Creates an empty record; a new life of a server begins at 0. */
export function createOrderSequences (): OrderSequences {
  const known = new Map<string, { startedAtMs: number, sequence: number }>()

  function get (server: BackendServer): number | undefined {
    const mark = known.get(server.id)
    if (mark?.startedAtMs === server.startedAtMs) return mark.sequence
    const hasNoOrders = server.group === undefined && server.stagedModels.length === 0
    return hasNoOrders ? 0 : undefined
  }

  return {
    get,
    noteBegun (server) {
      known.set(server.id, { startedAtMs: server.startedAtMs, sequence: (get(server) ?? 0) + 1 })
    },
    set (server, sequence) {
      known.set(server.id, { startedAtMs: server.startedAtMs, sequence })
    }
  }
}
