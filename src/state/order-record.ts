import { z } from 'zod'

/** Prefix of the keys that hold one record for each order. */
export const orderKeyPrefix = 'egretpaddle/order/'

/** State of a stored order. */
export enum OrderState {
  /** One node holds the right to send the order, and may have sent it. */
  Claimed = 'claimed',
  /** The service responded, or its status check reported that the order ran. */
  Done = 'done',
  /** The order provably did not run and may be claimed again. */
  Released = 'released',
  /** The order may have run, but its outcome is unknown; it is never sent again. */
  Unknown = 'unknown'
}

/** Where a stored response comes from. */
export enum ResponseSource {
  /** The response to the order itself. */
  Service = 'service',
  /** The response of the service's status check, requested after the response to the order was lost. */
  StatusCheck = 'statusCheck'
}

/** A service's response as it is stored. */
export interface StoredResponse {
  readonly statusCode: number
  readonly contentType: string
  /** Empty when the body exceeded the size limit of stored responses. */
  readonly bodyBase64: string
  readonly isBodyOmitted: boolean
  readonly source: ResponseSource
}

/** The stored record of an order: a service call that must run at most once. */
export interface OrderRecord {
  readonly state: OrderState
  /** Digest of partner, service, method, path, content type and body; a different digest under the same key is an error. */
  readonly requestSha256Hex: string
  /** Unique to each claim. Only the holder of the token may send the order. */
  readonly claimToken: string
  /** Node and incarnation that made the claim, as `nodeId:incarnation`. */
  readonly claimedBy: string
  /** Wall clock time of the claim; informational only. */
  readonly claimedAtMs: number
  /** Time from the claim after which its outcome, if still missing, counts as unknown. */
  readonly outcomeDueInMs: number
  readonly answer?: StoredResponse
}

/** Identifies an order across entry nodes and retries. */
export interface OrderId {
  readonly partner: string
  readonly service: string
  readonly idempotencyKey: string
}

/** What the holder of a claim token may do when it finds a different record than it expected. */
export enum OverwriteDecision {
  /** The new state is already stored. */
  AlreadyStored = 'alreadyStored',
  /** The stored record may be replaced by the new one. */
  Overwrite = 'overwrite',
  /** The stored record belongs to another claim, or is final. */
  Superseded = 'superseded'
}

const storedResponseSchema = z.object({
  statusCode: z.number(),
  contentType: z.string(),
  bodyBase64: z.string(),
  isBodyOmitted: z.boolean(),
  source: z.enum(ResponseSource)
})

const orderRecordSchema = z.object({
  state: z.enum(OrderState),
  requestSha256Hex: z.string(),
  claimToken: z.string(),
  claimedBy: z.string(),
  claimedAtMs: z.number(),
  outcomeDueInMs: z.number(),
  answer: storedResponseSchema.optional()
})

/** Returns the store key of an order. The parts are percent-encoded, so no two orders share a key. */
export function getOrderKey (id: OrderId): string {
  return orderKeyPrefix + [id.partner, id.service, id.idempotencyKey].map(encodeURIComponent).join('/')
}

/** Encodes a record as JSON text. */
export function encodeOrderRecord (record: OrderRecord): string {
  return JSON.stringify(record)
}

/** Parses a stored record; undefined when the text is not a valid record. */
export function parseOrderRecord (text: string): OrderRecord | undefined {
  try {
    const parsed = orderRecordSchema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data as OrderRecord : undefined
  } catch {
    return undefined
  }
}

/** Returns the record with the service's response. */
export function completeOrder (record: OrderRecord, response: StoredResponse): OrderRecord {
  return { ...record, state: OrderState.Done, answer: response }
}

/** Returns the record of an order that was not sent under this claim and will not be. */
export function releaseOrder (record: OrderRecord): OrderRecord {
  return { ...record, state: OrderState.Released }
}

/** Returns the record of an order that may have run and is never sent again. */
export function markOrderUnknown (record: OrderRecord): OrderRecord {
  return { ...record, state: OrderState.Unknown }
}

/**
 * Decides whether the holder of a claim may overwrite the stored record with its new one.
 * A response may replace `Unknown`, because it determines the outcome. A release may not,
 * because clients were told that the order is never sent again.
 */
export function decideOverwrite (stored: OrderRecord, updated: OrderRecord): OverwriteDecision {
  if (stored.claimToken !== updated.claimToken) return OverwriteDecision.Superseded
  if (stored.state === updated.state) return OverwriteDecision.AlreadyStored
  if (stored.state === OrderState.Claimed) return OverwriteDecision.Overwrite
  const isResponseToUnknown = stored.state === OrderState.Unknown && updated.state === OrderState.Done
  return isResponseToUnknown ? OverwriteDecision.Overwrite : OverwriteDecision.Superseded
}
