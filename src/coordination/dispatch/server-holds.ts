import type { TimerService } from '../../shared/timer-service.js'
import type { BackendServer } from '../../state/backend-server.js'

/** A process of a server. */
type ServerProcess = Pick<BackendServer, 'id' | 'startedAtMs'>

/** Servers that have asked this gateway to send nothing for some time. */
export interface ServerHolds {
  /** Records that the server wants no requests for `durationMs`. An earlier, longer hold stays. */
  record (server: ServerProcess, durationMs: number): void
  /** Time until the server takes requests again, in milliseconds; 0 when it does now. A restart ends a hold. */
  getRemainingMs (server: ServerProcess): number
}

interface Hold {
  readonly startedAtMs: number
  readonly endsAtMs: number
}

/** A longer hold is cut to this time, so that a wrong value does not cost a server for good. */
export const maxHoldMs = 600_000

/** Creates a record without holds. It answers a load that one server refuses while others take it. */
export function createServerHolds (timers: TimerService): ServerHolds {
  const holds = new Map<string, Hold>()

  function removeEnded (): void {
    for (const [serverId, { endsAtMs }] of holds) {
      if (endsAtMs <= timers.nowMs()) holds.delete(serverId)
    }
  }

  function getRemainingMs ({ id, startedAtMs }: ServerProcess): number {
    const hold = holds.get(id)
    return hold === undefined || hold.startedAtMs !== startedAtMs ? 0 : Math.max(0, hold.endsAtMs - timers.nowMs())
  }

  return {
    record (server, durationMs) {
      if (durationMs <= getRemainingMs(server)) return
      removeEnded()
      holds.set(server.id, { startedAtMs: server.startedAtMs, endsAtMs: timers.nowMs() + Math.min(durationMs, maxHoldMs) })
    },
    getRemainingMs
  }
}
