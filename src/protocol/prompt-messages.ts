import { z } from 'zod'

/** What gateways tell each other, in datagrams beside the load reports, about the parts of prompts. */
export enum PromptMessageKind {
  /** A server ended under a request with the parts, which are under suspicion at the sender. */
  Crash = 'promptCrash',
  /** A request with the parts, which are under suspicion, goes to a server. */
  Trial = 'promptTrial',
  /** A response to such a request has delivered an event, or the request has been served. */
  Cleared = 'promptCleared',
  /** A server that had written events for a request with the parts outlived it; the sender had ended the attempt. */
  Survived = 'promptSurvived',
  /** Parts in quarantine that the store may not hold yet. */
  Quarantine = 'promptQuarantine'
}

/** Characters of all IDs in a message, with what JSON adds to each: a datagram holds 65,507 bytes. A request's head of 16 KB has fewer. */
const maxPartListCharacters = 60_000
/** Quotes and a comma. */
const extraCharactersPerPart = 3

// A quarantine entry without parts would match all requests.
const partIdsSchema = z.array(z.string().min(1).max(64)).min(1).refine(partIds => limitPartList(partIds).length === partIds.length)
/** A key of the store has 200 bytes; a start time follows the server's ID. */
const maxServerKeyCharacters = 256
const promptMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(PromptMessageKind.Crash),
    partIds: partIdsSchema,
    serverKey: z.string().max(maxServerKeyCharacters),
    isEarly: z.boolean(),
    /** Times since the request was sent to the server and since it was lost, as the clocks of the gateways differ. */
    sentAgoMs: z.number().nonnegative(),
    lostAgoMs: z.number().nonnegative(),
    /** The sender has sent a request with the parts to another server since. */
    isOnTrial: z.boolean()
  }),
  z.object({ kind: z.literal(PromptMessageKind.Trial), partIds: partIdsSchema }),
  z.object({ kind: z.literal(PromptMessageKind.Survived), partIds: partIdsSchema }),
  z.object({ kind: z.literal(PromptMessageKind.Cleared), partIds: partIdsSchema, isCompletion: z.boolean() }),
  z.object({ kind: z.literal(PromptMessageKind.Quarantine), partIds: partIdsSchema, probeCount: z.number().int().nonnegative() })
])

export type PromptMessage = z.infer<typeof promptMessageSchema>

/** Returns as many of the parts, from the first on, as one message can name. */
export function limitPartList (partIds: readonly string[]): readonly string[] {
  let characterCount = 0
  const end = partIds.findIndex(partId => {
    characterCount += partId.length + extraCharactersPerPart
    return characterCount > maxPartListCharacters
  })
  return end < 0 ? partIds : partIds.slice(0, end)
}

/** Encodes a message for a datagram. Gateways of earlier releases drop it, since they do not know the kind. */
export function encodePromptMessage (message: PromptMessage): string {
  return JSON.stringify(message)
}

/** Decodes a message; undefined for any other content. Unknown fields are ignored. */
export function decodePromptMessage (text: string): PromptMessage | undefined {
  try {
    return promptMessageSchema.safeParse(JSON.parse(text)).data
  } catch {
    // Not JSON: the text came from another program. The load report socket logs it.
    return undefined
  }
}
