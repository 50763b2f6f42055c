import { z } from 'zod'

import type { LoadReport } from '../coordination/dispatch/replica-loads.js'
import { maxStatedReplicaCount } from '../coordination/pace/pace-statement.js'
import type { SourceResponse } from '../coordination/ports/fleet-source.js'
import type { RelayResponse, RelayRequest } from '../coordination/ports/relay-link.js'

/** HTTP path on which a gateway that reads the store serves the store's content to other gateways. */
export const relayPath = '/fleet'

/** Counters of the store and of a node's reports, and numbers of streams. A larger number than a double holds exactly would stay the highest one for good. */
const counterSchema = z.int().nonnegative()

/** A limit below 0 or above 100 percent, or an endless factor, comes from no gateway of ours. */
const maxFactorPercent = 1_000_000

const paceStatementSchema = z.object({
  limitPercent: z.number().min(0).max(100),
  factorPercent: z.number().min(0).max(maxFactorPercent),
  isFallen: z.boolean()
})

/** Requests per second, or servers. Far above what any deployment has, so that sums of reports stay finite. */
const demandValueSchema = z.number().nonnegative().max(1e9)

const demandReportSchema = z.object({
  gatewayCount: counterSchema,
  services: z.record(z.string(), z.record(z.string(), z.object({ arrivalsPerSecond: demandValueSchema, busyServerCount: demandValueSchema })))
})
/** Slots in use, as a mean. No fleet has more than a million; a larger number would outweigh all others in a sum. */
const slotCountSchema = z.number().nonnegative().max(1_000_000)

const loadReportSchema = z.object({
  nodeId: z.string(),
  sequence: counterSchema,
  streamCounts: z.record(z.string(), counterSchema),
  stalledIds: z.array(z.string()),
  quietIds: z.array(z.string()),
  leavingServers: z.record(z.string(), z.number()).optional(),
  // A gateway that states more than allowed sends something else; its stream counts are still of use.
  pace: z.record(z.string(), paceStatementSchema).refine(pace => Object.keys(pace).length <= maxStatedReplicaCount).optional().catch(undefined),
  demand: demandReportSchema.optional(),
  uses: z.record(z.string(), z.record(z.string(), slotCountSchema)).optional()
})

const relayRequestSchema = z.object({
  after: z.object({ era: counterSchema, revision: counterSchema }).optional(),
  /** Longest time that the relay may wait for a change. */
  waitMs: z.number(),
  /** Asks also for the values that a relay otherwise leaves out, see `omittedKeys`. */
  wantsLargeValues: z.boolean(),
  loads: loadReportSchema
})

/**
 * Response of a relay. With `isWhole` the items are the whole content, else the changes after the requested revision, in
 * which an item without a value was deleted.
 */
export const relayResponseSchema = z.object({
  isWhole: z.boolean(),
  era: counterSchema,
  asOfRevision: counterSchema,
  ageMs: z.number().nonnegative(),
  /** The store recently came back, so that entries may be missing that are about to return. */
  isStoreBack: z.boolean(),
  items: z.array(z.object({ key: z.string(), revision: counterSchema, value: z.string().optional() })),
  /** Keys whose values are left out because they are large; gateways read them from the store. */
  omittedKeys: z.array(z.string()),
  /** Keys of a whole content that nobody has written since the store came back from a copy. */
  carriedOverKeys: z.array(z.string()),
  loads: loadReportSchema
})

/** Encodes a load report for a datagram. */
export function encodeLoadReport (report: LoadReport): string {
  return JSON.stringify(report)
}

/** Decodes the load report in a datagram; undefined for any other text. */
export function decodeLoadReport (text: string): LoadReport | undefined {
  return decode(text, loadReportSchema)
}

/** What a datagram between a relay and a gateway that uses it carries. Gateways of earlier releases drop both. */
export enum RelayedLoadKind {
  /** The gateway's own streams. */
  Own = 'relayedOwn',
  /** The streams of all other gateways. */
  Total = 'relayedTotal'
}

const relayedLoadSchema = z.object({ kind: z.enum(RelayedLoadKind), report: loadReportSchema })

/** A load report between a relay and a gateway that uses it. */
export interface RelayedLoad {
  readonly kind: RelayedLoadKind
  readonly report: LoadReport
}

/** Encodes such a report for a datagram. */
export function encodeRelayedLoad (message: RelayedLoad): string {
  return JSON.stringify(message)
}

/** Decodes such a report; undefined for any other text. */
export function decodeRelayedLoad (text: string): RelayedLoad | undefined {
  return decode(text, relayedLoadSchema)
}

/** Encodes a relay request as JSON. */
export function encodeRelayRequest (request: RelayRequest): string {
  return JSON.stringify(request)
}

/** Decodes a relay request; undefined for any other text. */
export function decodeRelayRequest (text: string): RelayRequest | undefined {
  const request = decode(text, relayRequestSchema)
  // The schema's optional field becomes a required one that may be undefined, as the type asks.
  return request === undefined ? undefined : { ...request, after: request.after }
}

/** Encodes a relay response as JSON in the shape of `relayResponseSchema`. */
export function encodeRelayResponse ({ source, omittedKeys, loads }: RelayResponse): string {
  const { items, era, asOfRevision } = source.isWhole ? source.snapshot : { ...source.changes, items: source.changes.changes }
  const carriedOverKeys = source.isWhole ? source.carriedOverKeys ?? [] : []
  return JSON.stringify({ isWhole: source.isWhole, era, asOfRevision, ...source.age, items, omittedKeys, carriedOverKeys, loads })
}

/** Converts a parsed and checked response to the type that gateways use. */
export function toRelayResponse ({ loads, omittedKeys, ...fields }: z.infer<typeof relayResponseSchema>): RelayResponse {
  return { source: toSourceResponse(fields), omittedKeys, loads }
}

function toSourceResponse ({ isWhole, era, asOfRevision, ageMs, isStoreBack, items, carriedOverKeys }: Omit<z.infer<typeof relayResponseSchema>, 'loads' | 'omittedKeys'>): SourceResponse {
  const age = { ageMs, isStoreBack }
  const changes = items.map(({ key, revision, value }) => ({ key, revision, value }))
  if (!isWhole) return { isWhole, changes: { era, changes, asOfRevision }, age }
  const present = changes.flatMap(({ key, revision, value }) => value === undefined ? [] : [{ key, revision, value }])
  return { isWhole, snapshot: { era, items: present, asOfRevision }, carriedOverKeys, age }
}

function decode<T> (text: string, schema: z.ZodType<T>): T | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    // Not JSON: the text came from another program. The load report socket logs it, the relay server responds with 400.
    return undefined
  }
}
