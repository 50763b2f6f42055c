import type { ResponseSource, OrderId } from '../../state/order-record.js'

/** One attempt of a caller to have an order run. */
export interface OrderRequest extends OrderId {
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
  /** Time that the caller still waits. */
  readonly deadlineMs: number
  /** Chooses the address of a backend server that takes new work; undefined when there is none. */
  pickBackend (): string | undefined
  readonly traceParent?: string
}

/** A question about the state of an order. */
export interface OrderStatusRequest extends OrderId {
  /** Path of the service's own status check, with `{key}` in place of the idempotency key. */
  readonly statusPath?: string
  pickBackend (): string | undefined
  readonly traceParent?: string
}

export enum OrderOutcomeKind {
  Done = 'done',
  NotRun = 'notRun',
  Running = 'running',
  Unknown = 'unknown',
  KeyReused = 'keyReused',
  /** Only for status requests: there is no record under the key. */
  NotFound = 'notFound',
  /** Only for status requests: the store could not be read. */
  Unavailable = 'unavailable'
}

/** What is known about other attempts under the key of an attempt that did not run. */
export enum EarlierAttempts {
  /** No attempt under the key had run before this one was made; attempts made at the same time are not counted. */
  NoneRan = 'noneRan',
  /** The record could not be read; an earlier attempt may have run. */
  NotChecked = 'notChecked'
}

export interface OrderResponse {
  readonly statusCode: number
  readonly contentType: string
  readonly body: Buffer
  /** True when the body was too large to be stored; only replayed answers lack their body. */
  readonly isBodyOmitted: boolean
  readonly source: ResponseSource
}

export interface DoneOutcome {
  readonly kind: OrderOutcomeKind.Done
  readonly answer: OrderResponse
  /** True when the answer comes from the record of an earlier attempt. */
  readonly isReplayed: boolean
}

/** This attempt sent nothing and never will; the caller may try again with the same key. */
export interface NotRunOutcome {
  readonly kind: OrderOutcomeKind.NotRun
  readonly reason: string
  readonly retryAfterMs: number
  readonly earlierAttempts: EarlierAttempts
}

/** An attempt under the key is under way; the caller may ask again later. */
export interface RunningOutcome {
  readonly kind: OrderOutcomeKind.Running
  readonly retryAfterMs: number
}

/** The order may have run, and is never sent again under this key. */
export interface UnknownOutcome {
  readonly kind: OrderOutcomeKind.Unknown
  readonly reason: string
}

/** The key was used for another request. */
export interface KeyReusedOutcome {
  readonly kind: OrderOutcomeKind.KeyReused
  readonly reason: string
}

export interface NotFoundStatus {
  readonly kind: OrderOutcomeKind.NotFound
  readonly reason: string
}

export interface UnavailableStatus {
  readonly kind: OrderOutcomeKind.Unavailable
  readonly reason: string
  readonly retryAfterMs: number
}

export type OrderOutcome = DoneOutcome | NotRunOutcome | RunningOutcome | UnknownOutcome | KeyReusedOutcome

export type OrderStatus = OrderOutcome | NotFoundStatus | UnavailableStatus
