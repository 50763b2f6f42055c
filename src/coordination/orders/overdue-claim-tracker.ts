import type { Channel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import { encodeOrderRecord, markOrderUnknown, OrderState, parseOrderRecord, type OrderRecord } from '../../state/order-record.js'
import { KeyValueErrorKind, type KeyValueEntry } from '../ports/key-value-store.js'
import { OrderEventKind, type OrderEvent } from './order-event.js'
import type { OrderSettings } from './order-settings.js'
import type { OrderStore } from './order-store.js'

interface TrackedClaim {
  readonly revision: number
  readonly firstSeenMs: number
}

/**
 * Finds claims whose outcome is overdue: claims of other nodes, and claims of this node whose outcome could not
 * be written at the first attempt.
 * The nodes share no clock, so each measures on its own monotonic clock from when it first read the claim.
 * That can detect an overdue claim late, but never early.
 */
export interface OverdueClaimTracker {
  /**
   * Tracks a claim that was read from the store. Returns the time in milliseconds until it is overdue; 0 when it is
   * overdue now. The claim is checked again when it becomes overdue, even if no client asks for it.
   */
  track (entry: KeyValueEntry, record: OrderRecord): number
  /** Stores an overdue claim as unknown. Returns the entry stored afterwards; undefined when there is none or the write failed. */
  markUnknown (entry: KeyValueEntry, record: OrderRecord): Promise<KeyValueEntry | undefined>
}

export interface OverdueClaimTrackerOptions {
  readonly store: OrderStore
  readonly timers: TimerService
  readonly events: Channel<OrderEvent>
  readonly settings: OrderSettings
}

/** Creates the overdue claim tracker of one node. */
export function createOverdueClaimTracker ({ store, timers, events, settings }: OverdueClaimTrackerOptions): OverdueClaimTracker {
  const tracked = new Map<string, TrackedClaim>()

  function track (entry: KeyValueEntry, record: OrderRecord): number {
    const known = tracked.get(entry.key)
    const nowMs = timers.nowMs()
    if (known?.revision === entry.revision) return Math.max(0, known.firstSeenMs + record.outcomeDueInMs - nowMs)
    if (known === undefined) evictOldest()
    tracked.set(entry.key, { revision: entry.revision, firstSeenMs: nowMs })
    scheduleCheck(entry.key, entry.revision, record.outcomeDueInMs)
    return record.outcomeDueInMs
  }

  function evictOldest (): void {
    if (tracked.size < settings.maxTrackedClaimCount) return
    const oldest = tracked.keys().next()
    if (!oldest.done) tracked.delete(oldest.value)
  }

  function scheduleCheck (key: string, revision: number, delayMs: number): void {
    timers.subscribeOnce(delayMs, () => {
      if (tracked.get(key)?.revision === revision) void checkOverdue(key, revision)
    })
  }

  async function checkOverdue (key: string, revision: number): Promise<void> {
    const found = await store.read(key)
    if (!found.isOk) {
      scheduleCheck(key, revision, settings.maxBackoffMs)
      return
    }
    const entry = found.value
    const record = entry === undefined ? undefined : parseOrderRecord(entry.value)
    const isUnchanged = entry?.revision === revision && record?.state === OrderState.Claimed
    if (!isUnchanged) {
      untrack(key, revision)
      return
    }
    const stored = await markUnknown(entry, record)
    if (stored === undefined) scheduleCheck(key, revision, settings.maxBackoffMs)
  }

  async function markUnknown (entry: KeyValueEntry, record: OrderRecord): Promise<KeyValueEntry | undefined> {
    const unknown = markOrderUnknown(record)
    const stored = await store.write({ key: entry.key, expectedRevision: entry.revision, record: unknown })
    if (stored.isOk) {
      untrack(entry.key, entry.revision)
      events.send({ kind: OrderEventKind.OverdueMarked, key: entry.key })
      return { key: entry.key, value: encodeOrderRecord(unknown), revision: stored.value }
    }
    if (stored.error.kind !== KeyValueErrorKind.Conflict) return undefined
    untrack(entry.key, entry.revision)
    return stored.error.current
  }

  function untrack (key: string, revision: number): void {
    if (tracked.get(key)?.revision === revision) tracked.delete(key)
  }

  return { track, markUnknown }
}
