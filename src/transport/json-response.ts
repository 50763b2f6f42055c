import type { z } from 'zod'

import { failure, success, type Result } from '../shared/result.js'
import type { HttpClientResponse } from './http-client.js'
import { TransportErrorKind, type TransportError } from './transport-error.js'

const maxQuotedBodyCharacters = 200

/** Parses the body of a response as JSON and checks it against the schema. */
export function readJsonResponse<T> (response: HttpClientResponse, schema: z.ZodType<T>, parse: (text: string) => unknown = JSON.parse): Result<T, TransportError> {
  try {
    const parsed = schema.safeParse(parse(response.body.toString('utf8')))
    if (parsed.success) return success(parsed.data)
    return failure({ kind: TransportErrorKind.MalformedResponse, reason: `response body has an unexpected shape: ${parsed.error.message}` })
  } catch (error) {
    return failure({ kind: TransportErrorKind.MalformedResponse, reason: `response body is not JSON: ${(error as Error).message}` })
  }
}

/** Creates the error for a response with a status code that the protocol does not define. It quotes the beginning of the body. */
export function createUnexpectedStatusError (response: HttpClientResponse): TransportError {
  const text = response.body.toString('utf8').slice(0, maxQuotedBodyCharacters)
  return { kind: TransportErrorKind.UnexpectedStatus, statusCode: response.statusCode, reason: `unexpected status ${response.statusCode}: ${text}` }
}
