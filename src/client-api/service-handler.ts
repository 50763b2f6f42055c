import { EarlierAttempts, OrderOutcomeKind, type OrderResponse, type OrderOutcome, type OrderStatus } from '../coordination/orders/order-outcome.js'
import type { OrderExecutor } from '../coordination/orders/order-executor.js'
import { ServiceErrorKind, type ServiceClient, type ServiceResponse } from '../coordination/ports/service-client.js'
import { DurationMetric, type Metrics } from '../observability/metrics.js'
import type { BufferBudget } from '../shared/buffer-budget.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import type { PlainService, ServiceRoute } from '../state/fleet-config.js'
import { createAttemptNotRunError, ApiErrorKind, createNotRunError, WorkState, type ApiError } from './api-error.js'
import { readRequestTimeoutMs, type ApiExchange } from './model-handler.js'
import { sendBody, sendError, sendJson } from './response-writer.js'

const maxIdempotencyKeyCharacters = 255
const unavailableRetryMs = 1000
/** A call that may repeat is retried once, at the backend server that `pickBackend` then returns. */
const maxRepeatableAttemptCount = 2
const idempotencyKeyPattern = /^[\x21-\x7e]+$/

export interface ServiceHandlerDependencies {
  readonly orders: OrderExecutor
  readonly serviceClient: ServiceClient
  readonly timers: TimerService
  /** Counts responses until clients have taken them. */
  readonly responseBudget: BufferBudget
  readonly metrics: Metrics
  /** Returns the address of a backend server of the service that accepts new requests; undefined if there is none. */
  pickBackend (serviceName: string): string | undefined
}

/** Handles calls of plain services and status requests for orders, the calls that must not repeat. */
export interface ServiceHandler {
  /** Forwards a call of a repeatable route, or executes a call of any other route as an order. */
  handleCall (exchange: ApiExchange, serviceName: string, path: string): Promise<void>
  /** Responds with the state of the order under the idempotency key. */
  handleStatus (exchange: ApiExchange, serviceName: string, idempotencyKey: string): Promise<void>
}

/** Creates the handler of plain services. */
export function createServiceHandler ({ orders, serviceClient, timers, responseBudget, metrics, pickBackend }: ServiceHandlerDependencies): ServiceHandler {
  async function handleCall (exchange: ApiExchange, serviceName: string, path: string): Promise<void> {
    const found = findRoute(exchange, serviceName, path)
    if (!found.isOk) {
      refuse(exchange, found.error)
      return
    }
    const { service, route } = found.value
    const timeoutMs = readRequestTimeoutMs(exchange.request, service.timeoutMs)
    if (!timeoutMs.isOk) refuse(exchange, timeoutMs.error)
    else if (route.isRepeatable) await forward(exchange, service, path, timeoutMs.value)
    else await submitOrder(exchange, service, path, timeoutMs.value)
  }

  async function submitOrder (exchange: ApiExchange, service: PlainService, path: string, timeoutMs: number): Promise<void> {
    const key = readIdempotencyKey(exchange)
    if (!key.isOk) {
      refuse(exchange, key.error)
      return
    }
    const startedMs = timers.nowMs()
    const outcome = await orders.submit({
      partner: exchange.identity.partner,
      service: service.name,
      idempotencyKey: key.value,
      method: exchange.request.method ?? 'POST',
      path,
      contentType: exchange.request.headers['content-type'] ?? 'application/octet-stream',
      body: exchange.body,
      timeoutMs,
      pickBackend: () => pickBackend(service.name),
      traceParent: exchange.span.traceParent
    })
    metrics.recordDuration(DurationMetric.Order, timers.nowMs() - startedMs)
    metrics.countRequest('order', outcome.kind)
    exchange.span.addAttributes({ 'egretpaddle.outcome': outcome.kind })
    if (outcome.kind === OrderOutcomeKind.Done) sendOrderResponse(exchange, outcome.answer, outcome.isReplayed, responseBudget)
    else sendError(exchange.response, toOrderError(outcome))
  }

  async function forward (exchange: ApiExchange, service: PlainService, path: string, timeoutMs: number): Promise<void> {
    const deadlineAtMs = timers.nowMs() + timeoutMs
    let reason = `service "${service.name}" has no backend server that accepts requests`
    let hasArrived = false
    for (let attempt = 0; attempt < maxRepeatableAttemptCount; attempt += 1) {
      const address = pickBackend(service.name)
      const remainingMs = deadlineAtMs - timers.nowMs()
      if (address === undefined || remainingMs <= 0) break
      const result = await serviceClient.call(address, {
        method: exchange.request.method ?? 'GET',
        path,
        contentType: exchange.request.headers['content-type'] ?? 'application/octet-stream',
        body: exchange.body,
        timeoutMs: remainingMs,
        traceParent: exchange.span.traceParent
      })
      if (result.isOk) {
        metrics.countRequest('call', 'done')
        sendServiceResponse(exchange, result.value, responseBudget)
        return
      }
      reason = result.error.reason
      hasArrived ||= result.error.kind === ServiceErrorKind.Ambiguous
      if (result.error.kind === ServiceErrorKind.Ambiguous && timers.nowMs() >= deadlineAtMs) break
    }
    // 503 states that the request has not run, and what may have run is 502. Calls of repeatable routes have no idempotency key.
    refuse(exchange, hasArrived
      ? { kind: ApiErrorKind.OutcomeUnknown, message: reason, workState: WorkState.Unknown, retryAfterMs: unavailableRetryMs }
      : createNotRunError(ApiErrorKind.Unavailable, reason, unavailableRetryMs))
  }

  async function handleStatus (exchange: ApiExchange, serviceName: string, idempotencyKey: string): Promise<void> {
    const service = findService(exchange, serviceName)
    if (!service.isOk) {
      refuse(exchange, service.error)
      return
    }
    const status = await orders.getStatus({
      partner: exchange.identity.partner,
      service: serviceName,
      idempotencyKey,
      pickBackend: () => pickBackend(serviceName),
      traceParent: exchange.span.traceParent,
      ...(service.value.statusPath === undefined ? {} : { statusPath: service.value.statusPath })
    })
    metrics.countRequest('order_status', status.kind)
    sendStatus(exchange, idempotencyKey, status)
  }

  function refuse (exchange: ApiExchange, error: ApiError): void {
    metrics.countRequest('service', error.kind)
    sendError(exchange.response, error)
  }

  return { handleCall, handleStatus }
}

interface FoundRoute {
  readonly service: PlainService
  readonly route: ServiceRoute
}

function findService (exchange: ApiExchange, serviceName: string): Result<PlainService, ApiError> {
  const service = exchange.config.services.find(candidate => candidate.name === serviceName)
  if (service === undefined) return failure(createNotRunError(ApiErrorKind.NotFound, `service "${serviceName}" does not exist`))
  if (service.partner !== exchange.identity.partner) {
    return failure(createNotRunError(ApiErrorKind.Forbidden, `service "${serviceName}" belongs to another partner`))
  }
  return success(service)
}

function findRoute (exchange: ApiExchange, serviceName: string, path: string): Result<FoundRoute, ApiError> {
  const service = findService(exchange, serviceName)
  if (!service.isOk) return service
  const routes = service.value.routes.filter(route => route.path === path.split('?')[0])
  if (routes.length === 0) return failure(createNotRunError(ApiErrorKind.NotFound, `service "${serviceName}" has no route "${path}"`))
  const route = routes.find(candidate => candidate.method === exchange.request.method)
  if (route === undefined) {
    return failure(createNotRunError(ApiErrorKind.MethodNotAllowed, `route "${path}" does not support method ${exchange.request.method}`))
  }
  return success({ service: service.value, route })
}

function readIdempotencyKey (exchange: ApiExchange): Result<string, ApiError> {
  const key = exchange.request.headers['idempotency-key']
  if (typeof key !== 'string' || key.length === 0) {
    return failure(createNotRunError(ApiErrorKind.IdempotencyKeyMissing, 'a call that must not repeat needs the header "idempotency-key"'))
  }
  if (key.length > maxIdempotencyKeyCharacters || !idempotencyKeyPattern.test(key)) {
    const message = `header "idempotency-key" is not 1 to ${maxIdempotencyKeyCharacters} printable ASCII characters`
    return failure(createNotRunError(ApiErrorKind.MalformedRequest, message))
  }
  return success(key)
}

function sendOrderResponse (exchange: ApiExchange, response: OrderResponse, isReplayed: boolean, budget: BufferBudget): void {
  sendBody(exchange.response, response.statusCode, {
    'content-type': response.contentType,
    'idempotency-replayed': String(isReplayed),
    ...(response.isBodyOmitted ? { 'x-answer-body-omitted': 'true' } : {})
  }, response.body, budget)
}

function sendServiceResponse (exchange: ApiExchange, response: ServiceResponse, budget: BufferBudget): void {
  sendBody(exchange.response, response.statusCode, { 'content-type': response.contentType }, response.body, budget)
}

function sendStatus (exchange: ApiExchange, idempotencyKey: string, status: OrderStatus): void {
  switch (status.kind) {
    case OrderOutcomeKind.Done:
      sendJson(exchange.response, 200, {
        idempotency_key: idempotencyKey,
        state: 'done',
        answer: { status_code: status.answer.statusCode, content_type: status.answer.contentType, body: status.answer.body.toString('utf8') }
      })
      return
    case OrderOutcomeKind.Running:
      sendJson(exchange.response, 200, { idempotency_key: idempotencyKey, state: 'running', retry_after_ms: status.retryAfterMs })
      return
    case OrderOutcomeKind.Unknown:
      sendJson(exchange.response, 200, { idempotency_key: idempotencyKey, state: 'unknown', reason: status.reason })
      return
    case OrderOutcomeKind.NotRun:
      sendJson(exchange.response, 200, { idempotency_key: idempotencyKey, state: 'not_run', retry_after_ms: status.retryAfterMs })
      return
    case OrderOutcomeKind.NotFound:
      sendError(exchange.response, createNotRunError(ApiErrorKind.NotFound, status.reason))
      return
    case OrderOutcomeKind.Unavailable:
      sendError(exchange.response, {
        kind: ApiErrorKind.Unavailable, message: status.reason, workState: WorkState.Unknown, retryAfterMs: status.retryAfterMs
      })
      return
    case OrderOutcomeKind.KeyReused:
      sendError(exchange.response, createNotRunError(ApiErrorKind.IdempotencyKeyReused, status.reason))
  }
}

function toOrderError (outcome: Exclude<OrderOutcome, { kind: OrderOutcomeKind.Done }>): ApiError {
  switch (outcome.kind) {
    case OrderOutcomeKind.NotRun:
      return outcome.earlierAttempts === EarlierAttempts.NoneRan
        ? createNotRunError(ApiErrorKind.Unavailable, outcome.reason, outcome.retryAfterMs)
        : createAttemptNotRunError(ApiErrorKind.Unavailable, outcome.reason, outcome.retryAfterMs)
    case OrderOutcomeKind.Running:
      return {
        kind: ApiErrorKind.StillRunning,
        message: 'an attempt with this idempotency key is in progress',
        workState: WorkState.Running,
        retryAfterMs: outcome.retryAfterMs
      }
    case OrderOutcomeKind.Unknown:
      return { kind: ApiErrorKind.OutcomeUnknown, message: outcome.reason, workState: WorkState.Unknown }
    case OrderOutcomeKind.KeyReused:
      return createNotRunError(ApiErrorKind.IdempotencyKeyReused, outcome.reason)
  }
}
