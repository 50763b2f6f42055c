import type { RandomSource } from '../../shared/random-source.js'
import { success, type Result } from '../../shared/result.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { KeyValueError, KeyValueStore } from '../ports/key-value-store.js'
import type { OrderSettings } from './order-settings.js'

/** Provides the lease that ends the life of order records. */
export interface OrderLeases {
  /** Returns a lease that outlives the retention time. All records of one bucket share it. */
  getLease (): Promise<Result<string, KeyValueError>>
}

interface LeaseBucket {
  readonly leaseId: string
  readonly endsAtMs: number
}

/**
 * Creates the leases of one node: one grant a bucket instead of one an order.
 * The first bucket is shortened at random, so that nodes started together do not renew together.
 */
export function createOrderLeases (store: KeyValueStore, timers: TimerService, random: RandomSource, settings: OrderSettings): OrderLeases {
  let bucket: LeaseBucket | undefined
  let pending: Promise<Result<string, KeyValueError>> | undefined

  async function grant (): Promise<Result<string, KeyValueError>> {
    const askedAtMs = timers.nowMs()
    const spanMs = bucket === undefined ? settings.leaseBucketMs * (0.5 + random.nextFloat() / 2) : settings.leaseBucketMs
    const granted = await store.grantLease(settings.retentionMs + settings.leaseBucketMs)
    if (granted.isOk) bucket = { leaseId: granted.value, endsAtMs: askedAtMs + spanMs }
    return granted
  }

  return {
    async getLease () {
      if (bucket !== undefined && timers.nowMs() < bucket.endsAtMs) return success(bucket.leaseId)
      pending ??= grant().finally(() => { pending = undefined })
      return pending
    }
  }
}
