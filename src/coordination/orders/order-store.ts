import type { RandomSource } from '../../shared/random-source.js'
import { failure, success, type Result } from '../../shared/result.js'
import type { TimerService } from '../../shared/timer-service.js'
import { encodeOrderRecord, type OrderRecord } from '../../state/order-record.js'
import { KeyValueErrorKind, type KeyValueEntry, type KeyValueError, type KeyValueStore } from '../ports/key-value-store.js'
import type { OrderSettings } from './order-settings.js'

export interface OrderWrite {
  readonly key: string
  /** Revision that the key must have; 0 when it must be absent. */
  readonly expectedRevision: number
  readonly record: OrderRecord
}

/** Reads and writes order records, which end with a lease. */
export interface OrderStore {
  read (key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>>
  /** Writes a record that lives for the retention time at least. Returns its revision. */
  write (write: OrderWrite): Promise<Result<number, KeyValueError>>
}

interface LeaseBucket {
  readonly leaseId: string
  readonly endsAtMs: number
}

const maxWriteAttemptCount = 2

/**
 * Creates the access of one node to order records. All records of one bucket share a lease: one
 * grant a bucket instead of one an order. The first bucket is shortened at random, so that nodes
 * started together do not renew together.
 */
export function createOrderStore (store: KeyValueStore, timers: TimerService, random: RandomSource, settings: OrderSettings): OrderStore {
  let bucket: LeaseBucket | undefined
  let pending: Promise<Result<string, KeyValueError>> | undefined

  async function grant (): Promise<Result<string, KeyValueError>> {
    const askedAtMs = timers.nowMs()
    const spanMs = bucket === undefined ? settings.leaseBucketMs * (0.5 + random.nextFloat() / 2) : settings.leaseBucketMs
    const granted = await store.grantLease(settings.retentionMs + settings.leaseBucketMs)
    if (!granted.isOk) return unavailable('the key-value service grants no lease')
    bucket = { leaseId: granted.value, endsAtMs: askedAtMs + spanMs }
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
      return unavailable('the key-value service refuses the lease')
    }
  }
}

/** A conflict although the revision is the expected one: the store no longer knows the lease. */
function isLeaseRefusal (expectedRevision: number, error: KeyValueError): boolean {
  return error.kind === KeyValueErrorKind.Conflict && (error.current?.revision ?? 0) === expectedRevision
}

function unavailable (reason: string): Result<never, KeyValueError> {
  return failure({ kind: KeyValueErrorKind.Unavailable, reason })
}
