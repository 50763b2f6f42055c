import type { TimerService } from '../shared/timer-service.js'

/** Keeps entries that vanished while the store was away until they had time to return. */
export interface MissingEntryTracker {
  recordStoreFailure (): void
  recordStoreResponse (): void
  /** Tells whether an entry that is missing now is still to be used. */
  shouldKeep (id: string): boolean
  /** The entry is there again. */
  markPresent (id: string): void
  /** Whether entries that are missing now may still return. */
  isGracePeriodActive (): boolean
  /** Returns the entries whose time to return is over. */
  takeExpired (): string[]
}

/** Creates the record; `graceMs` is the time that entries have to return after the store does. */
export function createMissingEntryTracker (timers: TimerService, graceMs: number): MissingEntryTracker {
  const missing = new Set<string>()
  let graceEndMs = -Infinity
  let isFailing = false
  return {
    recordStoreFailure () {
      isFailing = true
    },
    recordStoreResponse () {
      if (!isFailing) return
      isFailing = false
      graceEndMs = timers.nowMs() + graceMs
    },
    shouldKeep (id) {
      if (timers.nowMs() >= graceEndMs) {
        missing.delete(id)
        return false
      }
      missing.add(id)
      return true
    },
    isGracePeriodActive: () => isFailing || timers.nowMs() < graceEndMs,
    markPresent (id) {
      missing.delete(id)
    },
    takeExpired () {
      if (missing.size === 0 || timers.nowMs() < graceEndMs) return []
      const expired = [...missing]
      missing.clear()
      return expired
    }
  }
}
