import type { TimerService } from '../../shared/timer-service.js'
import { ResponseSource, completeOrder, markOrderUnknown, releaseOrder, type OrderRecord, type StoredResponse } from '../../state/order-record.js'
import { ServiceErrorKind, type ServiceClient, type ServiceResponse } from '../ports/service-client.js'
import type { HeldClaim } from './order-claimer.js'
import { OrderOutcomeKind, type OrderResponse, type OrderRequest } from './order-outcome.js'
import type { OrderSettings } from './order-settings.js'

/** Outcome of sending an order, with the record to store for it. */
export type SendResult =
  | { readonly kind: OrderOutcomeKind.Done, readonly answer: OrderResponse, readonly record: OrderRecord }
  | { readonly kind: OrderOutcomeKind.NotRun, readonly reason: string, readonly record: OrderRecord }
  | { readonly kind: OrderOutcomeKind.Unknown, readonly reason: string, readonly record: OrderRecord }

/** Sends an order under a held claim and returns its outcome with the record to store. */
export interface OrderSender {
  /** `clientDeadlineMs` is the monotonic time until which the client waits. */
  send (claim: HeldClaim, request: OrderRequest, clientDeadlineMs: number): Promise<SendResult>
}

/** Creates the order sender of one node. */
export function createOrderSender (serviceClient: ServiceClient, timers: TimerService, settings: OrderSettings): OrderSender {
  return {
    async send (claim, request, clientDeadlineMs) {
      const sendDeadlineMs = Math.min(claim.sendDeadlineMs, clientDeadlineMs)
      let reason = 'no backend server accepts new work'
      for (let count = 0; count < settings.maxSendAttemptCount; count += 1) {
        const address = request.pickBackend()
        if (address === undefined) break
        const nowMs = timers.nowMs()
        if (nowMs >= sendDeadlineMs) {
          reason = 'the deadline passed before the order was sent'
          break
        }
        const result = await serviceClient.call(address, {
          method: request.method,
          path: request.path,
          contentType: request.contentType,
          body: request.body,
          idempotencyKey: request.idempotencyKey,
          timeoutMs: Math.min(settings.callTimeoutMs, claim.callDeadlineMs - nowMs),
          ...(request.traceParent === undefined ? {} : { traceParent: request.traceParent })
        })
        if (result.isOk) return createDone(claim, result.value, settings.maxStoredAnswerBytes)
        reason = result.error.reason
        if (result.error.kind !== ServiceErrorKind.NotSent) {
          return { kind: OrderOutcomeKind.Unknown, reason, record: markOrderUnknown(claim.record) }
        }
      }
      return { kind: OrderOutcomeKind.NotRun, reason, record: releaseOrder(claim.record) }
    }
  }
}

function createDone (claim: HeldClaim, response: ServiceResponse, maxStoredAnswerBytes: number): SendResult {
  const orderResponse = { ...response, isBodyOmitted: false, source: ResponseSource.Service }
  return {
    kind: OrderOutcomeKind.Done,
    answer: orderResponse,
    record: completeOrder(claim.record, encodeStoredResponse(orderResponse, maxStoredAnswerBytes))
  }
}

/** Encodes a response for the store, without its body when that exceeds the limit. */
export function encodeStoredResponse (response: OrderResponse, maxStoredAnswerBytes: number): StoredResponse {
  const isBodyOmitted = response.body.length > maxStoredAnswerBytes
  return {
    statusCode: response.statusCode,
    contentType: response.contentType,
    bodyBase64: isBodyOmitted ? '' : response.body.toString('base64'),
    isBodyOmitted,
    source: response.source
  }
}

/** Decodes a stored response; the body is empty when it was omitted. */
export function decodeStoredResponse (stored: StoredResponse): OrderResponse {
  return {
    statusCode: stored.statusCode,
    contentType: stored.contentType,
    body: Buffer.from(stored.bodyBase64, 'base64'),
    isBodyOmitted: stored.isBodyOmitted,
    source: stored.source
  }
}
