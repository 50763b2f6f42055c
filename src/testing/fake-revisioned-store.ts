import {
  type LeaseId,
  StoreErrorKind,
  type RevisionedStore,
  type StoreChanges,
  type StoreError,
  type StoredChange,
  type StoredItem,
  type StorePosition
} from '../coordination/ports/revisioned-store.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'

/** Faults of the store; all may change at any time. */
export interface FakeRevisionedStoreFaults {
  /** Refuses every call. */
  isDown: boolean
  /** Never responds; calls time out. */
  isSilent: boolean
  responseDelayMs: number
  /** Number of coming writes that take effect and get no response. */
  lostResponseCount: number
  /** Number of coming writes that get no response and take effect after `lateWriteDelayMs`, if their condition still holds. */
  lateWriteCount: number
  lateWriteDelayMs: number
}

/** An in-memory store with revisions, leases and watches, on the given timers. */
export interface FakeRevisionedStore {
  readonly faults: FakeRevisionedStoreFaults
  readonly store: RevisionedStore
  /** Writes as another client, without a lease. */
  put (key: string, value: string): void
  remove (key: string): void
  peek (key: string): StoredItem | undefined
  /** Drops the history so far; watches after an older revision fail. */
  dropHistory (): void
  /** Returns a copy of the content for `restore`. */
  saveCopy (): StoreCopy
  /** Comes back from a copy in the next era: what was acknowledged since is gone, leases and revisions too. */
  restore (copy: StoreCopy): void
  getEra (): number
  /** Returns the number of calls; a watch counts once, a late write not at all. */
  countCalls (): number
}

/** The content of the store at one time. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoredItem & { readonly leaseId: LeaseId }>
  readonly leases: ReadonlyMap<LeaseId, Lease>
  readonly revision: number
  readonly leaseCount: number
}

interface Lease {
  readonly durationMs: number
  endsAtMs: number
}

const callTimeoutMs = 600
const watchPollIntervalMs = 10

/** Creates an empty store. */
export function createFakeRevisionedStore (timers: TimerService): FakeRevisionedStore {
  let items = new Map<string, StoredItem & { leaseId: LeaseId }>()
  let leases = new Map<LeaseId, Lease>()
  let era = 1
  let history: StoredChange[] = []
  let droppedRevision = 0
  let revision = 10
  let leaseCount = 0
  let callCount = 0
  const faults: FakeRevisionedStoreFaults = {
    isDown: false, isSilent: false, responseDelayMs: 2, lostResponseCount: 0, lateWriteCount: 0, lateWriteDelayMs: 2000
  }

  function set (key: string, value: string | undefined, leaseId: LeaseId = 0): number {
    revision += 1
    if (value === undefined) items.delete(key)
    else items.set(key, { key, value, revision, leaseId })
    history.push({ key, revision, value })
    return revision
  }

  function expireLeases (): void {
    for (const [id, lease] of leases) {
      if (lease.endsAtMs <= timers.nowMs()) endLease(id)
    }
  }

  function endLease (id: LeaseId): void {
    leases.delete(id)
    for (const item of [...items.values()]) {
      if (item.leaseId === id) set(item.key, undefined)
    }
  }

  async function respond<T> (getResult: () => Result<T, StoreError>): Promise<Result<T, StoreError>> {
    callCount += 1
    expireLeases()
    if (faults.isSilent) {
      await delay(timers, callTimeoutMs)
      return failure({ kind: StoreErrorKind.Ambiguous, reason: 'no response' })
    }
    await delay(timers, faults.responseDelayMs)
    if (faults.isDown) return failure({ kind: StoreErrorKind.Unavailable, reason: 'the store is down' })
    expireLeases()
    return getResult()
  }

  function applyWrite (key: string, expectedRevision: number, value: string, leaseId: LeaseId): Result<StorePosition, StoreError> {
    expireLeases()
    if ((items.get(key)?.revision ?? 0) !== expectedRevision) return failure({ kind: StoreErrorKind.Conflict, reason: 'the key has another revision' })
    if (leaseId !== 0 && !leases.has(leaseId)) return failure({ kind: StoreErrorKind.LeaseEnded, reason: 'the lease does not exist' })
    return success({ era, revision: set(key, value, leaseId) })
  }

  function listChanges (prefix: string, afterRevision: number): Result<StoreChanges, StoreError> {
    if (afterRevision < droppedRevision || afterRevision > revision) return failure({ kind: StoreErrorKind.HistoryDropped, reason: 'the history was dropped' })
    const changes = history.filter(change => change.revision > afterRevision && change.key.startsWith(prefix))
    return success({ era, changes, asOfRevision: revision })
  }

  const store: RevisionedStore = {
    read: prefix => respond(() => success({
      era,
      items: [...items.values()].filter(item => item.key.startsWith(prefix)),
      asOfRevision: revision
    })),
    async watch (prefix, afterRevision, waitMs) {
      const endsAtMs = timers.nowMs() + waitMs
      for (;;) {
        const result = await respond(() => listChanges(prefix, afterRevision))
        if (!result.isOk || result.value.changes.length > 0 || timers.nowMs() >= endsAtMs) return result
        callCount -= 1
        await delay(timers, watchPollIntervalMs)
      }
    },
    async write ({ key, expectedRevision, value, leaseId }) {
      if (faults.lateWriteCount > 0) {
        faults.lateWriteCount -= 1
        timers.subscribeOnce(faults.lateWriteDelayMs, () => applyWrite(key, expectedRevision, value, leaseId))
        await delay(timers, callTimeoutMs)
        return failure({ kind: StoreErrorKind.Ambiguous, reason: 'no response' })
      }
      const result = await respond(() => applyWrite(key, expectedRevision, value, leaseId))
      if (faults.lostResponseCount === 0) return result
      faults.lostResponseCount -= 1
      return failure({ kind: StoreErrorKind.Ambiguous, reason: 'no response' })
    },
    remove: (key, expectedRevision) => respond(() => {
      if ((items.get(key)?.revision ?? 0) !== expectedRevision) return failure({ kind: StoreErrorKind.Conflict, reason: 'the key has another revision' })
      set(key, undefined)
      return success(undefined)
    }),
    grantLease: durationMs => respond(() => {
      leaseCount += 1
      leases.set(leaseCount, { durationMs, endsAtMs: timers.nowMs() + durationMs })
      return success({ era, leaseId: leaseCount })
    }),
    renewLease: leaseId => respond(() => {
      const lease = leases.get(leaseId)
      if (lease === undefined) return failure({ kind: StoreErrorKind.LeaseEnded, reason: 'the lease does not exist' })
      lease.endsAtMs = timers.nowMs() + lease.durationMs
      return success(era)
    }),
    revokeLease: leaseId => respond(() => {
      endLease(leaseId)
      return success(undefined)
    })
  }

  return {
    faults,
    store,
    put: (key, value) => { set(key, value) },
    remove: key => { set(key, undefined) },
    peek: key => {
      expireLeases()
      return items.get(key)
    },
    dropHistory () {
      droppedRevision = revision
      history = []
    },
    saveCopy: () => ({ items: new Map(items), leases: new Map([...leases].map(([id, lease]) => [id, { ...lease }])), revision, leaseCount }),
    restore (copy) {
      era += 1
      items = new Map(copy.items)
      // The time that leases of the copy have left counts from the return.
      leases = new Map([...copy.leases].map(([id, { durationMs }]) => [id, { durationMs, endsAtMs: timers.nowMs() + durationMs }]))
      ;({ revision, leaseCount } = copy)
      history = []
      droppedRevision = revision
    },
    getEra: () => era,
    countCalls: () => callCount
  }
}
