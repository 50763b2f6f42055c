import type { TimerService } from '../shared/timer-service.js'

/**
 * Tracks entries that disappeared from the store during an outage, so that they stay in use for a grace
 * period: their leases may have expired only because the store was unreachable for renewals.
 */
export interface MissingEntryTracker {
  recordStoreFailure (): void
  recordStoreResponse (): void
  /** Records that an entry is missing from the store; returns whether it should stay in use. */
  shouldKeep (id: string): boolean
  /** Records that the entry is in the store again. */
  markPresent (id: string): void
  /** Whether the store is failing or its entries still have time to return. */
  isGracePeriodActive (): boolean
  /** Returns and forgets the missing entries whose grace period is over. */
  takeExpired (): string[]
}

/** Creates a tracker; `graceMs` is the time after the store's recovery within which entries may return. */
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
