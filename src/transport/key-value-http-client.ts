import { z } from 'zod'

import {
  KeyValueErrorKind,
  type KeyValueEntry,
  type KeyValueError,
  type KeyValueStore
} from '../coordination/ports/key-value-store.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { createHttpClient, type HttpClientResponse } from './http-client.js'
import { readJsonResponse, createUnexpectedStatusError } from './json-response.js'
import { TransportErrorKind, type TransportError } from './transport-error.js'

export interface KeyValueHttpClientOptions {
  /** Scheme, host and port of the key-value service. */
  readonly baseUrl: string
  /** Timeout of each call; for a watch it is added to the requested wait. */
  readonly timeoutMs: number
  readonly timers?: TimerService
}

/** HTTP client of the key-value service. */
export interface KeyValueHttpClient extends KeyValueStore {
  close (): Promise<void>
}

/** A value is at most 1 MB; a list holds many. */
const maxResponseBytes = 64 * 1024 * 1024

const entrySchema: z.ZodType<KeyValueEntry> = z.object({ key: z.string(), value: z.string(), revision: z.number() })
const optionalEntrySchema = z.object({ entry: entrySchema.nullable() })
const entriesSchema = z.object({ entries: z.array(entrySchema) })
const revisionSchema = z.object({ revision: z.number() })
const conflictSchema = z.object({ current: entrySchema.nullable() })
const leaseSchema = z.object({ leaseId: z.string() })
const aliveSchema = z.object({ isAlive: z.boolean() })

/** Creates a client of the key-value service. It never retries a call. */
export function createKeyValueHttpClient (options: KeyValueHttpClientOptions): KeyValueHttpClient {
  const { baseUrl, timeoutMs } = options
  const httpClient = createHttpClient({ timers: options.timers })

  function post (path: string, body: object, callTimeoutMs: number): Promise<Result<HttpClientResponse, TransportError>> {
    return httpClient.send({
      origin: baseUrl,
      method: 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      timeoutMs: callTimeoutMs,
      maxResponseBytes
    })
  }

  async function call<T> (path: string, body: object, schema: z.ZodType<T>, callTimeoutMs = timeoutMs): Promise<Result<T, TransportError>> {
    const response = await post(path, body, callTimeoutMs)
    return response.isOk ? readResponse(response.value, schema) : response
  }

  async function read<T> (path: string, body: object, schema: z.ZodType<T>, callTimeoutMs?: number): Promise<Result<T, KeyValueError>> {
    const result = await call(path, body, schema, callTimeoutMs)
    return result.isOk ? result : failure({ kind: KeyValueErrorKind.Unavailable, reason: result.error.reason })
  }

  async function write<T> (path: string, body: object, schema: z.ZodType<T>): Promise<Result<T, KeyValueError>> {
    const result = await call(path, body, schema)
    return result.isOk ? result : failure(toWriteError(result.error))
  }

  return {
    async get (key) {
      const result = await read('/kv/get', { key }, optionalEntrySchema)
      return result.isOk ? success(result.value.entry ?? undefined) : result
    },
    async list (prefix) {
      const result = await read('/kv/list', { prefix }, entriesSchema)
      return result.isOk ? success(result.value.entries) : result
    },
    async compareAndSwap ({ value, ...rest }) {
      const response = await post('/kv/cas', { ...rest, value: value ?? null }, timeoutMs)
      if (!response.isOk) return failure(toWriteError(response.error))
      if (response.value.statusCode === 409) return readConflict(response.value)
      const result = readResponse(response.value, revisionSchema)
      return result.isOk ? success(result.value.revision) : failure(toWriteError(result.error))
    },
    async watch (request) {
      const result = await read('/kv/watch', request, optionalEntrySchema, request.timeoutMs + timeoutMs)
      return result.isOk ? success(result.value.entry ?? undefined) : result
    },
    async grantLease (durationMs) {
      const result = await write('/kv/lease/grant', { durationMs }, leaseSchema)
      return result.isOk ? success(result.value.leaseId) : result
    },
    async renewLease (leaseId) {
      const result = await write('/kv/lease/keep-alive', { leaseId }, aliveSchema)
      return result.isOk ? success(result.value.isAlive) : result
    },
    close: httpClient.close
  }
}

function readResponse<T> (response: HttpClientResponse, schema: z.ZodType<T>): Result<T, TransportError> {
  return response.statusCode === 200 ? readJsonResponse(response, schema) : failure(createUnexpectedStatusError(response))
}

function readConflict (response: HttpClientResponse): Result<never, KeyValueError> {
  const conflict = readJsonResponse(response, conflictSchema)
  if (!conflict.isOk) return failure(toWriteError(conflict.error))
  return failure({ kind: KeyValueErrorKind.Conflict, current: conflict.value.current ?? undefined })
}

function toWriteError (error: TransportError): KeyValueError {
  const kind = neverTakesEffect(error) ? KeyValueErrorKind.Unavailable : KeyValueErrorKind.Ambiguous
  return { kind, reason: error.reason }
}

/** Whether a failed write is known not to take effect: it was not sent, or the service refused it. */
function neverTakesEffect (error: TransportError): boolean {
  if (error.kind === TransportErrorKind.NotSent) return true
  if (error.kind !== TransportErrorKind.UnexpectedStatus) return false
  return error.statusCode === 503 || (error.statusCode >= 400 && error.statusCode < 500)
}
