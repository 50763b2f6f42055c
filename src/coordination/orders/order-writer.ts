import type { Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import { decideOverwrite, OverwriteDecision, parseOrderRecord } from '../../state/order-record.js'
import { KeyValueErrorKind, type KeyValueEntry } from '../ports/key-value-store.js'
import { OrderEventKind, type OrderEvent } from './order-event.js'
import type { OrderSettings } from './order-settings.js'
import type { OrderStore, OrderWrite } from './order-store.js'

/** A record that the holder of a claim token has to store. */
export interface PendingWrite extends OrderWrite {
  /** Time for which the write is retried; undefined retries for the life of the process. */
  readonly retryForMs?: number
}

/** Writes the final state of claims, and retries in the background while the store does not respond. */
export interface OrderWriter {
  /** Resolves after the first attempt; retries continue in the background. */
  write (write: PendingWrite): Promise<void>
  /** Number of writes that are neither settled nor abandoned. */
  getPendingCount (): number
}

export interface OrderWriterOptions {
  readonly store: OrderStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly events: Channel<OrderEvent>
  readonly settings: OrderSettings
  /** Called whenever a write has been settled or abandoned. */
  onSettled (): void
}

/** Conflicts that one attempt resolves by overwriting, before it waits for the next retry. */
const maxOverwriteCount = 4

/** Creates the order writer of one node. */
export function createOrderWriter ({ store, timers, random, events, settings, onSettled }: OrderWriterOptions): OrderWriter {
  let pendingCount = 0

  /** Returns the write to retry; undefined when it succeeded or is no longer needed. */
  async function tryWrite (write: PendingWrite): Promise<PendingWrite | undefined> {
    let next = write
    for (let count = 0; count < maxOverwriteCount; count += 1) {
      const stored = await store.write(next)
      if (stored.isOk) return undefined
      if (stored.error.kind !== KeyValueErrorKind.Conflict) return next
      const overwritten = prepareOverwrite(next, stored.error.current)
      if (overwritten === undefined) return undefined
      next = overwritten
    }
    return next
  }

  function finish (): void {
    pendingCount -= 1
    onSettled()
  }

  async function retry (write: PendingWrite): Promise<void> {
    const startedAtMs = timers.nowMs()
    let backoffMs = settings.minBackoffMs
    let next: PendingWrite | undefined = write
    events.send({ kind: OrderEventKind.WriteDelayed, key: write.key })
    while (next !== undefined) {
      await delay(timers, backoffMs * (0.5 + random.nextFloat()))
      if (write.retryForMs !== undefined && timers.nowMs() - startedAtMs > write.retryForMs) {
        events.send({ kind: OrderEventKind.WriteGivenUp, key: write.key })
        return
      }
      backoffMs = Math.min(backoffMs * 2, settings.maxBackoffMs)
      next = await tryWrite(next)
    }
    events.send({ kind: OrderEventKind.WriteSettled, key: write.key })
  }

  return {
    async write (write) {
      pendingCount += 1
      const unsettled = await tryWrite(write)
      if (unsettled === undefined) {
        finish()
      } else {
        void retry(unsettled).finally(finish)
      }
    },
    getPendingCount: () => pendingCount
  }
}

function prepareOverwrite (write: PendingWrite, current: KeyValueEntry | undefined): PendingWrite | undefined {
  if (current === undefined) return undefined
  const found = parseOrderRecord(current.value)
  if (found === undefined) return undefined
  if (decideOverwrite(found, write.record) !== OverwriteDecision.Overwrite) return undefined
  return { ...write, expectedRevision: current.revision }
}
