import { OrderState, parseOrderRecord } from '../../state/order-record.js'
import type { KeyValueEntry } from '../ports/key-value-store.js'
import { EarlierAttempts, OrderOutcomeKind, type OrderOutcome } from './order-outcome.js'
import type { RetryOutcomeFactory } from './retry-outcomes.js'
import { decodeStoredResponse } from './order-sender.js'
import type { OverdueClaimTracker } from './overdue-claim-tracker.js'

/** Derives the outcome of an attempt from the stored record of its order. */
export interface OrderRecordEvaluator {
  /**
   * Returns the outcome for an attempt with the given request digest, or for a status request,
   * which has none. `NotRun` means that the order may be claimed at the entry's revision.
   */
  evaluate (entry: KeyValueEntry, digest?: string): Promise<OrderOutcome>
}

export interface OrderRecordEvaluatorOptions {
  readonly retryOutcomes: RetryOutcomeFactory
  readonly overdueClaims: OverdueClaimTracker
  /** Returns whether this process is currently running the order of the claim. */
  isRunningHere (claimToken: string): boolean
}

/** Creates the record evaluator of one node. */
export function createOrderRecordEvaluator ({ retryOutcomes, overdueClaims, isRunningHere }: OrderRecordEvaluatorOptions): OrderRecordEvaluator {
  async function evaluate (entry: KeyValueEntry, digest?: string): Promise<OrderOutcome> {
    const record = parseOrderRecord(entry.value)
    if (record === undefined) return { kind: OrderOutcomeKind.Unknown, reason: 'the order record is unreadable' }
    if (digest !== undefined && record.requestSha256Hex !== digest) {
      return { kind: OrderOutcomeKind.KeyReused, reason: 'the idempotency key was used for another request' }
    }
    switch (record.state) {
      case OrderState.Done:
        if (record.answer === undefined) return { kind: OrderOutcomeKind.Unknown, reason: 'the order record has no response' }
        return { kind: OrderOutcomeKind.Done, answer: decodeStoredResponse(record.answer), isReplayed: true }
      case OrderState.Released:
        return retryOutcomes.notRun('an earlier attempt under this key did not run', EarlierAttempts.NoneRan)
      case OrderState.Unknown:
        return { kind: OrderOutcomeKind.Unknown, reason: 'an earlier attempt may have run and its response was lost' }
      case OrderState.Claimed: {
        if (isRunningHere(record.claimToken)) return retryOutcomes.running()
        const overdueInMs = overdueClaims.track(entry, record)
        if (overdueInMs > 0) return retryOutcomes.running(overdueInMs)
        const marked = await overdueClaims.markUnknown(entry, record)
        return marked === undefined ? retryOutcomes.running() : evaluate(marked, digest)
      }
    }
  }

  return { evaluate }
}
