import type { Channel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import { encodeOrderRecord, markOrderUnknown, OrderState, parseOrderRecord, type OrderRecord } from '../../state/order-record.js'
import { KeyValueErrorKind, type KeyValueEntry } from '../ports/key-value-store.js'
import { OrderEventKind, type OrderEvent } from './order-event.js'
import type { OrderSettings } from './order-settings.js'
import type { OrderStore } from './order-store.js'

interface WatchedClaim {
  readonly revision: number
  readonly firstSeenMs: number
}

/**
 * Finds claims that stay without an outcome for longer than their due time.
 * There is no clock that all nodes share, so a node counts on its own monotonic clock from the
 * moment it first read the claim; that can only report a claim late, never early.
 */
export interface OverdueClaims {
  /**
   * Notes a claim that was read from the store. Returns the time until it is overdue; 0 when it is
   * overdue now. A noted claim is looked at again, without a caller, when it becomes overdue.
   */
  observe (entry: KeyValueEntry, record: OrderRecord): number
  /** Stores an overdue claim as unknown. Returns the entry that is stored then; undefined when it could not be stored. */
  markUnknown (entry: KeyValueEntry, record: OrderRecord): Promise<KeyValueEntry | undefined>
}

export interface OverdueClaimsOptions {
  readonly store: OrderStore
  readonly timers: TimerService
  readonly events: Channel<OrderEvent>
  readonly settings: OrderSettings
}

/** Creates the watch of one node over the claims of others. */
export function createOverdueClaims ({ store, timers, events, settings }: OverdueClaimsOptions): OverdueClaims {
  const watched = new Map<string, WatchedClaim>()

  function observe (entry: KeyValueEntry, record: OrderRecord): number {
    const known = watched.get(entry.key)
    const nowMs = timers.nowMs()
    if (known?.revision === entry.revision) return Math.max(0, known.firstSeenMs + record.outcomeDueInMs - nowMs)
    if (known === undefined) makeRoom()
    watched.set(entry.key, { revision: entry.revision, firstSeenMs: nowMs })
    lookAgain(entry.key, entry.revision, record.outcomeDueInMs)
    return record.outcomeDueInMs
  }

  function makeRoom (): void {
    if (watched.size < settings.maxWatchedClaimCount) return
    const oldest = watched.keys().next()
    if (!oldest.done) watched.delete(oldest.value)
  }

  function lookAgain (key: string, revision: number, inMs: number): void {
    timers.subscribeOnce(inMs, () => {
      if (watched.get(key)?.revision === revision) void settle(key, revision)
    })
  }

  async function settle (key: string, revision: number): Promise<void> {
    const found = await store.read(key)
    if (!found.isOk) {
      lookAgain(key, revision, settings.maxBackoffMs)
      return
    }
    const entry = found.value
    const record = entry === undefined ? undefined : parseOrderRecord(entry.value)
    const isUnchanged = entry?.revision === revision && record?.state === OrderState.Claimed
    if (!isUnchanged) {
      forget(key, revision)
      return
    }
    const stored = await markUnknown(entry, record)
    if (stored === undefined) lookAgain(key, revision, settings.maxBackoffMs)
  }

  async function markUnknown (entry: KeyValueEntry, record: OrderRecord): Promise<KeyValueEntry | undefined> {
    const unknown = markOrderUnknown(record)
    const stored = await store.write({ key: entry.key, expectedRevision: entry.revision, record: unknown })
    if (stored.isOk) {
      forget(entry.key, entry.revision)
      events.send({ kind: OrderEventKind.OverdueMarked, key: entry.key })
      return { key: entry.key, value: encodeOrderRecord(unknown), revision: stored.value }
    }
    if (stored.error.kind !== KeyValueErrorKind.Conflict) return undefined
    forget(entry.key, entry.revision)
    return stored.error.current
  }

  function forget (key: string, revision: number): void {
    if (watched.get(key)?.revision === revision) watched.delete(key)
  }

  return { observe, markUnknown }
}
