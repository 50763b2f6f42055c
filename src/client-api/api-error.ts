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

export enum ApiErrorKind {
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
export interface ApiError {
  readonly kind: ApiErrorKind
  readonly message: string
  readonly workState: WorkState
  /** When to come back; undefined where coming back does not help. */
  readonly retryAfterMs?: number
}

const statusCodes: Readonly<Record<ApiErrorKind, number>> = {
  [ApiErrorKind.MalformedRequest]: 400,
  [ApiErrorKind.Unauthorized]: 401,
  [ApiErrorKind.Forbidden]: 403,
  [ApiErrorKind.NotFound]: 404,
  [ApiErrorKind.MethodNotAllowed]: 405,
  [ApiErrorKind.BodyTooLarge]: 413,
  [ApiErrorKind.IdempotencyKeyMissing]: 400,
  [ApiErrorKind.IdempotencyKeyReused]: 422,
  [ApiErrorKind.StillRunning]: 409,
  [ApiErrorKind.OutcomeUnknown]: 502,
  [ApiErrorKind.Overloaded]: 429,
  [ApiErrorKind.Unavailable]: 503,
  [ApiErrorKind.DeadlineExceeded]: 504,
  [ApiErrorKind.Interrupted]: 502,
  [ApiErrorKind.Internal]: 500
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
export function getStatusCode (error: ApiError): number {
  return statusCodes[error.kind]
}

/** Returns the body of an error in the shape that OpenAI clients expect, with the state of the work. */
export function toErrorBody (error: ApiError): object {
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
export function toErrorHeaders (error: ApiError): Record<string, string> {
  if (error.retryAfterMs === undefined) return {}
  return {
    'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / millisecondsPerSecond))),
    'retry-after-ms': String(Math.ceil(error.retryAfterMs))
  }
}

/** Creates an error for a request of which nothing ran. */
export function notRun (kind: ApiErrorKind, message: string, retryAfterMs?: number): ApiError {
  return { kind, message, workState: WorkState.NotRun, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** Creates an error for an attempt that sent nothing, while earlier ones with its key may have run. */
export function attemptNotRun (kind: ApiErrorKind, message: string, retryAfterMs: number): ApiError {
  return { kind, message, workState: WorkState.AttemptNotRun, retryAfterMs }
}
