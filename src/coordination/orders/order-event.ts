import type { OrderOutcomeKind } from './order-outcome.js'

/** Kinds of order events. */
export enum OrderEventKind {
  /** An attempt got its outcome, which may be that the order is still running at the client's deadline. */
  Answered = 'answered',
  /** A claim was abandoned: whether it was stored is unknown, or the existing record expired during the claim. */
  ClaimUndecided = 'claimUndecided',
  /** The first attempt to write an outcome failed; the write is retried in the background. */
  WriteDelayed = 'writeDelayed',
  /** A delayed write succeeded, or turned out to be unnecessary. */
  WriteSettled = 'writeSettled',
  /** A delayed write was abandoned; other nodes will report the order's outcome as unknown. */
  WriteGivenUp = 'writeGivenUp',
  /** The outcome of a claim was overdue, and the claim is now stored as unknown. */
  OverdueMarked = 'overdueMarked'
}

/** Events of the order executor for logs and metrics. */
export type OrderEvent =
  | { readonly kind: OrderEventKind.Answered, readonly key: string, readonly outcome: OrderOutcomeKind, readonly durationMs: number }
  | { readonly kind: OrderEventKind.ClaimUndecided, readonly key: string }
  | { readonly kind: OrderEventKind.WriteDelayed, readonly key: string }
  | { readonly kind: OrderEventKind.WriteSettled, readonly key: string }
  | { readonly kind: OrderEventKind.WriteGivenUp, readonly key: string }
  | { readonly kind: OrderEventKind.OverdueMarked, readonly key: string }
