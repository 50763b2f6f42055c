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

/** Control calls to model engines over HTTP. */
export interface EngineHttpControl extends EngineControl {
  close (): Promise<void>
}

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

/** Creates the control of the engines on all VMs. It never repeats a call by itself. */
export function createEngineHttpControl (options: EngineHttpControlOptions = {}): EngineHttpControl {
  const exchange = createHttpClient({ timers: options.timers })
  return {
    async fetchState (address, timeoutMs) {
      const reply = await exchange.send({ origin: toOrigin(address), method: 'GET', path: '/state', timeoutMs })
      const state = reply.isOk ? readState(reply.value) : reply
      return state.isOk ? state : failure({ kind: EngineControlErrorKind.Unreachable, reason: state.error.reason })
    },
    async sendCommand (address, order, timeoutMs) {
      const reply = await exchange.send({
        origin: toOrigin(address),
        method: 'POST',
        path: '/orders',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
        timeoutMs
      })
      return reply.isOk ? readOrderReply(reply.value) : failure(toOrderError(reply.error))
    },
    close: exchange.close
  }
}

function toOrigin (address: string): string {
  return `http://${address}`
}

function readState (reply: HttpClientResponse): Result<EngineState, TransportError> {
  return reply.statusCode === 200 ? readJsonResponse(reply, stateSchema) : failure(createUnexpectedStatusError(reply))
}

function readOrderReply (reply: HttpClientResponse): Result<void, EngineControlError> {
  if (reply.statusCode === 202) return success(undefined)
  if (reply.statusCode === 409) return readStaleEpoch(reply)
  return failure(toOrderError(createUnexpectedStatusError(reply)))
}

function readStaleEpoch (reply: HttpClientResponse): Result<never, EngineControlError> {
  const stale = readJsonResponse(reply, staleSchema)
  const currentEpoch = stale.isOk ? stale.value.currentEpoch : undefined
  return failure({
    kind: EngineControlErrorKind.StaleEpoch,
    reason: `engine has seen epoch ${currentEpoch ?? 'unknown'}`,
    currentEpoch
  })
}

function toOrderError (error: TransportError): EngineControlError {
  switch (error.kind) {
    case TransportErrorKind.NotSent:
      return { kind: EngineControlErrorKind.Unreachable, reason: error.reason }
    case TransportErrorKind.UnexpectedStatus:
      return { kind: isRefusal(error.statusCode) ? EngineControlErrorKind.Refused : EngineControlErrorKind.Ambiguous, reason: error.reason }
    default:
      return { kind: EngineControlErrorKind.Ambiguous, reason: error.reason }
  }
}

/** An engine that failed while it carried an order out answers with another status. */
function isRefusal (statusCode: number): boolean {
  return statusCode === 503 || (statusCode >= 400 && statusCode < 500)
}
