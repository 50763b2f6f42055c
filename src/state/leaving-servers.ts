import type { TimerService } from '../shared/timer-service.js'
import type { BackendServer } from './backend-server.js'

/** The processes of backend servers that have announced that they are leaving. */
export interface LeavingServers {
  /** Records the announcement of the process of `serverId` that started at `startedAtMs`; false if it was known. */
  record (serverId: string, startedAtMs: number): boolean
  /** Whether this process of the server has announced that it is leaving. A restart under the same ID ends that. */
  has (server: Pick<BackendServer, 'id' | 'startedAtMs'>): boolean
  /** Start times of the processes whose announcement was recorded within this time, by server ID. */
  listRecent (withinMs: number): Record<string, number>
}

interface Announcement {
  readonly startedAtMs: number
  readonly recordedAtMs: number
}

/** A process that announced its end is gone long before this time, and its record is dropped. */
const retentionMs = 600_000

/** Creates a record without announcements. */
export function createLeavingServers (timers: TimerService): LeavingServers {
  const announcements = new Map<string, Announcement>()

  function removeOld (): void {
    for (const [serverId, { recordedAtMs }] of announcements) {
      if (timers.nowMs() - recordedAtMs > retentionMs) announcements.delete(serverId)
    }
  }

  return {
    record (serverId, startedAtMs) {
      const known = announcements.get(serverId)
      // An announcement of an earlier process may arrive late, through another gateway.
      if (known !== undefined && known.startedAtMs >= startedAtMs) return false
      removeOld()
      announcements.set(serverId, { startedAtMs, recordedAtMs: timers.nowMs() })
      return true
    },
    has: ({ id, startedAtMs }) => announcements.get(id)?.startedAtMs === startedAtMs,
    listRecent (withinMs) {
      const recent = [...announcements].filter(([, { recordedAtMs }]) => timers.nowMs() - recordedAtMs <= withinMs)
      return Object.fromEntries(recent.map(([serverId, { startedAtMs }]) => [serverId, startedAtMs]))
    }
  }
}
