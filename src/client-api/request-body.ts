import type { IncomingMessage } from 'node:http'

import { failure, success, type Result } from '../shared/result.js'
import { ApiErrorKind, createNotRunError, type ApiError } from './api-error.js'

/** Reads the complete body of a request; fails with `BodyTooLarge` above `maxBodyBytes`. */
export async function readBody (request: IncomingMessage, maxBodyBytes: number): Promise<Result<Buffer, ApiError>> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > maxBodyBytes) return failure(createBodyTooLargeError(maxBodyBytes))
  const chunks: Buffer[] = []
  let sizeBytes = 0
  try {
    for await (const chunk of request) {
      sizeBytes += (chunk as Buffer).length
      if (sizeBytes > maxBodyBytes) return failure(createBodyTooLargeError(maxBodyBytes))
      chunks.push(chunk as Buffer)
    }
  } catch {
    return failure(createNotRunError(ApiErrorKind.MalformedRequest, 'request ended before its body was complete'))
  }
  return success(Buffer.concat(chunks))
}

/** Parses a body as a JSON object; any other JSON value is an error. */
export function parseJsonObject (body: Buffer): Result<Record<string, unknown>, ApiError> {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch (error) {
    return failure(createNotRunError(ApiErrorKind.MalformedRequest, `body is not JSON: ${(error as Error).message}`))
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return failure(createNotRunError(ApiErrorKind.MalformedRequest, 'body is not a JSON object'))
  }
  return success(value as Record<string, unknown>)
}

function createBodyTooLargeError (maxBodyBytes: number): ApiError {
  return createNotRunError(ApiErrorKind.BodyTooLarge, `body is larger than ${maxBodyBytes} bytes (setting callers.maxBodyBytes)`)
}
