/** The context of one client request, with the helpers that both kinds of forwarding use. */
import type { IncomingMessage, ServerResponse } from 'node:http'

import type { DemandMeter } from '../coordination/demand/demand-meter.js'
import type { ServerHolds } from '../coordination/dispatch/server-holds.js'
import type { ServerOverruns } from '../coordination/dispatch/server-overruns.js'
import { StatementSource, type ServerLimits } from '../coordination/limits/server-limits.js'
import type { ServerPermits } from '../coordination/limits/server-permits.js'
import type { ServerAdmission } from '../coordination/servers/server-admission.js'
import type { ServerScores } from '../coordination/dispatch/server-scores.js'
import type { ServerPace } from '../coordination/pace/server-pace.js'
import type { PromptGuard } from '../coordination/quarantine/prompt-guard.js'
import type { ModelTimings } from '../coordination/dispatch/model-timings.js'
import type { ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { ServiceRetryBudget } from '../coordination/dispatch/service-retry-budget.js'
import type { ClassUses } from '../coordination/scarcity/class-uses.js'
import type { LogFields, Logger } from '../observability/log.js'
import { MetricEvent, type Metrics } from '../observability/metrics.js'
import type { BufferBudget } from '../shared/buffer-budget.js'
import type { RandomSource } from '../shared/random-source.js'
import type { SharedTicker } from '../shared/shared-ticker.js'
import type { TimerService } from '../shared/timer-service.js'
import type { Route, Team } from '../state/serving-config.js'
import { ServerState, type BackendServer } from '../state/backend-server.js'
import type { BackendConnectionPool, BackendRequest, ResponseHead } from '../transport/backend-connection-pool.js'
import type { FleetView } from './fleet-view.js'
import type { ClientRequestInfo, ServerResponseInfo, WireCodec } from './wire-codec.js'

/** The dependencies that all calls of a gateway share. */
export interface CallDependencies {
  readonly zone: string
  readonly timers: TimerService
  /** Checks of the streams in progress. */
  readonly streamTicker: SharedTicker
  readonly random: RandomSource
  readonly fleet: FleetView
  readonly codec: WireCodec
  readonly connections: BackendConnectionPool
  /** Memory for the bodies of requests, until their calls have ended. */
  readonly requestBuffers: BufferBudget
  /** Memory for what servers send, until clients have taken it. */
  readonly responseBuffers: BufferBudget
  readonly scores: ServerScores
  readonly holds: ServerHolds
  readonly overruns: ServerOverruns
  readonly limits: ServerLimits
  readonly permits: ServerPermits
  readonly admission: ServerAdmission
  readonly promptGuard: PromptGuard
  /** Demand of the clients of this gateway. */
  readonly demand: DemandMeter
  readonly loads: ReplicaLoads
  /** Undefined where pacing is off. */
  readonly pace?: ServerPace | undefined
  readonly timings: ModelTimings
  readonly classUses: ClassUses
  readonly metrics: Metrics
  readonly logger: Logger
  countGateways (): number
  /**
   * Whether gateways learn of each other's streams through relays. Without them counts are at most 0.2 s old, and a short queue in the
   * engines serves more calls than refusals by expected times do.
   */
  hasRelays (): boolean
  /** Records that a server announced in a response that it is leaving, and lets the planner know. */
  noteLeaving (server: BackendServer): void
  /** Requests that this gateway may have in flight at one server of the service. */
  getConnectionLimit (serviceName: string): number
  /** The retry budget that all calls of the service share in this gateway. */
  getRetryBudget (serviceName: string): ServiceRetryBudget
  /**
   * Reports a replica that seems to have lost a member. Ignored if the replica has delivered an event recently; otherwise
   * it gets no new streams and the planner checks it.
   */
  reportStall (replicaId: string): void
}

/** A client request from its admission to its outcome. Its body has been read, and the configuration allows it. */
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
  /** The parts of its prompt are in quarantine, and it goes to one server to show whether they still end it. */
  readonly isProbe: boolean
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

/** Sends a response that the gateway makes itself, with a JSON body if there is an explanation. Does nothing once a response has been started. */
export function sendGatewayResponse (dependencies: CallDependencies, response: ServerResponse, requestId: string | undefined, statusCode: number, retryAfterMs?: number, explanation?: string): void {
  if (response.headersSent || response.destroyed) return
  const body = explanation === undefined ? '' : JSON.stringify({ error: explanation })
  const bodyHeaders = { ...(explanation === undefined ? {} : { 'Content-Type': 'application/json' }), 'Content-Length': String(Buffer.byteLength(body)) }
  response.writeHead(statusCode, { ...dependencies.codec.buildGatewayHeaders(requestId, retryAfterMs), ...bodyHeaders })
  response.end(body)
}

/**
 * Whether clients take the status as a promise that the request was not executed, and may retry it. Such a status is
 * never forwarded. Without a server's explicit statement, the request counts as possibly executed.
 */
export function promisesNotExecuted (statusCode: number): boolean {
  return notExecutedStatuses.includes(statusCode)
}

const misdirectedStatus = 421
const notExecutedStatuses: readonly number[] = [408, 421, 429, 503]

/** Whether the status is one of success; such a response is forwarded only with the stamp of its server. */
export function isSuccess (statusCode: number): boolean {
  return statusCode >= 200 && statusCode < 300
}

/** Time left until the final response is due. */
export function getRemainingMs (dependencies: CallDependencies, call: Call): number {
  return call.deadlineAtMs - dependencies.timers.nowMs()
}

/**
 * Time left until the client's own timeout, at least 1 ms; sent to the server. Unlike `getRemainingMs` it is not capped
 * by the route's timeout.
 */
export function getClientRemainingMs (dependencies: CallDependencies, call: Call): number {
  const elapsedMs = dependencies.timers.nowMs() - call.arrivedAtMs
  return Math.max(1, (call.clientInfo.clientTimeoutMs ?? call.route.timeoutMs) - elapsedMs)
}

/** Builds the request that forwards the call to one server. */
export function buildBackendRequest (dependencies: CallDependencies, call: Call, server: BackendServer, options: { readonly isDedicated: boolean, readonly lastEventId: string | undefined }): BackendRequest {
  return {
    host: server.host,
    port: server.port,
    method: call.request.method ?? 'GET',
    path: call.request.url ?? '/',
    rawHeaders: dependencies.codec.buildServerHeaders(call.request.rawHeaders, {
      remainingMs: getClientRemainingMs(dependencies, call),
      serverId: server.id,
      teamName: call.team?.name,
      priority: getPriority(call),
      lastEventId: options.lastEventId,
      bodyLength: call.body?.length
    }),
    body: call.body,
    isDedicated: options.isDedicated,
    requestId: call.clientInfo.requestId
  }
}

/** The reason of an attempt whose response was given up, as its server sent more than others. */
export const noMemoryReason = 'the memory for responses is used up'

/** The reason of an attempt that got a response to another request. */
export const foreignResponseReason = 'the response belongs to another request'

/**
 * Whether a response belongs to another request, whatever its status. A faulty server may send an earlier response once
 * more where the next one on its connection is due. It says nothing of the call, which the server may be running.
 */
export function isForeignResponse (dependencies: CallDependencies, call: Call, server: BackendServer, head: ResponseHead): boolean {
  const { requestId } = dependencies.codec.readServerResponse(head.statusCode, head.headers)
  if (requestId === call.clientInfo.requestId) return false
  dependencies.metrics.countEvent(MetricEvent.ForeignResponse)
  dependencies.logger.warn('A server sent a response that belongs to another request.', {
    requestId: call.clientInfo.requestId ?? '', serverId: server.id, responseId: requestId ?? '', statusCode: head.statusCode
  })
  return true
}

/**
 * Reads the headers of a server's response, and records what the server says of itself there: that it is leaving, that it
 * wants no requests for some time, or how many it takes. `sentAtMs` is when the request was sent.
 */
export function readServerHead (dependencies: CallDependencies, server: BackendServer, head: ResponseHead, sentAtMs: number): ServerResponseInfo {
  const response = dependencies.codec.readServerResponse(head.statusCode, head.headers)
  if (response.isLeaving) dependencies.noteLeaving(server)
  if (response.holdMs !== undefined) {
    dependencies.holds.record(server, response.holdMs)
    dependencies.metrics.countEvent(MetricEvent.ServerHold)
    dependencies.logger.info('A server wants no requests for some time.', { serverId: server.id, holdMs: response.holdMs })
  }
  if (response.invalidHold !== undefined) {
    dependencies.logger.warn('A server stated a time without requests that is not a number of seconds; it is ignored.', { serverId: server.id, value: response.invalidHold })
  }
  recordLimit(dependencies, server, response, sentAtMs, isMisdirected(head.statusCode))
  return response
}

function recordLimit (dependencies: CallDependencies, server: BackendServer, { limitPerSecond, invalidLimit }: ServerResponseInfo, sentAtMs: number, isFromOther: boolean): void {
  const { limits, permits, timers } = dependencies
  if (isFromOther) return
  if (invalidLimit !== undefined) {
    dependencies.logger.warn('A server stated a limit that is not a decimal number; what was known of it stays.', { serverId: server.id, value: invalidLimit })
    return
  }
  const isNew = limitPerSecond === undefined
    ? limits.recordEnd(server, sentAtMs, StatementSource.Response)
    : limits.record(server, limitPerSecond, timers.nowMs(), StatementSource.Response)
  if (isNew) permits.announce(server)
}

/** A call waits for a permit of a server with a limit for this many times its latency objective at most. */
const permitWaitObjectiveCount = 2
/** And for this fraction of the time that it has, so that its client can still turn to another gateway. */
const permitWaitFraction = 1 / 3
/** Servers that are asked for at the same moment for one call. */
const maxRequestedServerCount = 2

/** Asks for permits of the first servers that may have some, and returns the time after which one of the servers may. */
export function requestPermits ({ admission }: CallDependencies, servers: readonly BackendServer[]): number {
  const getWaitMs = (server: BackendServer) => {
    const check = admission.check(server)
    return check.isAllowed ? 0 : check.waitMs
  }
  for (const server of servers.filter(candidate => getWaitMs(candidate) === 0).slice(0, maxRequestedServerCount)) admission.request(server)
  return servers.length === 0 ? 0 : Math.min(...servers.map(getWaitMs))
}

/** Whether a call that has waited since `sinceMs` may wait for a permit that is not to be had before `unavailableMs`. */
export function mayWaitForPermit ({ timers }: Pick<CallDependencies, 'timers'>, { arrivedAtMs, deadlineAtMs, route }: Pick<Call, 'arrivedAtMs' | 'deadlineAtMs' | 'route'>, unavailableMs: number, sinceMs = arrivedAtMs): boolean {
  const maxWaitMs = Math.min(permitWaitObjectiveCount * route.objectiveMs, (deadlineAtMs - sinceMs) * permitWaitFraction)
  return timers.nowMs() + unavailableMs < sinceMs + maxWaitMs
}

/** The least urgent priority. */
const maxPriority = 9

/** 0 is the most urgent. Values outside 0 to 9 count as the nearest one. */
export function getPriority ({ team, route }: Pick<Call, 'team' | 'route'>): number {
  return Math.min(maxPriority, Math.max(0, team?.priority ?? route.priority))
}

/** Whether another server than the expected one has responded. */
function isMisdirected (statusCode: number): boolean {
  return statusCode === misdirectedStatus
}

/** Whether the end of the server's process is planned, so that its last response may end with the process. */
export function isEndPlanned (dependencies: CallDependencies, server: BackendServer, { isLeaving }: ServerResponseInfo): boolean {
  return isLeaving || !isServerReady(dependencies.fleet, server)
}

/** Whether the process of the server is listed, and takes requests. */
export function isServerReady (fleet: FleetView, server: BackendServer): boolean {
  return fleet.getServers(server.serviceName).some(({ id, startedAtMs, state }) => id === server.id && startedAtMs === server.startedAtMs && state === ServerState.Ready)
}

/** Logs a response that has no length and whose connection ended with its server's process. */
export function logUnconfirmedEnd (dependencies: CallDependencies, call: Call, server: BackendServer): void {
  dependencies.metrics.countEvent(MetricEvent.UnconfirmedEnd)
  dependencies.logger.info('A response without a length ended with its server, and counts as broken off.', {
    requestId: call.clientInfo.requestId ?? '', serverId: server.id, startedAtMs: server.startedAtMs
  })
}

/** The reason of an attempt whose response ended in that way. */
export const unconfirmedEndReason = 'the server ended with the response'

/** Logs how a call ended, in one line, and counts it. */
export function recordOutcome (dependencies: CallDependencies, call: Call, outcome: CallOutcome, fields: LogFields): void {
  dependencies.metrics.countRequest(call.route.kind, outcome)
  dependencies.logger.info('A call ended.', {
    requestId: call.clientInfo.requestId ?? '',
    route: call.route.name,
    service: call.serviceName,
    outcome,
    elapsedMs: Math.round(dependencies.timers.nowMs() - call.arrivedAtMs),
    configVersion: dependencies.fleet.getConfig()?.version ?? 0,
    ...fields
  })
}
