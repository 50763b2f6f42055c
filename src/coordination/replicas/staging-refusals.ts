import type { BackendServer } from '../../state/backend-server.js'

/** Tracks members of replicas that refuse to stage another model, so that they are not asked without end. */
export interface StagingRefusals {
  recordOutcome (server: BackendServer, isAccepted: boolean): void
  /** Whether the server's process has refused too often in a row. */
  isExhausted (server: BackendServer): boolean
}

/** A command is refused once or twice when the server's command sequence was not known, or it was busy. */
const maxRefusalCount = 3

/** Creates the record without refusals. */
export function createStagingRefusals (): StagingRefusals {
  const refusals = new Map<string, { readonly startedAtMs: number, readonly count: number }>()

  function getCount (server: BackendServer): number {
    const known = refusals.get(server.id)
    return known?.startedAtMs === server.startedAtMs ? known.count : 0
  }

  return {
    recordOutcome (server, isAccepted) {
      if (isAccepted) refusals.delete(server.id)
      else refusals.set(server.id, { startedAtMs: server.startedAtMs, count: getCount(server) + 1 })
    },
    isExhausted: server => getCount(server) >= maxRefusalCount
  }
}
