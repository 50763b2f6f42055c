import { z } from 'zod'

import type { LoadReport } from '../coordination/dispatch/replica-loads.js'
import type { SourceResponse } from '../coordination/ports/fleet-source.js'
import type { RelayResponse, RelayRequest } from '../coordination/ports/relay-link.js'

/** Path under which a gateway tells others what the store holds. */
export const relayPath = '/fleet'

const loadReportSchema = z.object({
  nodeId: z.string(),
  sequence: z.number(),
  streamCounts: z.record(z.string(), z.number()),
  stalledIds: z.array(z.string()),
  quietIds: z.array(z.string())
})

const questionSchema = z.object({
  afterRevision: z.number().optional(),
  waitMs: z.number(),
  wantsLargeValues: z.boolean(),
  loads: loadReportSchema
})

/** Answer of a relay; an item without a value was deleted. */
export const relayResponseSchema = z.object({
  isWhole: z.boolean(),
  asOfRevision: z.number(),
  ageMs: z.number().nonnegative(),
  isStoreBack: z.boolean(),
  items: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string().optional() })),
  omittedKeys: z.array(z.string()),
  loads: loadReportSchema
})

/** Encodes a load report for a datagram. */
export function encodeLoadReport (report: LoadReport): string {
  return JSON.stringify(report)
}

/** Decodes a datagram; undefined for bytes of another program. */
export function decodeLoadReport (text: string): LoadReport | undefined {
  return decode(text, loadReportSchema)
}

export function encodeRelayRequest (question: RelayRequest): string {
  return JSON.stringify(question)
}

/** Decodes a question; undefined for bytes of another program. */
export function decodeRelayRequest (text: string): RelayRequest | undefined {
  const question = decode(text, questionSchema)
  return question === undefined ? undefined : { ...question, afterRevision: question.afterRevision }
}

/** Encodes what a relay tells. */
export function encodeRelayResponse ({ source, omittedKeys, loads }: RelayResponse): string {
  const { items, asOfRevision } = source.isWhole
    ? source.snapshot
    : { items: source.changes.changes, asOfRevision: source.changes.asOfRevision }
  return JSON.stringify({ isWhole: source.isWhole, asOfRevision, ...source.age, items, omittedKeys, loads })
}

/** Turns a checked answer into what the gateway works with. */
export function toRelayResponse ({ loads, omittedKeys, ...fields }: z.infer<typeof relayResponseSchema>): RelayResponse {
  return { source: toSourceAnswer(fields), omittedKeys, loads }
}

function toSourceAnswer ({ isWhole, asOfRevision, ageMs, isStoreBack, items }: Omit<z.infer<typeof relayResponseSchema>, 'loads' | 'omittedKeys'>): SourceResponse {
  const age = { ageMs, isStoreBack }
  const changes = items.map(({ key, revision, value }) => ({ key, revision, value }))
  if (!isWhole) return { isWhole, changes: { changes, asOfRevision }, age }
  const present = changes.flatMap(({ key, revision, value }) => value === undefined ? [] : [{ key, revision, value }])
  return { isWhole, snapshot: { items: present, asOfRevision }, age }
}

function decode<T> (text: string, schema: z.ZodType<T>): T | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    // Bytes of another program; the caller logs them.
    return undefined
  }
}
