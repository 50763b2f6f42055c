import type { IncomingMessage, ServerResponse } from 'node:http'

import type { ServerScores } from '../coordination/dispatch/server-scores.js'
import type { ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { ServiceRetryBudget } from '../coordination/dispatch/service-retry-budget.js'
import type { LogFields, Logger } from '../observability/log.js'
import type { Metrics } from '../observability/metrics.js'
import type { RandomSource } from '../shared/random-source.js'
import type { TimerService } from '../shared/timer-service.js'
import type { Route, Team } from '../state/serving-config.js'
import type { BackendServer } from '../state/backend-server.js'
import type { BackendConnectionPool, BackendRequest } from '../transport/backend-connection-pool.js'
import type { FleetView } from './fleet-view.js'
import type { ClientRequestInfo, WireCodec } from './wire-codec.js'

/** What all calls of a gateway share. */
export interface CallServices {
  readonly zone: string
  readonly timers: TimerService
  readonly random: RandomSource
  readonly fleet: FleetView
  readonly codec: WireCodec
  readonly connections: BackendConnectionPool
  readonly scores: ServerScores
  readonly loads: ReplicaLoads
  readonly metrics: Metrics
  readonly logger: Logger
  countGateways (): number
  /** Requests that this gateway may have at one server of the service. */
  getConnectionLimit (serviceName: string): number
  getRetryShare (serviceName: string): ServiceRetryBudget
  /** A group's streams stand still. */
  reportStall (replicaId: string): void
}

/** One request of a caller, read whole and allowed by the configuration. */
export interface Call {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly facts: ClientRequestInfo
  /** Undefined for a request without a body. */
  readonly body: Buffer | undefined
  readonly route: Route
  readonly team: Team | undefined
  readonly serviceName: string
  readonly arrivedAtMs: number
  /** When the caller gets its final answer at the latest. */
  readonly endsAtMs: number
}

/** How a call ended, for logs and counters. */
export enum CallOutcome {
  Served = 'served',
  ServerFailure = 'server_failure',
  /** Not run; the caller was told when to come back. */
  Refused = 'refused',
  /** It may have run. */
  Broken = 'broken',
  TimedOut = 'timed_out',
  ClientDisconnected = 'caller_left'
}

/** Answers with a status of the gateway's own. Does nothing when the answer has begun. */
export function answerOwn (services: CallServices, response: ServerResponse, requestId: string | undefined, statusCode: number, retryAfterMs?: number): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(statusCode, { ...services.codec.buildOwnHeaders(requestId, retryAfterMs), 'Content-Length': '0' })
  response.end()
}

/** Whether the status tells a caller that its request has not run; a server's own does not prove it. */
export function promisesNotRun (statusCode: number): boolean {
  return notRunStatuses.includes(statusCode)
}

const notRunStatuses: readonly number[] = [408, 421, 429, 503]

/** Time left until the final answer is due. */
export function getRemainingMs (services: CallServices, call: Call): number {
  return call.endsAtMs - services.timers.nowMs()
}

/** Time that the caller still waits, for the server's own limit. */
export function getDeadlineMs (services: CallServices, call: Call): number {
  const elapsedMs = services.timers.nowMs() - call.arrivedAtMs
  return Math.max(1, (call.facts.deadlineMs ?? call.route.timeoutMs) - elapsedMs)
}

/** The call as a request to one server. */
export function buildServerRequest (services: CallServices, call: Call, server: BackendServer, options: { readonly isDedicated: boolean, readonly lastEventId: string | undefined }): BackendRequest {
  return {
    host: server.host,
    port: server.port,
    method: call.request.method ?? 'GET',
    path: call.request.url ?? '/',
    rawHeaders: services.codec.buildServerHeaders(call.request.rawHeaders, {
      remainingMs: getDeadlineMs(services, call),
      serverId: server.id,
      teamName: call.team?.name,
      priority: call.team?.priority ?? call.route.priority,
      lastEventId: options.lastEventId,
      bodyLength: call.body?.length
    }),
    body: call.body,
    isDedicated: options.isDedicated
  }
}

/** Writes the one line that says how a call ended, and counts it. */
export function recordOutcome (services: CallServices, call: Call, outcome: CallOutcome, fields: LogFields): void {
  services.metrics.countRequest(call.route.kind, outcome)
  services.logger.info('A call ended.', {
    requestId: call.facts.requestId ?? '',
    route: call.route.name,
    service: call.serviceName,
    outcome,
    elapsedMs: Math.round(services.timers.nowMs() - call.arrivedAtMs),
    configVersion: services.fleet.getConfig()?.version ?? 0,
    ...fields
  })
}
