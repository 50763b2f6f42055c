import { z } from 'zod'

import {
  EngineControlErrorKind,
  type EngineControl,
  type EngineControlError,
  type EngineState
} from '../coordination/ports/engine-control.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { createHttpClient, type HttpClientResponse } from './http-client.js'
import { readJsonResponse, createUnexpectedStatusError } from './json-response.js'
import { TransportErrorKind, type TransportError } from './transport-error.js'

export interface EngineHttpControlOptions {
  readonly timers?: TimerService
}

/** HTTP client for the control interface of model engines. */
export interface EngineHttpControl extends EngineControl {
  close (): Promise<void>
}

/** A state names the members of one group. */
const maxResponseBytes = 65_536

const stateSchema: z.ZodType<EngineState> = z.object({
  vmId: z.string(),
  groupId: z.string().optional(),
  epoch: z.number(),
  deployment: z.string().optional(),
  modelVersion: z.string().optional(),
  memberVmIds: z.array(z.string()),
  isLoaded: z.boolean(),
  isLeaving: z.boolean(),
  activeStreamCount: z.number(),
  queuedStreamCount: z.number(),
  tokenIntervalMs: z.number()
})
const staleSchema = z.object({ currentEpoch: z.number() })

/** Creates a client for the engines of all VMs. It never retries a call. */
export function createEngineHttpControl (options: EngineHttpControlOptions = {}): EngineHttpControl {
  const httpClient = createHttpClient({ timers: options.timers })
  return {
    async fetchState (address, timeoutMs) {
      const response = await httpClient.send({ origin: toOrigin(address), method: 'GET', path: '/state', timeoutMs, maxResponseBytes })
      const state = response.isOk ? readState(response.value) : response
      return state.isOk ? state : failure({ kind: EngineControlErrorKind.Unreachable, reason: state.error.reason })
    },
    async sendCommand (address, command, timeoutMs) {
      const response = await httpClient.send({
        origin: toOrigin(address),
        method: 'POST',
        // The engine protocol calls commands orders.
        path: '/orders',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(command),
        timeoutMs,
        maxResponseBytes
      })
      return response.isOk ? readCommandResponse(response.value) : failure(toCommandError(response.error))
    },
    close: httpClient.close
  }
}

function toOrigin (address: string): string {
  return `http://${address}`
}

function readState (response: HttpClientResponse): Result<EngineState, TransportError> {
  return response.statusCode === 200 ? readJsonResponse(response, stateSchema) : failure(createUnexpectedStatusError(response))
}

function readCommandResponse (response: HttpClientResponse): Result<void, EngineControlError> {
  if (response.statusCode === 202) return success(undefined)
  if (response.statusCode === 409) return readStaleEpoch(response)
  return failure(toCommandError(createUnexpectedStatusError(response)))
}

function readStaleEpoch (response: HttpClientResponse): Result<never, EngineControlError> {
  const stale = readJsonResponse(response, staleSchema)
  const currentEpoch = stale.isOk ? stale.value.currentEpoch : undefined
  return failure({
    kind: EngineControlErrorKind.StaleEpoch,
    reason: `engine has seen epoch ${currentEpoch ?? 'unknown'}`,
    currentEpoch
  })
}

function toCommandError (error: TransportError): EngineControlError {
  switch (error.kind) {
    case TransportErrorKind.NotSent:
      return { kind: EngineControlErrorKind.Unreachable, reason: error.reason }
    case TransportErrorKind.UnexpectedStatus:
      return { kind: isRefusal(error.statusCode) ? EngineControlErrorKind.Refused : EngineControlErrorKind.Ambiguous, reason: error.reason }
    default:
      return { kind: EngineControlErrorKind.Ambiguous, reason: error.reason }
  }
}

/** Whether the engine refused the command. An engine that fails while it executes a command responds with another status. */
function isRefusal (statusCode: number): boolean {
  return statusCode === 503 || (statusCode >= 400 && statusCode < 500)
}
