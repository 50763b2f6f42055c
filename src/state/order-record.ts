import { z } from 'zod'

/** Prefix of the keys that hold one record for each order. */
export const orderKeyPrefix = 'egretpaddle/order/'

export enum OrderState {
  /** A node holds the right to send the order; it may have been sent. */
  Claimed = 'claimed',
  /** The service answered, or its status check said that the order ran. */
  Done = 'done',
  /** Proven not run; the order may be claimed again. */
  Released = 'released',
  /** May have been sent, outcome not known; never sent again. */
  Unknown = 'unknown'
}

export enum ResponseSource {
  /** The answer to the order itself. */
  Service = 'service',
  /** The answer of the service's status check, asked after the order's own answer was lost. */
  StatusCheck = 'statusCheck'
}

/** The stored answer of a service. */
export interface StoredResponse {
  readonly statusCode: number
  readonly contentType: string
  /** Empty when the body was over the size limit of stored answers. */
  readonly bodyBase64: string
  readonly isBodyOmitted: boolean
  readonly source: ResponseSource
}

/** What is kept about one call that must not repeat. */
export interface OrderRecord {
  readonly state: OrderState
  /** Digest of partner, service, method, path and body; another digest under the same key is an error. */
  readonly requestSha256Hex: string
  /** Unique to one claim. Only the holder of the token may send the order. */
  readonly claimToken: string
  /** Node and incarnation that made the claim. */
  readonly claimedBy: string
  /** Wall clock of the claim, for people. */
  readonly claimedAtMs: number
  /** Time after which a claim without an outcome counts as unknown. */
  readonly outcomeDueInMs: number
  readonly answer?: StoredResponse
}

/** Identifies an order across entry nodes and retries. */
export interface OrderId {
  readonly partner: string
  readonly service: string
  readonly idempotencyKey: string
}

/** What the holder of a claim token may do when it finds another record than it expected. */
export enum OverwriteDecision {
  /** The wanted state is already stored. */
  AlreadyStored = 'alreadyStored',
  /** The found record may be replaced by the wanted one. */
  Overwrite = 'overwrite',
  /** The found record belongs to another claim, or is final. */
  Superseded = 'superseded'
}

const storedAnswerSchema = z.object({
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
  answer: storedAnswerSchema.optional()
})

/** Returns the store key of an order. Parts are escaped so that no two orders share a key. */
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

/** Records the answer of the service. */
export function completeOrder (record: OrderRecord, answer: StoredResponse): OrderRecord {
  return { ...record, state: OrderState.Done, answer }
}

/** Records that the order was not sent under this claim, and will not be. */
export function releaseOrder (record: OrderRecord): OrderRecord {
  return { ...record, state: OrderState.Released }
}

/** Records that the order may have run and is never sent again. */
export function markOrderUnknown (record: OrderRecord): OrderRecord {
  return { ...record, state: OrderState.Unknown }
}

/**
 * Decides whether the holder of a claim may write its wanted record over the one it found.
 * An answer replaces `Unknown`, because it adds knowledge; a release does not, because
 * callers were told that the order is never sent again.
 */
export function decideOverwrite (found: OrderRecord, wanted: OrderRecord): OverwriteDecision {
  if (found.claimToken !== wanted.claimToken) return OverwriteDecision.Superseded
  if (found.state === wanted.state) return OverwriteDecision.AlreadyStored
  if (found.state === OrderState.Claimed) return OverwriteDecision.Overwrite
  const isAnswerToUnknown = found.state === OrderState.Unknown && wanted.state === OrderState.Done
  return isAnswerToUnknown ? OverwriteDecision.Overwrite : OverwriteDecision.Superseded
}
