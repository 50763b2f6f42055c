import { z } from 'zod'

import { ResponseSource, completeOrder, type OrderRecord } from '../../state/order-record.js'
import type { ServiceClient } from '../ports/service-client.js'
import type { OrderResponse, OrderStatusRequest } from './order-outcome.js'
import { encodeStoredResponse } from './order-sender.js'
import type { OrderSettings } from './order-settings.js'
import type { OrderWriter } from './order-writer.js'

/** Asks services whether an order with an unknown outcome ran. */
export interface OrderStatusCheck {
  /**
   * Returns the service's word that the order ran, after storing it; undefined when the service
   * does not say so. A missing order proves nothing: it may still be on its way.
   */
  resolve (request: OrderStatusRequest, key: string, revision: number, record: OrderRecord): Promise<OrderResponse | undefined>
}

const statusBodySchema = z.object({ state: z.literal('done') })
const okStatusCode = 200

export interface OrderStatusCheckOptions {
  readonly serviceClient: ServiceClient
  readonly writer: OrderWriter
  readonly settings: OrderSettings
}

/** Creates the status check of one node. */
export function createOrderStatusCheck ({ serviceClient, writer, settings }: OrderStatusCheckOptions): OrderStatusCheck {
  return {
    async resolve (request, key, revision, record) {
      const address = request.pickBackend()
      if (request.statusPath === undefined || address === undefined) return undefined
      const answered = await serviceClient.call(address, {
        method: 'GET',
        path: request.statusPath.replace('{key}', () => encodeURIComponent(request.idempotencyKey)),
        contentType: 'application/json',
        body: Buffer.alloc(0),
        timeoutMs: settings.statusTimeoutMs,
        ...(request.traceParent === undefined ? {} : { traceParent: request.traceParent })
      })
      if (!answered.isOk || answered.value.statusCode !== okStatusCode || !isDone(answered.value.body)) return undefined
      const answer = { ...answered.value, isBodyOmitted: false, source: ResponseSource.StatusCheck }
      const done = completeOrder(record, encodeStoredResponse(answer, settings.maxStoredAnswerBytes))
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
