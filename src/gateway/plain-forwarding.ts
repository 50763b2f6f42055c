/** Forwards requests to plain services, whose responses are not streams. */
import { ServerState, type BackendServer } from '../state/backend-server.js'
import { RouteKind } from '../state/serving-config.js'
import { ExchangeFailureKind, type ResponseHead, type ExchangeFailure } from '../transport/backend-connection-pool.js'
import { filterResponseHeaders } from './response-headers.js'
import {
  sendGatewayResponse, buildBackendRequest, CallOutcome, getRemainingMs, maxNotExecutedRetryCount, promisesNotExecuted, readServerHead, recordOutcome, type Call, type CallDependencies
} from './call-context.js'
import type { ServerResponseInfo } from './wire-codec.js'

enum AttemptKind {
  /** The server sent a response that can be forwarded, possibly with an error status. */
  Responded = 'answered',
  /** The request is known not to have been executed. */
  NotExecuted = 'notRun',
  /** No usable response arrived; the request may have been executed. */
  Lost = 'lost',
  TimedOut = 'timedOut',
  ClientDisconnected = 'left'
}

type Attempt =
  | { readonly kind: AttemptKind.Responded, readonly head: ResponseHead, readonly body: Buffer }
  | { readonly kind: AttemptKind.NotExecuted | AttemptKind.Lost | AttemptKind.TimedOut | AttemptKind.ClientDisconnected, readonly reason: string }

/** A larger response is not buffered; the attempt counts as lost. */
const maxResponseBytes = 8 * 1024 * 1024
/** A retryable attempt times out after this many times the route's latency objective. */
const attemptTimeoutObjectiveFactor = 1.5
/** Lower bound on the timeout of a retryable attempt, for routes with a short objective. */
const minAttemptTimeoutMs = 200
/** Added to the cost of a server in another zone. The cost is an expected latency in milliseconds, see `ServerScores`. */
const crossZoneCostMs = 25
const serverErrorStatus = 500
/** Shortest Retry-After of a refused request: a few times the usual processing time, after which a server may have capacity. */
const minPlainRetryAfterMs = 150
const plainRetryAfterSpreadMs = 350

/** Forwards a request to a server of a plain service, retries it where that is allowed, and sends the client the response. */
export async function forwardPlain (dependencies: CallDependencies, call: Call): Promise<void> {
  const triedServerIds = new Set<string>()
  const retryBudget = dependencies.getRetryBudget(call.serviceName)
  const isRepeatable = call.route.kind === RouteKind.Safe
  let possibleExecutionCount = 0
  let notExecutedCount = 0
  let lastFailure: Attempt | undefined
  retryBudget.recordRequest()

  while (getRemainingMs(dependencies, call) > 0) {
    const isFirst = possibleExecutionCount + notExecutedCount === 0
    const server = chooseServer(dependencies, call, triedServerIds)
    if (server === undefined || (!isFirst && !retryBudget.trySpend())) break
    triedServerIds.add(server.id)
    const mayRepeat = isRepeatable && possibleExecutionCount + 1 < call.route.maxAttempts
    const attempt = await tryServer(dependencies, call, server, mayRepeat)
    if (attempt.kind === AttemptKind.ClientDisconnected) {
      recordOutcome(dependencies, call, CallOutcome.ClientDisconnected, { serverId: server.id })
      return
    }
    if (attempt.kind === AttemptKind.NotExecuted) {
      notExecutedCount += 1
      if (notExecutedCount > maxNotExecutedRetryCount) break
      continue
    }
    possibleExecutionCount += 1
    const isServerError = attempt.kind === AttemptKind.Responded && attempt.head.statusCode >= serverErrorStatus
    if (attempt.kind === AttemptKind.Responded && !(isServerError && mayRepeat)) {
      sendServerResponse(dependencies, call, server, attempt.head, attempt.body)
      return
    }
    lastFailure = attempt
    if (!mayRepeat) break
  }
  finishWithoutSuccess(dependencies, call, possibleExecutionCount, lastFailure, triedServerIds)
}

/** Ends the call after the last attempt: forwards a server's error response, or responds with 502, 503 or 504. */
function finishWithoutSuccess (dependencies: CallDependencies, call: Call, possibleExecutionCount: number, lastFailure: Attempt | undefined, triedServerIds: ReadonlySet<string>): void {
  const fields = { serverIds: [...triedServerIds].join(' '), ranCount: possibleExecutionCount }
  if (lastFailure?.kind === AttemptKind.Responded) {
    sendServerResponse(dependencies, call, undefined, lastFailure.head, lastFailure.body)
    return
  }
  if (possibleExecutionCount === 0) {
    const minRetryAfterMs = Math.max(minPlainRetryAfterMs, getShortestHoldMs(dependencies, call.serviceName))
    const retryAfterMs = Math.round(minRetryAfterMs + plainRetryAfterSpreadMs * dependencies.random.nextFloat())
    recordOutcome(dependencies, call, CallOutcome.Refused, { ...fields, retryAfterMs })
    sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 503, retryAfterMs)
    return
  }
  const isTimeout = lastFailure?.kind === AttemptKind.TimedOut
  const reason = lastFailure !== undefined && 'reason' in lastFailure ? lastFailure.reason : ''
  recordOutcome(dependencies, call, isTimeout ? CallOutcome.TimedOut : CallOutcome.Broken, { ...fields, reason })
  sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, isTimeout ? 504 : 502)
}

function sendServerResponse (dependencies: CallDependencies, call: Call, server: BackendServer | undefined, head: ResponseHead, body: Buffer): void {
  const isFailure = head.statusCode >= serverErrorStatus
  recordOutcome(dependencies, call, isFailure ? CallOutcome.ServerFailure : CallOutcome.Served, { serverId: server?.id ?? '', statusCode: head.statusCode })
  if (call.response.destroyed) return
  const headers = filterResponseHeaders(head.rawHeaders, false)
  headers.push('Content-Length', String(body.length))
  call.response.writeHead(head.statusCode, head.statusMessage, headers as never)
  call.response.end(body)
}

/** Time until the first of the service's servers takes requests; 0 if one does now, or if there is none. */
function getShortestHoldMs (dependencies: CallDependencies, serviceName: string): number {
  const holdsMs = dependencies.fleet.getServers(serviceName).filter(server => server.state === ServerState.Ready).map(dependencies.holds.getRemainingMs)
  return holdsMs.length === 0 ? 0 : Math.min(...holdsMs)
}

function chooseServer (dependencies: CallDependencies, call: Call, triedServerIds: ReadonlySet<string>): BackendServer | undefined {
  let best: BackendServer | undefined
  let bestCost = Infinity
  const maxInFlightCount = dependencies.getConnectionLimit(call.serviceName)
  for (const server of dependencies.fleet.getServers(call.serviceName)) {
    if (server.state !== ServerState.Ready || triedServerIds.has(server.id)) continue
    if (dependencies.scores.countInFlight(server.id) >= maxInFlightCount || dependencies.holds.getRemainingMs(server) > 0) continue
    // The random part, below 1 ms, breaks ties.
    const cost = dependencies.scores.getCost(server.id) + (server.zone === dependencies.zone ? 0 : crossZoneCostMs) + dependencies.random.nextFloat()
    if (cost >= bestCost) continue
    best = server
    bestCost = cost
  }
  return best
}

function tryServer (dependencies: CallDependencies, call: Call, server: BackendServer, mayRepeat: boolean): Promise<Attempt> {
  return new Promise(resolve => {
    const { timers } = dependencies
    const sentAtMs = timers.nowMs()
    const chunks: Buffer[] = []
    let size = 0
    let head: ResponseHead | undefined
    let info: ServerResponseInfo | undefined
    let isSettled = false

    function settle (attempt: Attempt): void {
      if (isSettled) return
      isSettled = true
      timeout.cancel()
      call.response.off('close', onClientDisconnect)
      const isFailure = attempt.kind !== AttemptKind.Responded || attempt.head.statusCode >= serverErrorStatus
      if (attempt.kind === AttemptKind.ClientDisconnected) dependencies.scores.endRequest(server.id, undefined, false)
      else dependencies.scores.endRequest(server.id, attempt.kind === AttemptKind.NotExecuted ? undefined : timers.nowMs() - sentAtMs, isFailure)
      resolve(attempt)
    }

    function abandon (attempt: Attempt): void {
      exchange.abort()
      settle(attempt)
    }

    function onClientDisconnect (): void {
      // A request that must not be repeated is left to finish at the server.
      if (call.route.kind === RouteKind.Safe) abandon({ kind: AttemptKind.ClientDisconnected, reason: 'the client disconnected' })
    }

    const remainingMs = getRemainingMs(dependencies, call)
    const retryableTimeoutMs = Math.max(minAttemptTimeoutMs, call.route.objectiveMs * attemptTimeoutObjectiveFactor)
    const timeoutMs = mayRepeat ? Math.min(remainingMs, retryableTimeoutMs) : remainingMs
    const timeout = timers.subscribeOnce(timeoutMs, () => abandon({ kind: AttemptKind.TimedOut, reason: `no response within ${Math.round(timeoutMs)} ms` }))
    call.response.on('close', onClientDisconnect)
    dependencies.scores.beginRequest(server.id)
    const isDedicated = call.route.kind !== RouteKind.Safe
    const exchange = dependencies.connections.open(buildBackendRequest(dependencies, call, server, { isDedicated, lastEventId: call.clientInfo.lastEventId }), {
      onHead (received) {
        head = received
        info = readServerHead(dependencies, server, received)
      },
      onData (chunk) {
        size += chunk.length
        chunks.push(chunk)
        if (size > maxResponseBytes) abandon({ kind: AttemptKind.Lost, reason: `the response is larger than ${maxResponseBytes} bytes` })
      },
      onEnd () {
        settle(head === undefined || info === undefined ? { kind: AttemptKind.Lost, reason: 'no response' } : classifyResponse(call, head, info, Buffer.concat(chunks)))
      },
      onFailure (failure: ExchangeFailure) {
        const kind = failure.kind === ExchangeFailureKind.NotSent ? AttemptKind.NotExecuted : AttemptKind.Lost
        settle({ kind, reason: failure.reason })
      }
    })
  })
}

/** Decides whether a response can be forwarded: it must be the server's own response to this request. */
function classifyResponse (call: Call, head: ResponseHead, response: ServerResponseInfo, body: Buffer): Attempt {
  if (response.isNotExecuted) return { kind: AttemptKind.NotExecuted, reason: `the server refused the request with status ${head.statusCode}` }
  if (response.requestId !== call.clientInfo.requestId) return { kind: AttemptKind.Lost, reason: 'the response belongs to another request' }
  if (response.isEncoded) return { kind: AttemptKind.Lost, reason: 'the response has a content encoding that was not requested' }
  const isSuccess = head.statusCode >= 200 && head.statusCode < 300
  if (isSuccess && !response.isStamped) return { kind: AttemptKind.Lost, reason: 'the response has no server stamp' }
  if (promisesNotExecuted(head.statusCode)) return { kind: AttemptKind.Lost, reason: `the server responded with status ${head.statusCode} but did not state whether it executed the request` }
  return { kind: AttemptKind.Responded, head, body }
}
