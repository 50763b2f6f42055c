import { z } from 'zod'

import { ModelRequestShape } from '../coordination/ports/engine-streams.js'
import { hashText } from '../shared/rendezvous.js'
import { failure, success, type Result } from '../shared/result.js'
import { ApiErrorKind, notRun, type ApiError } from './api-error.js'

const prefixCharacters = 512
const maxModelNameCharacters = 200

/** Fields that only this system may set towards engines. */
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

/** A checked body of a chat or completion request. */
export interface ParsedModelRequest {
  readonly model: string
  readonly isStream: boolean
  /** Whether the stream ends with a chunk that counts the tokens. */
  readonly isUsageWanted: boolean
  /** The body for the engine, without the fields that this system sets itself. */
  readonly engineBody: Readonly<Record<string, unknown>>
  readonly prefixHash: string
}

/** Checks the body of a request for a model's answer. */
export function parseModelRequest (shape: ModelRequestShape, body: Readonly<Record<string, unknown>>): Result<ParsedModelRequest, ApiError> {
  const schema = shape === ModelRequestShape.Chat ? chatSchema : completionSchema
  const parsed = schema.safeParse(body)
  if (!parsed.success) return failure(notRun(ApiErrorKind.MalformedRequest, describeIssues(parsed.error)))
  const prompt = shape === ModelRequestShape.Chat ? body.messages : body.prompt
  return success({
    model: parsed.data.model,
    isStream: parsed.data.stream === true,
    isUsageWanted: parsed.data.stream_options?.include_usage === true,
    engineBody: removeReserved(body),
    prefixHash: String(hashText(JSON.stringify(prompt).slice(0, prefixCharacters)))
  })
}

function describeIssues (error: z.ZodError): string {
  return error.issues.map(issue => `field "${issue.path.join('.')}": ${issue.message}`).join('; ')
}

function removeReserved (body: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(body).filter(([name]) => !reservedFields.includes(name)))
}
