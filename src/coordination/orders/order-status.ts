import { z } from 'zod'

import { AnswerSource, completeOrder, type OrderRecord } from '../../state/order-record.js'
import type { ServiceCaller } from '../ports/service-caller.js'
import type { OrderAnswer, OrderStatusRequest } from './order-outcome.js'
import { encodeAnswer } from './order-sender.js'
import type { OrderSettings } from './order-settings.js'
import type { OrderWriter } from './order-writer.js'

/** Asks services whether an order with an unknown outcome ran. */
export interface OrderStatusCheck {
  /**
   * Returns the service's word that the order ran, after storing it; undefined when the service
   * does not say so. A missing order proves nothing: it may still be on its way.
   */
  resolve (request: OrderStatusRequest, key: string, revision: number, record: OrderRecord): Promise<OrderAnswer | undefined>
}

const statusBodySchema = z.object({ state: z.literal('done') })
const okStatusCode = 200

export interface OrderStatusCheckOptions {
  readonly serviceCaller: ServiceCaller
  readonly writer: OrderWriter
  readonly settings: OrderSettings
}

/** Creates the status check of one node. */
export function createOrderStatusCheck ({ serviceCaller, writer, settings }: OrderStatusCheckOptions): OrderStatusCheck {
  return {
    async resolve (request, key, revision, record) {
      const address = request.pickBackend()
      if (request.statusPath === undefined || address === undefined) return undefined
      const answered = await serviceCaller.call(address, {
        method: 'GET',
        path: request.statusPath.replace('{key}', () => encodeURIComponent(request.idempotencyKey)),
        contentType: 'application/json',
        body: Buffer.alloc(0),
        timeoutMs: settings.statusTimeoutMs,
        ...(request.traceParent === undefined ? {} : { traceParent: request.traceParent })
      })
      if (!answered.isOk || answered.value.statusCode !== okStatusCode || !isDone(answered.value.body)) return undefined
      const answer = { ...answered.value, isBodyOmitted: false, source: AnswerSource.StatusCheck }
      const done = completeOrder(record, encodeAnswer(answer, settings.maxStoredAnswerBytes))
      await writer.write({ key, record: done, expectedRevision: revision, retryForMs: settings.outcomeRetryForMs })
      return answer
    }
  }
}

function isDone (body: Buffer): boolean {
  try {
    return statusBodySchema.safeParse(JSON.parse(body.toString('utf8'))).success
  } catch {
    return false
  }
}
