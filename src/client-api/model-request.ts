import { z } from 'zod'

import { ModelRequestShape } from '../coordination/ports/engine-streams.js'
import { hashText } from '../shared/rendezvous.js'
import { failure, success, type Result } from '../shared/result.js'
import { ApiErrorKind, createNotRunError, type ApiError } from './api-error.js'

/** Length of the beginning of the prompt, as JSON, that decides the prefix cache affinity. */
const hashedPrefixCharacters = 512
const maxModelNameCharacters = 200

/** Fields of the engine protocol that clients may not set; they are removed from the body. */
const reservedFields = ['priority', 'resume_from_token', 'stream', 'stream_options']

const commonFields = {
  model: z.string().min(1).max(maxModelNameCharacters),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
  n: z.literal(1, { error: 'n must be 1' }).nullish()
}

const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({ role: z.string() })).min(1)
})

const completionSchema = z.looseObject({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1)])
})

/** A validated body of a chat or completion request. */
export interface ParsedModelRequest {
  readonly model: string
  readonly isStream: boolean
  /** Whether the client asked for a final chunk with the token counts. */
  readonly includesUsage: boolean
  /** The body for the engine, without the fields that this system sets itself. */
  readonly engineBody: Readonly<Record<string, unknown>>
  /** Hash of the beginning of the prompt, for prefix cache affinity. */
  readonly prefixHash: string
}

/** Validates the body of a chat or completion request; the error names every invalid field. */
export function parseModelRequest (shape: ModelRequestShape, body: Readonly<Record<string, unknown>>): Result<ParsedModelRequest, ApiError> {
  const schema = shape === ModelRequestShape.Chat ? chatSchema : completionSchema
  const parsed = schema.safeParse(body)
  if (!parsed.success) return failure(createNotRunError(ApiErrorKind.MalformedRequest, describeIssues(parsed.error)))
  const prompt = shape === ModelRequestShape.Chat ? body.messages : body.prompt
  return success({
    model: parsed.data.model,
    isStream: parsed.data.stream === true,
    includesUsage: parsed.data.stream_options?.include_usage === true,
    engineBody: removeReservedFields(body),
    prefixHash: String(hashText(JSON.stringify(prompt).slice(0, hashedPrefixCharacters)))
  })
}

function describeIssues (error: z.ZodError): string {
  return error.issues.map(issue => `field "${issue.path.join('.')}": ${issue.message}`).join('; ')
}

function removeReservedFields (body: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(body).filter(([name]) => !reservedFields.includes(name)))
}
