import {
  KeyValueErrorKind,
  type CompareAndSwapRequest,
  type KeyValueEntry,
  type KeyValueError,
  type KeyValueStore,
  type WatchRequest
} from '../coordination/ports/key-value-store.js'
import type { RandomSource } from '../shared/random-source.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'

/** Faults of one client's link to the fake store, or of the store itself; all may change at any time. */
export interface FakeStoreFaults {
  /** Refuses every call at once. */
  isOut: boolean
  /** Delay before a call takes effect. */
  requestDelayMs: number
  /** Delay between the effect of a call and its response. */
  replyDelayMs: number
  /** Number of coming writes whose response is lost after the write took effect. */
  lostReplyCount: number
  /** Number of coming writes that are reported as ambiguous and take effect only after `lateWriteDelayMs`. */
  lateWriteCount: number
  lateWriteDelayMs: number
}

export interface FakeStoreCounts {
  readCount: number
  writeCount: number
  watchCount: number
}

/** An in-memory key-value service in virtual time. */
export interface FakeKeyValueStore {
  readonly faults: FakeStoreFaults
  readonly counts: FakeStoreCounts
  /** Creates the link of one client, with its own faults in addition to the store's. */
  createClient (): { readonly store: KeyValueStore, readonly faults: FakeStoreFaults }
  /** Reads a value without going through a client. */
  peek (key: string): KeyValueEntry | undefined
  /** Lists entries without going through a client. */
  peekAll (prefix: string): KeyValueEntry[]
  /** Writes a value without going through a client. */
  put (key: string, value: string): number
  /** Drops all leases and keeps the values, as a restart of the service does. */
  forgetLeases (): void
}

const watchPollIntervalMs = 20

/** Returns faults that are all off. */
export function createStoreFaults (): FakeStoreFaults {
  return { isOut: false, requestDelayMs: 0, replyDelayMs: 0, lostReplyCount: 0, lateWriteCount: 0, lateWriteDelayMs: 1000 }
}

/** Creates a fake store. The random source adds up to one millisecond to each delay. */
export function createFakeKeyValueStore (timers: TimerService, random: RandomSource): FakeKeyValueStore {
  const entries = new Map<string, KeyValueEntry>()
  const keyLeases = new Map<string, string>()
  const leases = new Map<string, { deadlineMs: number, durationMs: number }>()
  const faults = createStoreFaults()
  const counts: FakeStoreCounts = { readCount: 0, writeCount: 0, watchCount: 0 }
  let lastRevision = 0
  let nextLease = 1

  function put (key: string, value: string): number {
    lastRevision += 1
    entries.set(key, { key, value, revision: lastRevision })
    return lastRevision
  }

  function removeExpired (): void {
    for (const [key, leaseId] of keyLeases) {
      const lease = leases.get(leaseId)
      if (lease !== undefined && lease.deadlineMs > timers.nowMs()) continue
      keyLeases.delete(key)
      entries.delete(key)
    }
  }

  function apply (request: CompareAndSwapRequest): Result<number, KeyValueError> {
    removeExpired()
    const current = entries.get(request.key)
    if ((current?.revision ?? 0) !== request.expectedRevision) {
      return failure({ kind: KeyValueErrorKind.Conflict, current })
    }
    const lease = leases.get(request.leaseId ?? '')
    const isLeaseExpired = request.leaseId !== undefined && (lease === undefined || lease.deadlineMs <= timers.nowMs())
    if (isLeaseExpired) return failure({ kind: KeyValueErrorKind.Conflict, current })
    keyLeases.delete(request.key)
    if (request.value === undefined) {
      entries.delete(request.key)
      lastRevision += 1
      return success(lastRevision)
    }
    if (request.leaseId !== undefined) keyLeases.set(request.key, request.leaseId)
    return success(put(request.key, request.value))
  }

  function createClient (): { store: KeyValueStore, faults: FakeStoreFaults } {
    const linkFaults = createStoreFaults()
    const isOut = () => faults.isOut || linkFaults.isOut

    async function simulateDelay (delayMs: number): Promise<void> {
      await delay(timers, delayMs + random.nextFloat())
    }

    function consumeFault (name: 'lostReplyCount' | 'lateWriteCount'): boolean {
      const source = linkFaults[name] > 0 ? linkFaults : faults
      if (source[name] <= 0) return false
      source[name] -= 1
      return true
    }

    async function call<T> (operation: () => T): Promise<Result<T, KeyValueError>> {
      if (isOut()) return failure({ kind: KeyValueErrorKind.Unavailable, reason: 'the key-value service is unavailable' })
      await simulateDelay(faults.requestDelayMs + linkFaults.requestDelayMs)
      if (isOut()) return failure({ kind: KeyValueErrorKind.Unavailable, reason: 'the key-value service is unavailable' })
      removeExpired()
      const value = operation()
      await simulateDelay(faults.replyDelayMs + linkFaults.replyDelayMs)
      if (isOut()) return failure({ kind: KeyValueErrorKind.Ambiguous, reason: 'response lost in an outage' })
      return success(value)
    }

    async function write<T> (operation: () => Result<T, KeyValueError>): Promise<Result<T, KeyValueError>> {
      counts.writeCount += 1
      if (!isOut() && consumeFault('lateWriteCount')) {
        const lateDelayMs = Math.max(linkFaults.lateWriteDelayMs, faults.lateWriteDelayMs)
        timers.subscribeOnce(lateDelayMs, operation)
        await simulateDelay(0)
        return failure({ kind: KeyValueErrorKind.Ambiguous, reason: 'no response within the timeout' })
      }
      const isResponseLost = !isOut() && consumeFault('lostReplyCount')
      const outcome = await call(operation)
      if (isResponseLost) return failure({ kind: KeyValueErrorKind.Ambiguous, reason: 'response lost' })
      return outcome.isOk ? outcome.value : outcome
    }

    const store: KeyValueStore = {
      get (key) {
        counts.readCount += 1
        return call(() => entries.get(key))
      },
      list (prefix) {
        counts.readCount += 1
        return call(() => peekAll(prefix))
      },
      compareAndSwap: request => write(() => apply(request)),
      async watch (request: WatchRequest) {
        counts.watchCount += 1
        const untilMs = timers.nowMs() + request.timeoutMs
        for (;;) {
          if (isOut()) return failure({ kind: KeyValueErrorKind.Unavailable, reason: 'the key-value service is unavailable' })
          removeExpired()
          const entry = entries.get(request.key)
          if (entry !== undefined && entry.revision > request.afterRevision) return success(entry)
          if (timers.nowMs() >= untilMs) return success(undefined)
          await delay(timers, watchPollIntervalMs)
        }
      },
      grantLease: durationMs => write(() => {
        const leaseId = `lease-${nextLease}`
        nextLease += 1
        leases.set(leaseId, { deadlineMs: timers.nowMs() + durationMs, durationMs })
        return success(leaseId)
      }),
      renewLease: leaseId => write(() => {
        const lease = leases.get(leaseId)
        if (lease === undefined || lease.deadlineMs <= timers.nowMs()) return success(false)
        lease.deadlineMs = timers.nowMs() + lease.durationMs
        return success(true)
      })
    }
    return { store, faults: linkFaults }
  }

  function peekAll (prefix: string): KeyValueEntry[] {
    return [...entries.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((left, right) => left.key < right.key ? -1 : 1)
  }

  function forgetLeases (): void {
    leases.clear()
    keyLeases.clear()
  }

  return { faults, counts, createClient, peek: key => entries.get(key), peekAll, put, forgetLeases }
}
