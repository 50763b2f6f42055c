import type { IncomingMessage } from 'node:http'

/** How far a failed request was executed; clients read it as `work_state`. */
export enum WorkState {
  /** Neither this request nor an earlier one with its idempotency key was executed. */
  NotRun = 'not_run',
  /** This request was not executed; earlier ones with its idempotency key were not looked up. */
  AttemptNotRun = 'attempt_not_run',
  /** Part of the response was produced. */
  PartlyRun = 'partly_run',
  /** Another request with the idempotency key is in progress. */
  Running = 'running',
  /** The request may have been executed. */
  Unknown = 'unknown'
}

/** Kinds of errors; the value is the `code` in the error body, and the kind determines the HTTP status. */
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

/** An error of the client API. */
export interface ApiError {
  readonly kind: ApiErrorKind
  readonly message: string
  readonly workState: WorkState
  /** Time after which a retry may succeed; undefined if a retry does not help. */
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

/** Returns the body of an error in the shape that OpenAI clients expect, with the work state in addition. */
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

/** Returns the headers of an error response: `retry-after` in whole seconds, at least 1, and `retry-after-ms`. */
export function toErrorHeaders (error: ApiError): Record<string, string> {
  if (error.retryAfterMs === undefined) return {}
  return {
    'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / millisecondsPerSecond))),
    'retry-after-ms': String(Math.ceil(error.retryAfterMs))
  }
}

/**
 * Creates an error for a request that was not executed. For a request with an idempotency key it is meant for cases in
 * which no earlier attempt was executed either.
 */
export function createNotRunError (kind: ApiErrorKind, message: string, retryAfterMs?: number): ApiError {
  return { kind, message, workState: WorkState.NotRun, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** Creates an error for a request that was not executed, while earlier ones with its idempotency key may have been. */
export function createAttemptNotRunError (kind: ApiErrorKind, message: string, retryAfterMs: number): ApiError {
  return { kind, message, workState: WorkState.AttemptNotRun, retryAfterMs }
}

/** Creates the error for a request that is refused before its idempotency key, if it has one, is looked up. */
export function createRefusal (request: IncomingMessage, kind: ApiErrorKind, message: string, retryAfterMs: number): ApiError {
  const hasIdempotencyKey = request.headers['idempotency-key'] !== undefined
  const refuse = hasIdempotencyKey ? createAttemptNotRunError : createNotRunError
  return refuse(kind, message, retryAfterMs)
}
