import type { IncomingMessage } from 'node:http'

import type { BufferBudget } from '../shared/buffer-budget.js'
import { failure, success, type Result } from '../shared/result.js'
import { BodyResultKind, readRequestBody } from '../transport/request-body.js'
import { ApiErrorKind, createNotRunError, createRefusal, type ApiError } from './api-error.js'

/** A body that was read, and is counted until `release` is called. */
export interface HeldBody {
  readonly body: Buffer
  release (): void
}

export interface ReadBodyOptions {
  readonly maxBodyBytes: number
  readonly budget: BufferBudget
}

const noMemoryRetryMs = 1000

/** Reads the complete body of a request; fails with `BodyTooLarge` above `maxBodyBytes`, and with `Unavailable` without memory for it. */
export async function readBody (request: IncomingMessage, { maxBodyBytes, budget }: ReadBodyOptions): Promise<Result<HeldBody, ApiError>> {
  const { result, release } = readRequestBody(request, { maxBytes: maxBodyBytes, budget })
  const read = await result
  switch (read.kind) {
    case BodyResultKind.Whole:
      return success({ body: read.body ?? Buffer.alloc(0), release })
    case BodyResultKind.TooLarge:
      return failure(createNotRunError(ApiErrorKind.BodyTooLarge, `body is larger than ${maxBodyBytes} bytes (setting callers.maxBodyBytes), or in too many chunks`))
    case BodyResultKind.NoMemory:
      return failure(createRefusal(request, ApiErrorKind.Unavailable, 'the memory for bodies of requests is used up', noMemoryRetryMs))
    case BodyResultKind.Aborted:
      return failure(createNotRunError(ApiErrorKind.MalformedRequest, 'request ended before its body was complete'))
  }
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
