import type { OrderOutcomeKind } from './order-outcome.js'

export enum OrderEventKind {
  /** An attempt was answered. */
  Answered = 'answered',
  /** The reply to a claim was lost and could not be decided at once. */
  ClaimUndecided = 'claimUndecided',
  /** An outcome could not be written at the first try and is retried. */
  WriteDelayed = 'writeDelayed',
  /** A delayed write took effect, or was found to be no longer needed. */
  WriteSettled = 'writeSettled',
  /** A delayed write was given up; other nodes will report the order as unknown. */
  WriteGivenUp = 'writeGivenUp',
  /** A claim of another node was overdue and is now recorded as unknown. */
  OverdueMarked = 'overdueMarked'
}

/** What the order ledger tells logs and metrics. */
export type OrderEvent =
  | { readonly kind: OrderEventKind.Answered, readonly key: string, readonly outcome: OrderOutcomeKind, readonly durationMs: number }
  | { readonly kind: OrderEventKind.ClaimUndecided, readonly key: string }
  | { readonly kind: OrderEventKind.WriteDelayed, readonly key: string }
  | { readonly kind: OrderEventKind.WriteSettled, readonly key: string }
  | { readonly kind: OrderEventKind.WriteGivenUp, readonly key: string }
  | { readonly kind: OrderEventKind.OverdueMarked, readonly key: string }
