import { z } from 'zod'

import type { DeliveryAnswer, DeliveryInquiry } from '../coordination/replicas/delivery-inquiries.js'

/** What gateways ask each other, in datagrams beside the load reports, about the events of replicas. */
export enum DeliveryMessageKind {
  Inquiry = 'deliveryInquiry',
  Answer = 'deliveryAnswer'
}

/** `nodeId` is the gateway that gets the answer. */
export type DeliveryMessage =
  | { readonly kind: DeliveryMessageKind.Inquiry, readonly nodeId: string, readonly inquiries: readonly DeliveryInquiry[] }
  | DeliveryAnswer & { readonly kind: DeliveryMessageKind.Answer }

const deliveryMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(DeliveryMessageKind.Inquiry),
    nodeId: z.string(),
    inquiries: z.array(z.object({ inquiryId: z.number(), replicaId: z.string(), sinceMs: z.number().nonnegative() }))
  }),
  z.object({ kind: z.literal(DeliveryMessageKind.Answer), inquiryId: z.number(), replicaId: z.string() })
])

/** Encodes a message for a datagram. Gateways of earlier releases drop it, since it is not a load report. */
export function encodeDeliveryMessage (message: DeliveryMessage): string {
  return JSON.stringify(message)
}

/** Decodes a message; undefined for any other content. Unknown fields are ignored. */
export function decodeDeliveryMessage (text: string): DeliveryMessage | undefined {
  try {
    return deliveryMessageSchema.safeParse(JSON.parse(text)).data
  } catch {
    // Not JSON: the text came from another program. The load report socket logs it.
    return undefined
  }
}
