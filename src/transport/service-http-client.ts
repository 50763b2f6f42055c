import {
  ServiceErrorKind,
  type ServiceClient,
  type ServiceError,
  type ServiceRequest
} from '../coordination/ports/service-client.js'
import { failure, success } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { createHttpClient } from './http-client.js'
import { TransportErrorKind, type TransportError } from './transport-error.js'

export interface ServiceHttpClientOptions {
  readonly timers?: TimerService
}

/** Calls to plain services over HTTP. */
export interface ServiceHttpClient extends ServiceClient {
  close (): Promise<void>
}

const defaultContentType = 'application/octet-stream'

/**
 * Creates a caller of plain services. Calls with an idempotency key take a new connection each:
 * a reused one that the service has just closed would leave the outcome unknown.
 */
export function createServiceHttpClient (options: ServiceHttpClientOptions = {}): ServiceHttpClient {
  const orderExchange = createHttpClient({ timers: options.timers, reusesConnections: false })
  const repeatableExchange = createHttpClient({ timers: options.timers })
  return {
    async call (address, request) {
      const exchange = request.idempotencyKey === undefined ? repeatableExchange : orderExchange
      const reply = await exchange.send({
        origin: `http://${address}`,
        method: request.method,
        path: request.path,
        headers: toHeaders(request),
        body: request.body.length === 0 ? undefined : request.body,
        timeoutMs: request.timeoutMs
      })
      if (!reply.isOk) return failure(toServiceError(reply.error))
      const { statusCode, headers, body } = reply.value
      return success({ statusCode, contentType: headers['content-type'] ?? defaultContentType, body })
    },
    async close () {
      await Promise.all([orderExchange.close(), repeatableExchange.close()])
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
