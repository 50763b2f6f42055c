import type { Result } from '../../shared/result.js'

export interface ServiceRequest {
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
  /** Passed on so that the service may recognise a repetition; absent on calls that may repeat. */
  readonly idempotencyKey?: string
  readonly timeoutMs: number
  readonly traceParent?: string
}

export interface ServiceResponse {
  readonly statusCode: number
  readonly contentType: string
  readonly body: Buffer
}

export enum ServiceErrorKind {
  /** Proven: no byte of the request left this process. */
  NotSent = 'notSent',
  /** The request may have reached the service. */
  Ambiguous = 'ambiguous'
}

export interface ServiceError {
  readonly kind: ServiceErrorKind
  readonly reason: string
}

/** Calls to plain services. An implementation never repeats a call by itself. */
export interface ServiceClient {
  call (address: string, request: ServiceRequest): Promise<Result<ServiceResponse, ServiceError>>
}
