import type { TimerService } from '../../shared/timer-service.js'
import { AnswerSource, completeOrder, markOrderUnknown, releaseOrder, type OrderRecord, type StoredAnswer } from '../../state/order-record.js'
import { ServiceErrorKind, type ServiceCaller, type ServiceResponse } from '../ports/service-caller.js'
import type { HeldClaim } from './order-claims.js'
import { OrderOutcomeKind, type OrderAnswer, type OrderRequest } from './order-outcome.js'
import type { OrderSettings } from './order-settings.js'

export type SendResult =
  | { readonly kind: OrderOutcomeKind.Done, readonly answer: OrderAnswer, readonly record: OrderRecord }
  | { readonly kind: OrderOutcomeKind.NotRun, readonly reason: string, readonly record: OrderRecord }
  | { readonly kind: OrderOutcomeKind.Unknown, readonly reason: string, readonly record: OrderRecord }

/** Sends an order under a held claim and returns what is known, with the record to store. */
export interface OrderSender {
  /** `callerDeadlineMs` is the monotonic time until which the caller waits. */
  send (claim: HeldClaim, request: OrderRequest, callerDeadlineMs: number): Promise<SendResult>
}

/** Creates the sender of one node. */
export function createOrderSender (serviceCaller: ServiceCaller, timers: TimerService, settings: OrderSettings): OrderSender {
  return {
    async send (claim, request, callerDeadlineMs) {
      const sendBeforeMs = Math.min(claim.sendBeforeMs, callerDeadlineMs)
      let reason = 'no backend server takes new work'
      for (let count = 0; count < settings.maxSendAttemptCount; count += 1) {
        const address = request.pickBackend()
        if (address === undefined) break
        const nowMs = timers.nowMs()
        if (nowMs >= sendBeforeMs) {
          reason = 'the deadline passed before the order was sent'
          break
        }
        const answered = await serviceCaller.call(address, {
          method: request.method,
          path: request.path,
          contentType: request.contentType,
          body: request.body,
          idempotencyKey: request.idempotencyKey,
          timeoutMs: Math.min(settings.callTimeoutMs, claim.finishBeforeMs - nowMs),
          ...(request.traceParent === undefined ? {} : { traceParent: request.traceParent })
        })
        if (answered.isOk) return createDone(claim, answered.value, settings.maxStoredAnswerBytes)
        reason = answered.error.reason
        if (answered.error.kind !== ServiceErrorKind.NotSent) {
          return { kind: OrderOutcomeKind.Unknown, reason, record: markOrderUnknown(claim.record) }
        }
      }
      return { kind: OrderOutcomeKind.NotRun, reason, record: releaseOrder(claim.record) }
    }
  }
}

function createDone (claim: HeldClaim, response: ServiceResponse, maxStoredAnswerBytes: number): SendResult {
  const answer = { ...response, isBodyOmitted: false, source: AnswerSource.Service }
  return {
    kind: OrderOutcomeKind.Done,
    answer,
    record: completeOrder(claim.record, encodeAnswer(answer, maxStoredAnswerBytes))
  }
}

/** Encodes an answer for the store, without its body when that is over the limit. */
export function encodeAnswer (answer: OrderAnswer, maxStoredAnswerBytes: number): StoredAnswer {
  const isBodyOmitted = answer.body.length > maxStoredAnswerBytes
  return {
    statusCode: answer.statusCode,
    contentType: answer.contentType,
    bodyBase64: isBodyOmitted ? '' : answer.body.toString('base64'),
    isBodyOmitted,
    source: answer.source
  }
}

/** Decodes a stored answer. */
export function decodeAnswer (stored: StoredAnswer): OrderAnswer {
  return {
    statusCode: stored.statusCode,
    contentType: stored.contentType,
    body: Buffer.from(stored.bodyBase64, 'base64'),
    isBodyOmitted: stored.isBodyOmitted,
    source: stored.source
  }
}
