/** Whether the work of a failed request ran. */
export enum WorkState {
  /** Nothing ran, neither for this request nor for an earlier one with its idempotency key. */
  NotRun = 'not_run',
  /** Nothing ran for this request; earlier ones with its idempotency key were not looked up. */
  AttemptNotRun = 'attempt_not_run',
  /** Some of the answer was produced. */
  PartlyRun = 'partly_run',
  Running = 'running',
  Unknown = 'unknown'
}

export enum CallerErrorKind {
  MalformedRequest = 'malformed_request',
  Unauthorized = 'unauthorized',
  Forbidden = 'forbidden',
  NotFound = 'not_found',
  MethodNotAllowed = 'method_not_allowed',
  BodyTooLarge = 'body_too_large',
  IdempotencyKeyMissing = 'idempotency_key_missing',
  IdempotencyKeyReused = 'idempotency_key_reused',
  StillRunning = 'still_running',
  OutcomeUnknown = 'outcome_unknown',
  Overloaded = 'overloaded',
  Unavailable = 'unavailable',
  DeadlineExceeded = 'deadline_exceeded',
  Interrupted = 'interrupted',
  Internal = 'internal'
}

/** An error as a caller is told it. */
export interface CallerError {
  readonly kind: CallerErrorKind
  readonly message: string
  readonly workState: WorkState
  /** When to come back; undefined where coming back does not help. */
  readonly retryAfterMs?: number
}

const statusCodes: Readonly<Record<CallerErrorKind, number>> = {
  [CallerErrorKind.MalformedRequest]: 400,
  [CallerErrorKind.Unauthorized]: 401,
  [CallerErrorKind.Forbidden]: 403,
  [CallerErrorKind.NotFound]: 404,
  [CallerErrorKind.MethodNotAllowed]: 405,
  [CallerErrorKind.BodyTooLarge]: 413,
  [CallerErrorKind.IdempotencyKeyMissing]: 400,
  [CallerErrorKind.IdempotencyKeyReused]: 422,
  [CallerErrorKind.StillRunning]: 409,
  [CallerErrorKind.OutcomeUnknown]: 502,
  [CallerErrorKind.Overloaded]: 429,
  [CallerErrorKind.Unavailable]: 503,
  [CallerErrorKind.DeadlineExceeded]: 504,
  [CallerErrorKind.Interrupted]: 502,
  [CallerErrorKind.Internal]: 500
}

const errorTypes: Readonly<Record<number, string>> = {
  400: 'invalid_request_error',
  401: 'authentication_error',
  403: 'permission_error',
  404: 'not_found_error',
  429: 'rate_limit_error'
}

const millisecondsPerSecond = 1000

/** Returns the HTTP status code of an error. */
export function getStatusCode (error: CallerError): number {
  return statusCodes[error.kind]
}

/** Returns the body of an error in the shape that OpenAI clients expect, with the state of the work. */
export function toErrorBody (error: CallerError): object {
  return {
    error: {
      message: error.message,
      type: errorTypes[getStatusCode(error)] ?? 'server_error',
      param: null,
      code: error.kind,
      work_state: error.workState,
      ...(error.retryAfterMs === undefined ? {} : { retry_after_ms: Math.ceil(error.retryAfterMs) })
    }
  }
}

/** Returns the headers that go with an error; `Retry-After` in whole seconds, `retry-after-ms` exactly. */
export function toErrorHeaders (error: CallerError): Record<string, string> {
  if (error.retryAfterMs === undefined) return {}
  return {
    'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / millisecondsPerSecond))),
    'retry-after-ms': String(Math.ceil(error.retryAfterMs))
  }
}

/** Creates an error for a request of which nothing ran. */
export function notRun (kind: CallerErrorKind, message: string, retryAfterMs?: number): CallerError {
  return { kind, message, workState: WorkState.NotRun, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** Creates an error for an attempt that sent nothing, while earlier ones with its key may have run. */
export function attemptNotRun (kind: CallerErrorKind, message: string, retryAfterMs: number): CallerError {
  return { kind, message, workState: WorkState.AttemptNotRun, retryAfterMs }
}
