import { z } from 'zod'

/** What gateways tell each other, in datagrams beside the load reports, about the limits that servers state. */
export enum LimitMessageKind {
  /** A server states a limit, another one than before, or none any more. */
  Notice = 'limitNotice',
  /** Asks an issuer for permits to send requests to a server. */
  Request = 'permitRequest',
  /** The issuer's answer, which may grant none. */
  Grant = 'permitGrant',
  /** A server is cold. */
  ColdNotice = 'coldNotice',
  /** Permits that were not used. */
  Return = 'permitReturn'
}

const serverFields = { serverId: z.string().max(200), startedAtMs: z.number() }
const statementFields = {
  /** Requests a second; left out when the server no longer states a limit. */
  limitPerSecond: z.number().nonnegative().optional(),
  /** Time since the server stated it, as the clocks of the gateways differ. */
  ageMs: z.number().nonnegative()
}
const coldSchema = z.object({
  remainingMs: z.number().nonnegative(),
  /** Requests a second that the server takes meanwhile. */
  requestsPerSecond: z.number().nonnegative()
})
const countSchema = z.int().nonnegative().max(100)

const limitMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(LimitMessageKind.Notice), ...serverFields, ...statementFields, hopCount: z.int().nonnegative() }),
  z.object({ kind: z.literal(LimitMessageKind.Request), ...serverFields, ...statementFields, nodeId: z.string(), requestId: z.int().nonnegative(), count: countSchema, cold: coldSchema.optional() }),
  z.object({ kind: z.literal(LimitMessageKind.ColdNotice), ...serverFields, cold: coldSchema, hopCount: z.int().nonnegative() }),
  z.object({
    kind: z.literal(LimitMessageKind.Grant),
    ...serverFields,
    requestId: z.int().nonnegative(),
    count: countSchema,
    /** Without permits: the issuer need not be asked again in this time. */
    waitMs: z.number().nonnegative(),
    /** What the issuer knows of the server; left out when it is what the asker stated. */
    statement: z.object(statementFields).optional()
  }),
  z.object({ kind: z.literal(LimitMessageKind.Return), ...serverFields, count: countSchema })
])

export type LimitMessage = z.infer<typeof limitMessageSchema>
export type LimitNotice = Extract<LimitMessage, { readonly kind: LimitMessageKind.Notice }>
export type ColdNotice = Extract<LimitMessage, { readonly kind: LimitMessageKind.ColdNotice }>
export type PermitRequest = Extract<LimitMessage, { readonly kind: LimitMessageKind.Request }>
export type PermitGrant = Extract<LimitMessage, { readonly kind: LimitMessageKind.Grant }>
export type PermitReturn = Extract<LimitMessage, { readonly kind: LimitMessageKind.Return }>

/** Encodes a message for a datagram. Gateways of earlier releases drop it, since they do not know the kind. */
export function encodeLimitMessage (message: LimitMessage): string {
  return JSON.stringify(message)
}

/** Decodes a message; undefined for any other content. Unknown fields are ignored. */
export function decodeLimitMessage (text: string): LimitMessage | undefined {
  try {
    return limitMessageSchema.safeParse(JSON.parse(text)).data
  } catch {
    // Not JSON: the text came from another program. The load report socket logs it.
    return undefined
  }
}
