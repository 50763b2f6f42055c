import { z } from 'zod'

import type { SourceAnswer } from '../coordination/ports/fleet-source.js'

/** Path under which a gateway tells others what the store holds. */
export const relayPath = '/fleet'

/** Answer of a relay; an item without a value was deleted. */
export const relayAnswerSchema = z.object({
  isWhole: z.boolean(),
  asOfRevision: z.number(),
  ageMs: z.number().nonnegative(),
  isStoreBack: z.boolean(),
  items: z.array(z.object({ key: z.string(), revision: z.number(), value: z.string().optional() }))
})

/** Encodes what a relay tells. */
export function encodeRelayAnswer (answer: SourceAnswer): string {
  const { items, asOfRevision } = answer.isWhole
    ? answer.snapshot
    : { items: answer.changes.changes, asOfRevision: answer.changes.asOfRevision }
  return JSON.stringify({ isWhole: answer.isWhole, asOfRevision, ...answer.age, items: [...items] } satisfies z.input<typeof relayAnswerSchema>)
}

/** Turns a checked answer into what the gateway works with. */
export function toSourceAnswer ({ isWhole, asOfRevision, ageMs, isStoreBack, items }: z.infer<typeof relayAnswerSchema>): SourceAnswer {
  const age = { ageMs, isStoreBack }
  const changes = items.map(({ key, revision, value }) => ({ key, revision, value }))
  if (!isWhole) return { isWhole, changes: { changes, asOfRevision }, age }
  const present = changes.flatMap(({ key, revision, value }) => value === undefined ? [] : [{ key, revision, value }])
  return { isWhole, snapshot: { items: present, asOfRevision }, age }
}
