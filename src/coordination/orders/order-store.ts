import type { RandomSource } from '../../shared/random-source.js'
import { failure, success, type Result } from '../../shared/result.js'
import type { TimerService } from '../../shared/timer-service.js'
import { encodeOrderRecord, type OrderRecord } from '../../state/order-record.js'
import { KeyValueErrorKind, type KeyValueEntry, type KeyValueError, type KeyValueStore } from '../ports/key-value-store.js'
import type { OrderSettings } from './order-settings.js'

/** A conditional write of an order record. */
export interface OrderWrite {
  readonly key: string
  /** Revision that the key must have; 0 means that it must be absent. */
  readonly expectedRevision: number
  readonly record: OrderRecord
}

/** Reads and writes order records, which expire with their lease. */
export interface OrderStore {
  read (key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>>
  /** Writes a record, which is kept for the retention time at least. Returns its revision. */
  write (write: OrderWrite): Promise<Result<number, KeyValueError>>
}

interface LeaseBucket {
  readonly leaseId: string
  readonly endsAtMs: number
}

/** One retry, with a new lease after the store rejected the old one. */
const maxWriteAttemptCount = 2

/**
 * Creates the order store of one node. All records written within one time bucket share a lease, which
 * saves a lease grant per order. The first bucket is shortened at random so that nodes that start together
 * do not all request leases at the same time.
 */
export function createOrderStore (store: KeyValueStore, timers: TimerService, random: RandomSource, settings: OrderSettings): OrderStore {
  let bucket: LeaseBucket | undefined
  let pending: Promise<Result<string, KeyValueError>> | undefined

  async function grant (): Promise<Result<string, KeyValueError>> {
    const requestedAtMs = timers.nowMs()
    const spanMs = bucket === undefined ? settings.leaseBucketMs * (0.5 + random.nextFloat() / 2) : settings.leaseBucketMs
    const granted = await store.grantLease(settings.retentionMs + settings.leaseBucketMs)
    if (!granted.isOk) return unavailable('the key-value service does not grant a lease')
    bucket = { leaseId: granted.value, endsAtMs: requestedAtMs + spanMs }
    return granted
  }

  async function getLease (): Promise<Result<string, KeyValueError>> {
    if (bucket !== undefined && timers.nowMs() < bucket.endsAtMs) return success(bucket.leaseId)
    pending ??= grant().finally(() => { pending = undefined })
    return pending
  }

  function dropLease (leaseId: string): void {
    if (bucket?.leaseId === leaseId) bucket = undefined
  }

  return {
    read: key => store.get(key),
    async write ({ key, expectedRevision, record }) {
      for (let count = 0; count < maxWriteAttemptCount; count += 1) {
        const lease = await getLease()
        if (!lease.isOk) return lease
        const value = encodeOrderRecord(record)
        const written = await store.compareAndSwap({ key, expectedRevision, value, leaseId: lease.value })
        if (written.isOk || !isLeaseRefusal(expectedRevision, written.error)) return written
        dropLease(lease.value)
      }
      return unavailable('the key-value service rejects the lease')
    }
  }
}

/** A conflict at the expected revision means that the store no longer knows the lease. */
function isLeaseRefusal (expectedRevision: number, error: KeyValueError): boolean {
  return error.kind === KeyValueErrorKind.Conflict && (error.current?.revision ?? 0) === expectedRevision
}

function unavailable (reason: string): Result<never, KeyValueError> {
  return failure({ kind: KeyValueErrorKind.Unavailable, reason })
}
