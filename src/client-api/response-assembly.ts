import { ModelRequestShape, type EngineChunk } from '../coordination/ports/engine-streams.js'

interface ChunkChoice {
  readonly delta?: { readonly content?: string | null }
  readonly text?: string
  readonly finish_reason?: string | null
}

interface OpenAiChunk {
  readonly id: string
  readonly created: number
  readonly model: string
  readonly choices: readonly ChunkChoice[]
  readonly usage?: object | null
}

/** Assembles the chunks of a stream into one response, for clients that did not ask for a stream. */
export interface ResponseAssembly {
  add (chunk: EngineChunk): void
  /** Returns the complete response as an OpenAI object; undefined until the last chunk was added. */
  getResponse (): object | undefined
}

/** Creates an empty assembly. */
export function createResponseAssembly (shape: ModelRequestShape): ResponseAssembly {
  const texts: string[] = []
  let last: OpenAiChunk | undefined
  let usage: object | undefined
  let tokenCount = 0

  return {
    add (chunk) {
      const content = JSON.parse(chunk.data) as OpenAiChunk
      const choice = content.choices[0]
      const text = shape === ModelRequestShape.Chat ? choice?.delta?.content : choice?.text
      if (typeof text === 'string') texts.push(text)
      tokenCount += chunk.tokenCount
      if (chunk.isLast) last = content
      usage = content.usage ?? usage
    },
    getResponse () {
      if (last === undefined) return undefined
      const finishReason = last.choices[0]?.finish_reason ?? 'stop'
      const text = texts.join('')
      return {
        id: last.id,
        object: shape === ModelRequestShape.Chat ? 'chat.completion' : 'text_completion',
        created: last.created,
        model: last.model,
        choices: [createChoice(shape, text, finishReason)],
        usage: usage ?? { prompt_tokens: 0, completion_tokens: tokenCount, total_tokens: tokenCount }
      }
    }
  }
}

function createChoice (shape: ModelRequestShape, text: string, finishReason: string): object {
  if (shape === ModelRequestShape.Chat) {
    return { index: 0, message: { role: 'assistant', content: text }, finish_reason: finishReason, logprobs: null }
  }
  return { index: 0, text, finish_reason: finishReason, logprobs: null }
}
