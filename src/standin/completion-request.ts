import { z } from 'zod'

import { parseBody } from './fault-route.js'

const defaultTokenCount = 16
const maxTokenCount = 100_000

export enum CompletionKind {
  Chat = 'chat.completion',
  Text = 'text_completion'
}

/** A parsed completion request. */
export interface CompletionRequest {
  readonly kind: CompletionKind
  readonly model: string
  readonly prompt: string
  readonly tokenCount: number
  readonly isStream: boolean
  readonly includesUsage: boolean
  readonly priority: number
  /** Index of the first token to send; those before it were delivered by another group. */
  readonly firstTokenIndex: number
}

const sharedFields = {
  model: z.string(),
  max_tokens: z.number().int().positive().max(maxTokenCount).nullish(),
  max_completion_tokens: z.number().int().positive().max(maxTokenCount).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  priority: z.number().nullish(),
  resume_from_token: z.number().int().nonnegative().nullish()
}
const chatSchema = z.object({
  ...sharedFields,
  messages: z.array(z.object({ role: z.string(), content: z.unknown() })).min(1)
})
const textSchema = z.object({
  ...sharedFields,
  prompt: z.union([z.string(), z.array(z.string())])
})

type SharedBody = Omit<z.infer<typeof textSchema>, 'prompt'>

/** Parses the body of `POST /v1/chat/completions`; throws `MalformedBodyError` for an invalid one. */
export function parseChatRequest (body: unknown): CompletionRequest {
  const parsed = parseBody(chatSchema, body)
  return toRequest(CompletionKind.Chat, parsed, JSON.stringify(parsed.messages))
}

/** Parses the body of `POST /v1/completions`; throws `MalformedBodyError` for an invalid one. */
export function parseTextRequest (body: unknown): CompletionRequest {
  const parsed = parseBody(textSchema, body)
  return toRequest(CompletionKind.Text, parsed, [parsed.prompt].flat().join('\n'))
}

function toRequest (kind: CompletionKind, body: SharedBody, prompt: string): CompletionRequest {
  return {
    kind,
    model: body.model,
    prompt,
    tokenCount: body.max_completion_tokens ?? body.max_tokens ?? defaultTokenCount,
    isStream: body.stream ?? false,
    includesUsage: body.stream_options?.include_usage ?? false,
    priority: body.priority ?? 0,
    firstTokenIndex: body.resume_from_token ?? 0
  }
}
