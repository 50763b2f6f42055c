import type { RequestPriority } from '../../state/fleet-config.js'
import type { RoutableGroup } from '../routing/routable-group.js'

export interface AdmissionRequest {
  readonly partner: string
  readonly team: string
  readonly deployment: string
  /** Hash of the prompt's first part. */
  readonly prefixHash?: string
  readonly priority: RequestPriority
  /** Time left for the whole answer, from now. */
  readonly deadlineMs: number
  /** Aborted when the caller went away; a waiting request is then refused at once. */
  readonly signal?: AbortSignal
  /**
   * Set on a second try after another group failed before the first token. Such a request spends
   * from the retry budget and never waits.
   */
  readonly retry?: { readonly excludedGroupIds: readonly string[] }
  /** Groups that failed the request after its first token; it goes on elsewhere, and may wait for that. */
  readonly excludedGroupIds?: readonly string[]
}

export enum AdmissionKind {
  Admitted = 'admitted',
  Refused = 'refused'
}

export enum RefusalReason {
  /** No complete group of the deployment is known. */
  NoGroup = 'noGroup',
  /** The queue is full, or the request would wait longer than allowed. */
  Overloaded = 'overloaded',
  /** The request cannot start early enough to meet its deadline. */
  DeadlineUnreachable = 'deadlineUnreachable',
  /** Too many second tries for the number of successes. */
  RetryBudgetExhausted = 'retryBudgetExhausted',
  /** The caller went away while the request waited. */
  Cancelled = 'cancelled',
  /** This node is shutting down. */
  Closed = 'closed'
}

/** How an admitted request ended. */
export enum RequestOutcome {
  Succeeded = 'succeeded',
  /** The engine refused it as full, before the first token. */
  EngineFull = 'engineFull',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

export interface Admitted {
  readonly kind: AdmissionKind.Admitted
  readonly group: RoutableGroup
  /** Time that the request waited for its turn. */
  readonly waitedMs: number
  /** Gives the slot back. Has no effect the second time. */
  release (outcome: RequestOutcome): void
}

export interface Refused {
  readonly kind: AdmissionKind.Refused
  readonly reason: RefusalReason
  /** Time after which the caller may try again; above zero. */
  readonly retryAfterMs: number
}

export type Admission = Admitted | Refused
