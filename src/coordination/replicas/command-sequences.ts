import type { BackendServer } from '../../state/backend-server.js'

/** The expected command sequence of each server: the number of commands that it has begun since its start. */
export interface CommandSequences {
  /** Returns the expected sequence; undefined when it has to be read from the server first. */
  get (server: BackendServer): number | undefined
  /** Adds one for a command that the server has begun. */
  recordBegun (server: BackendServer): void
  /** Sets the sequence that the server reported. */
  set (server: BackendServer, sequence: number): void
}

/** Creates the record without sequences. The sequence of a server starts at 0 when it restarts. */
export function createCommandSequences (): CommandSequences {
  const known = new Map<string, { startedAtMs: number, sequence: number }>()

  function get (server: BackendServer): number | undefined {
    const entry = known.get(server.id)
    if (entry?.startedAtMs === server.startedAtMs) return entry.sequence
    // Such a server has most likely begun no command. If it has, it refuses the next one as unfit, and its sequence is read.
    const hasNoCommands = server.group === undefined && server.stagedModels.length === 0
    return hasNoCommands ? 0 : undefined
  }

  return {
    get,
    recordBegun (server) {
      known.set(server.id, { startedAtMs: server.startedAtMs, sequence: (get(server) ?? 0) + 1 })
    },
    set (server, sequence) {
      known.set(server.id, { startedAtMs: server.startedAtMs, sequence })
    }
  }
}
