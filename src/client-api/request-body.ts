import type { IncomingMessage } from 'node:http'

import { failure, success, type Result } from '../shared/result.js'
import { ApiErrorKind, notRun, type ApiError } from './api-error.js'

/** Reads the whole body of a request, up to the bound. */
export async function readBody (request: IncomingMessage, maxBodyBytes: number): Promise<Result<Buffer, ApiError>> {
  const announcedBytes = Number(request.headers['content-length'] ?? 0)
  if (announcedBytes > maxBodyBytes) return failure(tooLarge(maxBodyBytes))
  const parts: Buffer[] = []
  let sizeBytes = 0
  try {
    for await (const part of request) {
      sizeBytes += (part as Buffer).length
      if (sizeBytes > maxBodyBytes) return failure(tooLarge(maxBodyBytes))
      parts.push(part as Buffer)
    }
  } catch {
    return failure(notRun(ApiErrorKind.MalformedRequest, 'request ended before its body was complete'))
  }
  return success(Buffer.concat(parts))
}

/** Parses a body that has to be a JSON object. */
export function parseJsonObject (body: Buffer): Result<Record<string, unknown>, ApiError> {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch (error) {
    return failure(notRun(ApiErrorKind.MalformedRequest, `body is not JSON: ${(error as Error).message}`))
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return failure(notRun(ApiErrorKind.MalformedRequest, 'body is not a JSON object'))
  }
  return success(value as Record<string, unknown>)
}

function tooLarge (maxBodyBytes: number): ApiError {
  return notRun(ApiErrorKind.BodyTooLarge, `body is larger than ${maxBodyBytes} bytes (setting callers.maxBodyBytes)`)
}
