import type { CompareAndSwapRequest, KeyValueEntry } from '../coordination/ports/key-value-store.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'

interface Lease {
  readonly durationMs: number
  readonly keys: Set<string>
  expiry: TimerSubscription
}

/** A compare-and-swap was refused: the key has another revision, or the lease has ended. `current` is the stored entry. */
export interface SwapConflict {
  readonly current: KeyValueEntry | undefined
}

/** The stored entries and leases of the key-value service. */
export interface KeyValueTable {
  get (key: string): KeyValueEntry | undefined
  /** Entries whose key starts with the prefix, ordered by key. */
  list (prefix: string): KeyValueEntry[]
  /** Returns the new revision. */
  compareAndSwap (request: CompareAndSwapRequest): Result<number, SwapConflict>
  /** Returns the id of a lease; the keys written with it are deleted when it ends. */
  grantLease (durationMs: number): string
  /** Renews the lease; returns false when it has ended. */
  keepLeaseAlive (leaseId: string): boolean
  /** Calls the listener after each change of the key until the returned function is called. */
  onChange (key: string, listener: () => void): () => void
  /** Cancels the timers of all leases. */
  close (): void
}

/** Creates an empty table. Revisions are shared by all keys and only grow. */
export function createKeyValueTable (timers: TimerService): KeyValueTable {
  const entries = new Map<string, KeyValueEntry>()
  const leases = new Map<string, Lease>()
  const listeners = new Map<string, Set<() => void>>()
  let lastRevision = 0
  let leaseCount = 0

  function notifyListeners (key: string): void {
    for (const listener of [...listeners.get(key) ?? []]) listener()
  }

  function detachFromLeases (key: string): void {
    for (const lease of leases.values()) lease.keys.delete(key)
  }

  function expire (leaseId: string): void {
    const lease = leases.get(leaseId)
    leases.delete(leaseId)
    for (const key of lease?.keys ?? []) {
      lastRevision += 1
      entries.delete(key)
      notifyListeners(key)
    }
  }

  return {
    get: key => entries.get(key),
    list (prefix) {
      return [...entries.values()]
        .filter(entry => entry.key.startsWith(prefix))
        .sort((left, right) => left.key < right.key ? -1 : 1)
    },
    compareAndSwap ({ key, expectedRevision, value, leaseId }) {
      const current = entries.get(key)
      if ((current?.revision ?? 0) !== expectedRevision) return failure({ current })
      const lease = leaseId === undefined ? undefined : leases.get(leaseId)
      if (leaseId !== undefined && lease === undefined) return failure({ current })
      lastRevision += 1
      detachFromLeases(key)
      if (value === undefined) {
        entries.delete(key)
      } else {
        entries.set(key, { key, value, revision: lastRevision })
        lease?.keys.add(key)
      }
      const revision = lastRevision
      notifyListeners(key)
      return success(revision)
    },
    grantLease (durationMs) {
      leaseCount += 1
      const leaseId = `lease-${leaseCount}`
      leases.set(leaseId, { durationMs, keys: new Set(), expiry: timers.subscribeOnce(durationMs, () => expire(leaseId)) })
      return leaseId
    },
    keepLeaseAlive (leaseId) {
      const lease = leases.get(leaseId)
      if (lease === undefined) return false
      lease.expiry.cancel()
      lease.expiry = timers.subscribeOnce(lease.durationMs, () => expire(leaseId))
      return true
    },
    onChange (key, listener) {
      const keyListeners = listeners.get(key) ?? new Set()
      listeners.set(key, keyListeners)
      keyListeners.add(listener)
      return () => {
        keyListeners.delete(listener)
        if (keyListeners.size === 0) listeners.delete(key)
      }
    },
    close () {
      for (const lease of leases.values()) lease.expiry.cancel()
    }
  }
}
