import {
  ServiceErrorKind,
  type ServiceClient,
  type ServiceError,
  type ServiceRequest
} from '../coordination/ports/service-client.js'
import { failure, success } from '../shared/result.js'
import type { BufferBudget } from '../shared/buffer-budget.js'
import type { TimerService } from '../shared/timer-service.js'
import { getFirstValue } from './header-value.js'
import { createHttpClient } from './http-client.js'
import { TransportErrorKind, type TransportError } from './transport-error.js'

export interface ServiceHttpClientOptions {
  readonly timers?: TimerService
  /** Counts the bodies of responses while they arrive. */
  readonly bufferBudget?: BufferBudget
}

/** Calls to plain services over HTTP. */
export interface ServiceHttpClient extends ServiceClient {
  close (): Promise<void>
}

/** No limit is stated for the services' responses; this one bounds memory. */
const maxResponseBytes = 64 * 1024 * 1024

const defaultContentType = 'application/octet-stream'

/**
 * Creates a client of plain services. Each call with an idempotency key opens a new connection: on a reused one that the
 * service has just closed the outcome would be unknown.
 */
export function createServiceHttpClient (options: ServiceHttpClientOptions = {}): ServiceHttpClient {
  const orderHttpClient = createHttpClient({ ...options, reusesConnections: false })
  const repeatableHttpClient = createHttpClient(options)
  return {
    async call (address, request) {
      const httpClient = request.idempotencyKey === undefined ? repeatableHttpClient : orderHttpClient
      const response = await httpClient.send({
        origin: `http://${address}`,
        method: request.method,
        path: request.path,
        headers: toHeaders(request),
        body: request.body.length === 0 ? undefined : request.body,
        timeoutMs: request.timeoutMs,
        maxResponseBytes
      })
      if (!response.isOk) return failure(toServiceError(response.error))
      const { statusCode, headers, body } = response.value
      return success({ statusCode, contentType: getFirstValue(headers, 'content-type') ?? defaultContentType, body })
    },
    async close () {
      await Promise.all([orderHttpClient.close(), repeatableHttpClient.close()])
    }
  }
}

function toHeaders (request: ServiceRequest): Record<string, string> {
  const headers: Record<string, string> = {}
  if (request.body.length > 0) headers['content-type'] = request.contentType
  if (request.idempotencyKey !== undefined) headers['idempotency-key'] = request.idempotencyKey
  if (request.traceParent !== undefined) headers['traceparent'] = request.traceParent
  return headers
}

function toServiceError (error: TransportError): ServiceError {
  const kind = error.kind === TransportErrorKind.NotSent ? ServiceErrorKind.NotSent : ServiceErrorKind.Ambiguous
  return { kind, reason: error.reason }
}
