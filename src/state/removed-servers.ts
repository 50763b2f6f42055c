import type { TimerService } from '../shared/timer-service.js'

/** The servers that were removed lately, so that an older copy of the store cannot bring them back. */
export interface RemovedServers {
  record (serverId: string): void
  /** Records that the server has registered itself again. */
  forget (serverId: string): void
  has (serverId: string): boolean
}

/** Copies from which the store comes back are some seconds old, so that older removals are in them. */
const retentionMs = 60_000

/** Creates a record without servers. */
export function createRemovedServers (timers: TimerService): RemovedServers {
  const removedAtMs = new Map<string, number>()

  function dropOld (): void {
    // In the order of their removal.
    for (const [serverId, atMs] of removedAtMs) {
      if (timers.nowMs() - atMs <= retentionMs) return
      removedAtMs.delete(serverId)
    }
  }

  return {
    record (serverId) {
      dropOld()
      removedAtMs.delete(serverId)
      removedAtMs.set(serverId, timers.nowMs())
    },
    forget: serverId => { removedAtMs.delete(serverId) },
    has (serverId) {
      dropOld()
      return removedAtMs.has(serverId)
    }
  }
}
