import type { EngineChunk } from '../coordination/ports/engine-streams.js'
import { failure, success, type Result } from '../shared/result.js'
import { ProtocolErrorKind, type ProtocolError } from './protocol-error.js'

interface ChunkFields {
  readonly id?: unknown
  readonly token_index?: unknown
  readonly token_count?: unknown
  readonly usage?: unknown
  readonly choices?: ReadonlyArray<{ readonly finish_reason?: unknown }>
}

const idPrefixPattern = /^(chatcmpl|cmpl)-/

/**
 * Parses the data of one server-sent event from an engine: an OpenAI chunk with the additional fields `token_index` and
 * `token_count`. A chunk that has an index but no count holds one token.
 */
export function parseEngineChunk (data: string): Result<EngineChunk, ProtocolError> {
  let fields: ChunkFields
  try {
    fields = JSON.parse(data) as ChunkFields
  } catch {
    return failure({ kind: ProtocolErrorKind.Malformed, reason: 'chunk is not JSON' })
  }
  if (typeof fields?.id !== 'string') return failure({ kind: ProtocolErrorKind.Malformed, reason: 'chunk has no id' })
  const finishReason = fields.choices?.[0]?.finish_reason
  const hasUsage = typeof fields.usage === 'object' && fields.usage !== null
  return success({
    data,
    requestId: fields.id.replace(idPrefixPattern, ''),
    tokenIndex: typeof fields.token_index === 'number' ? fields.token_index : undefined,
    tokenCount: typeof fields.token_count === 'number' ? fields.token_count : Number(fields.token_index !== undefined),
    isLast: finishReason !== undefined && finishReason !== null,
    isUsage: hasUsage && fields.choices?.length === 0
  })
}
