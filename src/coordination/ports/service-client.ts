import type { Result } from '../../shared/result.js'

export interface ServiceRequest {
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
  /** Forwarded so that the service can detect a repeated request; absent on calls that are safe to repeat. */
  readonly idempotencyKey?: string
  readonly timeoutMs: number
  readonly traceParent?: string
}

export interface ServiceResponse {
  readonly statusCode: number
  readonly contentType: string
  readonly body: Buffer
}

/** Whether a failed call may have reached the service. */
export enum ServiceErrorKind {
  /** No byte of the request left this process, so the service cannot have executed it. */
  NotSent = 'notSent',
  /** The request may have reached the service. */
  Ambiguous = 'ambiguous'
}

export interface ServiceError {
  readonly kind: ServiceErrorKind
  readonly reason: string
}

/** Calls to plain services. Implementations never retry a call. */
export interface ServiceClient {
  call (address: string, request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>>
}
