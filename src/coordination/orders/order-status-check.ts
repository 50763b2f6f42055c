import { z } from 'zod'

import { ResponseSource, completeOrder, type OrderRecord } from '../../state/order-record.js'
import type { ServiceClient } from '../ports/service-client.js'
import type { OrderResponse, OrderStatusRequest } from './order-outcome.js'
import { encodeStoredResponse } from './order-sender.js'
import type { OrderSettings } from './order-settings.js'
import type { OrderWriter } from './order-writer.js'

/** Checks with the service whether an order with an unknown outcome ran. */
export interface OrderStatusCheck {
  /**
   * Returns the status check's response after storing it, if the service reports that the order ran; otherwise
   * undefined. That the service does not know the order proves nothing: the order may still be in transit.
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
      const result = await serviceClient.call(address, {
        method: 'GET',
        path: request.statusPath.replace('{key}', () => encodeURIComponent(request.idempotencyKey)),
        contentType: 'application/json',
        body: Buffer.alloc(0),
        timeoutMs: settings.statusTimeoutMs,
        ...(request.traceParent === undefined ? {} : { traceParent: request.traceParent })
      })
      if (!result.isOk || result.value.statusCode !== okStatusCode || !isDone(result.value.body)) return undefined
      const response = { ...result.value, isBodyOmitted: false, source: ResponseSource.StatusCheck }
      const done = completeOrder(record, encodeStoredResponse(response, settings.maxStoredAnswerBytes))
      await writer.write({ key, record: done, expectedRevision: revision, retryForMs: settings.outcomeRetryForMs })
      return response
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
