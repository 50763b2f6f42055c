import type { ResponseSource, OrderId } from '../../state/order-record.js'

/** A client's attempt to run an order. */
export interface OrderRequest extends OrderId {
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
  /** Time from now that the client will still wait, in milliseconds; a duration, unlike the deadlines of a claim. */
  readonly timeoutMs: number
  /** Returns the address of a backend server that accepts new work; undefined when there is none. */
  pickBackend (): string | undefined
  readonly traceParent?: string
}

/** A client's request for the status of an order. */
export interface OrderStatusRequest extends OrderId {
  /** Path template of the service's status check; `{key}` is replaced by the idempotency key. */
  readonly statusPath?: string
  pickBackend (): string | undefined
  readonly traceParent?: string
}

/** Result of an attempt, or status of an order. */
export enum OrderOutcomeKind {
  Done = 'done',
  /** This attempt did not run and never will. */
  NotRun = 'notRun',
  Running = 'running',
  /** The order may have run; its outcome cannot be determined. */
  Unknown = 'unknown',
  KeyReused = 'keyReused',
  /** Only for status requests: there is no record under the key. */
  NotFound = 'notFound',
  /** Only for status requests: the store could not be read. */
  Unavailable = 'unavailable'
}

/** For an attempt that did not run: whether an earlier attempt under the same key may have run. */
export enum EarlierAttempts {
  /** No attempt under the key had run before this one started; concurrent attempts are not considered. */
  NoneRan = 'noneRan',
  /** Whether an earlier attempt ran was not determined; one may have run. */
  NotChecked = 'notChecked'
}

/** A service's response, as returned to the client. */
export interface OrderResponse {
  readonly statusCode: number
  readonly contentType: string
  readonly body: Buffer
  /** True when the body was too large to be stored; this affects replayed responses only. */
  readonly isBodyOmitted: boolean
  readonly source: ResponseSource
}

/** The order ran and the response is known. */
export interface DoneOutcome {
  readonly kind: OrderOutcomeKind.Done
  readonly answer: OrderResponse
  /** True when the response comes from the stored record of an earlier attempt. */
  readonly isReplayed: boolean
}

/** This attempt sent nothing and never will; the client may retry with the same key. */
export interface NotRunOutcome {
  readonly kind: OrderOutcomeKind.NotRun
  readonly reason: string
  readonly retryAfterMs: number
  readonly earlierAttempts: EarlierAttempts
}

/** An attempt under the key is in flight; the client may retry later. */
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

/** There is no record under the key. */
export interface NotFoundStatus {
  readonly kind: OrderOutcomeKind.NotFound
  readonly reason: string
}

/** The store could not be read; the client may retry later. */
export interface UnavailableStatus {
  readonly kind: OrderOutcomeKind.Unavailable
  readonly reason: string
  readonly retryAfterMs: number
}

/** Result of an attempt to run an order. */
export type OrderOutcome = DoneOutcome | NotRunOutcome | RunningOutcome | UnknownOutcome | KeyReusedOutcome

/** Result of a status request. */
export type OrderStatus = OrderOutcome | NotFoundStatus | UnavailableStatus
