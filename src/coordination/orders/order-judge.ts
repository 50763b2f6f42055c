import { OrderState, parseOrderRecord } from '../../state/order-record.js'
import type { KeyValueEntry } from '../ports/key-value-store.js'
import { EarlierAttempts, OrderOutcomeKind, type OrderOutcome } from './order-outcome.js'
import type { OrderReplies } from './order-replies.js'
import { decodeStoredResponse } from './order-sender.js'
import type { OverdueClaims } from './overdue-claims.js'

/** Says what a stored record means for an attempt. */
export interface OrderJudge {
  /**
   * Returns the outcome for an attempt with the given request digest, or for a status request
   * without one. `NotRun` means that the order may be claimed at the entry's revision.
   */
  judge (entry: KeyValueEntry, digest?: string): Promise<OrderOutcome>
}

export interface OrderJudgeOptions {
  readonly replies: OrderReplies
  readonly overdueClaims: OverdueClaims
  /** Tells whether this process is at work on the claim. */
  isHeld (claimToken: string): boolean
}

/** Creates the judge of one node. */
export function createOrderJudge ({ replies, overdueClaims, isHeld }: OrderJudgeOptions): OrderJudge {
  async function judge (entry: KeyValueEntry, digest?: string): Promise<OrderOutcome> {
    const record = parseOrderRecord(entry.value)
    if (record === undefined) return { kind: OrderOutcomeKind.Unknown, reason: 'the order record is unreadable' }
    if (digest !== undefined && record.requestSha256Hex !== digest) {
      return { kind: OrderOutcomeKind.KeyReused, reason: 'the idempotency key was used for another request' }
    }
    switch (record.state) {
      case OrderState.Done:
        if (record.answer === undefined) return { kind: OrderOutcomeKind.Unknown, reason: 'the order record has no answer' }
        return { kind: OrderOutcomeKind.Done, answer: decodeStoredResponse(record.answer), isReplayed: true }
      case OrderState.Released:
        return replies.notRun('an earlier attempt was released', EarlierAttempts.NoneRan)
      case OrderState.Unknown:
        return { kind: OrderOutcomeKind.Unknown, reason: 'an earlier attempt may have run and its answer is lost' }
      case OrderState.Claimed: {
        if (isHeld(record.claimToken)) return replies.running()
        const overdueInMs = overdueClaims.observe(entry, record)
        if (overdueInMs > 0) return replies.running(overdueInMs)
        const marked = await overdueClaims.markUnknown(entry, record)
        return marked === undefined ? replies.running() : judge(marked, digest)
      }
    }
  }

  return { judge }
}
