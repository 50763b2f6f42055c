/** The context of one client request, with the helpers that both kinds of forwarding use. */
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

/** The dependencies that all calls of a gateway share. */
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
  /** Requests that this gateway may have in flight at one server of the service. */
  getConnectionLimit (serviceName: string): number
  getRetryBudget (serviceName: string): ServiceRetryBudget
  /** Reports that a replica's streams have stopped delivering events. */
  reportStall (replicaId: string): void
}

/** One client request, after its body has been read and the configuration has admitted it. */
export interface Call {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly clientInfo: ClientRequestInfo
  /** Undefined for a request without a body. */
  readonly body: Buffer | undefined
  readonly route: Route
  readonly team: Team | undefined
  readonly serviceName: string
  readonly arrivedAtMs: number
  /** The client gets its final response by this time. */
  readonly deadlineAtMs: number
}

/** How a call ended, for logs and counters. */
export enum CallOutcome {
  Served = 'served',
  ServerFailure = 'server_failure',
  /** Not executed; the response has a Retry-After header. */
  Refused = 'refused',
  /** Failed after it may have been executed. */
  Broken = 'broken',
  TimedOut = 'timed_out',
  ClientDisconnected = 'caller_left'
}

/** Sends a response without a body that the gateway makes itself. Does nothing once a response has been started. */
export function sendGatewayResponse (services: CallServices, response: ServerResponse, requestId: string | undefined, statusCode: number, retryAfterMs?: number): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(statusCode, { ...services.codec.buildGatewayHeaders(requestId, retryAfterMs), 'Content-Length': '0' })
  response.end()
}

/**
 * Whether a client reads the status as a promise that its request was not executed. A server's status alone doesn't
 * prove that, so that such a status is not forwarded.
 */
export function promisesNotExecuted (statusCode: number): boolean {
  return notExecutedStatuses.includes(statusCode)
}

const notExecutedStatuses: readonly number[] = [408, 421, 429, 503]

/** Time left until the final response is due. */
export function getRemainingMs (services: CallServices, call: Call): number {
  return call.deadlineAtMs - services.timers.nowMs()
}

/**
 * Time that the client still waits, at least 1 ms. It is sent to the server as its deadline, and may end later than the
 * route's timeout, which `getRemainingMs` includes.
 */
export function getClientRemainingMs (services: CallServices, call: Call): number {
  const elapsedMs = services.timers.nowMs() - call.arrivedAtMs
  return Math.max(1, (call.clientInfo.deadlineMs ?? call.route.timeoutMs) - elapsedMs)
}

/** Builds the request that forwards the call to one server. */
export function buildBackendRequest (services: CallServices, call: Call, server: BackendServer, options: { readonly isDedicated: boolean, readonly lastEventId: string | undefined }): BackendRequest {
  return {
    host: server.host,
    port: server.port,
    method: call.request.method ?? 'GET',
    path: call.request.url ?? '/',
    rawHeaders: services.codec.buildServerHeaders(call.request.rawHeaders, {
      remainingMs: getClientRemainingMs(services, call),
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

/** Logs how a call ended, in one line, and counts it. */
export function recordOutcome (services: CallServices, call: Call, outcome: CallOutcome, fields: LogFields): void {
  services.metrics.countRequest(call.route.kind, outcome)
  services.logger.info('A call ended.', {
    requestId: call.clientInfo.requestId ?? '',
    route: call.route.name,
    service: call.serviceName,
    outcome,
    elapsedMs: Math.round(services.timers.nowMs() - call.arrivedAtMs),
    configVersion: services.fleet.getConfig()?.version ?? 0,
    ...fields
  })
}
