import type { z } from 'zod'

import { failure, success, type Result } from '../shared/result.js'
import type { HttpClientResponse } from './http-client.js'
import { TransportErrorKind, type TransportError } from './transport-error.js'

const maxQuotedBodyChars = 200

/** Reads a reply's body as JSON of the given shape. */
export function readJsonResponse<T> (reply: HttpClientResponse, schema: z.ZodType<T>): Result<T, TransportError> {
  try {
    const parsed = schema.safeParse(JSON.parse(reply.body.toString('utf8')))
    if (parsed.success) return success(parsed.data)
    return failure({ kind: TransportErrorKind.MalformedReply, reason: `reply has another shape: ${parsed.error.message}` })
  } catch (error) {
    return failure({ kind: TransportErrorKind.MalformedReply, reason: `reply is no JSON: ${(error as Error).message}` })
  }
}

/** Returns the error for a reply whose status the protocol does not have. */
export function createUnexpectedStatusError (reply: HttpClientResponse): TransportError {
  const text = reply.body.toString('utf8').slice(0, maxQuotedBodyChars)
  return { kind: TransportErrorKind.UnexpectedStatus, statusCode: reply.statusCode, reason: `unexpected status ${reply.statusCode}: ${text}` }
}
