import type { RequestPriority } from '../../state/fleet-config.js'
import type { RoutableGroup } from '../routing/routable-group.js'

export interface AdmissionRequest {
  readonly partner: string
  readonly team: string
  readonly deployment: string
  /** Hash of the start of the prompt. */
  readonly prefixHash?: string
  readonly priority: RequestPriority
  /** Time left until the response must be complete, a duration from the call on. */
  readonly deadlineMs: number
  /** Aborted when the client disconnects; a waiting request is then refused immediately. */
  readonly signal?: AbortSignal
  /**
   * Set on a retry after another group failed before the first token. A retry spends from the retry
   * budget and never waits.
   */
  readonly retry?: { readonly excludedGroupIds: readonly string[] }
  /** Groups that failed the request after its first token. It resumes on another group, and may wait for one. */
  readonly excludedGroupIds?: readonly string[]
}

export enum AdmissionKind {
  Admitted = 'admitted',
  Refused = 'refused'
}

export enum RefusalReason {
  /** No complete group that the request may use is known. */
  NoGroup = 'noGroup',
  /** The queue is full, the wait would be too long, or a retry finds no free credit. */
  Overloaded = 'overloaded',
  /** The request cannot start early enough to meet its deadline. */
  DeadlineUnreachable = 'deadlineUnreachable',
  /** Too many retries for the number of successes. */
  RetryBudgetExhausted = 'retryBudgetExhausted',
  /** The client disconnected while the request waited. */
  Cancelled = 'cancelled',
  /** This node is shutting down. */
  Closed = 'closed'
}

/** How an admitted request ended. */
export enum RequestOutcome {
  /** The response is complete; counts towards the retry budget and the mean service time. */
  Succeeded = 'succeeded',
  /** The engine refused it as full, before the first token. */
  EngineFull = 'engineFull',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

export interface Admitted {
  readonly kind: AdmissionKind.Admitted
  readonly group: RoutableGroup
  /** Time that the request spent in the queue. */
  readonly waitedMs: number
  /** Ends the stream's count in flight and starts waiting requests. Further calls have no effect. */
  release (outcome: RequestOutcome): void
}

export interface Refused {
  readonly kind: AdmissionKind.Refused
  readonly reason: RefusalReason
  /** Time after which the client may retry; above zero. */
  readonly retryAfterMs: number
}

export type AdmissionResult = Admitted | Refused
