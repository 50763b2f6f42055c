/** Forwards requests to plain services, whose responses are not streams. */
import { maxNotExecutedRetryCount } from '../coordination/dispatch/attempt-limits.js'
import { minRetryAfterMs } from '../coordination/dispatch/retry-after.js'
import { chooseServer, findShortestBlock, type ServerChoice } from '../coordination/dispatch/server-choice.js'
import type { BlockedServer } from '../coordination/servers/server-admission.js'
import { describeAdmission } from '../coordination/quarantine/describe-admission.js'
import { AdmissionKind, type Admission } from '../coordination/quarantine/prompt-quarantine.js'
import { MetricEvent } from '../observability/metrics.js'
import type { BackendServer } from '../state/backend-server.js'
import { RouteKind } from '../state/serving-config.js'
import type { TimerService } from '../shared/timer-service.js'
import type { ResponseHead } from '../transport/backend-connection-pool.js'
import { isServerError, PlainResultKind, startPlainAttempt, type PlainAttempt, type PlainResult, type ResponseRest } from './plain-attempt.js'
import { breakOffResponse } from './break-off-response.js'
import { filterResponseHeaders } from './response-headers.js'
import {
  CallOutcome, getPriority, getRemainingMs, mayWaitForPermit, recordOutcome, requestPermits, sendGatewayResponse, type Call, type CallDependencies
} from './call-context.js'

/** A server that has not responded after this many times the route's latency objective counts as silent. */
const silenceObjectiveFactor = 1.5
/** Lower bound on that time, for routes with a short objective. */
const minSilenceMs = 200
/** Shortest Retry-After of a refused request: a few times the usual processing time, after which a server may have capacity. */
const minPlainRetryAfterMs = 150
const plainRetryAfterSpreadMs = 350
/** A call that waits for a permit also looks again after this time, since a server may have come that states no limit. */
const permitCheckIntervalMs = 50

const limitReason = 'all servers have got the requests that their limits allow'

interface EndedAttempt {
  readonly attempt: PlainAttempt
  readonly result: PlainResult
}

/**
 * Forwards a request to a server of a plain service, retries it where that is allowed, and sends the client the first usable
 * response. A silent server may go on, so its attempt ends only when another one has that response, or at the deadline.
 */
export async function forwardPlain (dependencies: CallDependencies, call: Call): Promise<void> {
  const { timers } = dependencies
  const triedServerIds = new Set<string>()
  const running = new Set<PlainAttempt>()
  const retryBudget = dependencies.getRetryBudget(call.serviceName)
  const isRepeatable = call.route.kind === RouteKind.Safe
  const silenceMs = Math.max(minSilenceMs, call.route.objectiveMs * silenceObjectiveFactor)
  let silentAtMs = Infinity
  /** Set when only servers with a limit were left, which may not be sent a request now: the time after which one may. */
  let permitWaitMs: number | undefined
  let possibleExecutionCount = 0
  let notExecutedCount = 0
  let lastFailure: EndedAttempt | undefined
  let admission: Admission = { kind: AdmissionKind.Admitted }
  retryBudget.recordRequest()

  function mayStartAttempt (): boolean {
    if (call.response.destroyed) return false
    if (getRemainingMs(dependencies, call) <= 0 || notExecutedCount > maxNotExecutedRetryCount) return false
    const executionCount = possibleExecutionCount + running.size
    admission = call.isProbe && executionCount === 0 ? { kind: AdmissionKind.Admitted } : dependencies.promptGuard.check(call.clientInfo.sharedPartIds)
    if (admission.kind !== AdmissionKind.Admitted) return false
    return executionCount === 0 || (isRepeatable && executionCount < call.route.maxAttempts)
  }

  function spendRetry (): boolean {
    const isAllowed = retryBudget.trySpend()
    dependencies.metrics.countEvent(isAllowed ? MetricEvent.RetrySpent : MetricEvent.RetryRefused)
    return isAllowed
  }

  /** Starts an attempt where that is allowed, and returns it. */
  function startAttempt (): PlainAttempt | undefined {
    if (!mayStartAttempt()) return undefined
    const { server, limitedServers } = chooseNextServer(dependencies, call, triedServerIds)
    permitWaitMs = server === undefined && limitedServers.length > 0 ? requestPermits(dependencies, limitedServers) : undefined
    if (server === undefined || (triedServerIds.size > 0 && !spendRetry())) return undefined
    // Permits that arrive later serve the next calls.
    requestPermits(dependencies, limitedServers.slice(0, 1))
    if (limitedServers.length > 0) dependencies.metrics.countEvent(MetricEvent.LimitedElsewhere)
    dependencies.admission.take(server)
    triedServerIds.add(server.id)
    const attempt = startPlainAttempt(dependencies, call, server)
    running.add(attempt)
    silentAtMs = isRepeatable ? timers.nowMs() + silenceMs : Infinity
    return attempt
  }

  function handleSilence (): void {
    silentAtMs = timers.nowMs() + silenceMs
    if (!mayStartAttempt()) return
    const silent = [...running]
    for (const attempt of silent) attempt.recordSilence()
    const next = startAttempt()
    if (next === undefined) return
    dependencies.logger.info('A silent server gets a second attempt beside it.', {
      requestId: call.clientInfo.requestId ?? '', serverIds: silent.map(({ server }) => server.id).join(' '), nextServerId: next.server.id, waitedMs: Math.round(timers.nowMs() - call.arrivedAtMs)
    })
  }

  /** Records the failure of an attempt, and starts another one where that is allowed. */
  function handleFailure (ended: EndedAttempt): void {
    const { kind } = ended.result
    if (kind === PlainResultKind.NotExecuted) {
      notExecutedCount += 1
    } else {
      possibleExecutionCount += 1
      // A server's own failure tells the client more than the deadline of another attempt.
      if (kind !== PlainResultKind.TimedOut || lastFailure === undefined) lastFailure = ended
    }
    if (kind !== PlainResultKind.TimedOut) startAttempt()
  }

  function mayWait (): boolean {
    return permitWaitMs !== undefined && running.size === 0 && possibleExecutionCount === 0 && mayStartAttempt() && mayWaitForPermit(dependencies, call, permitWaitMs)
  }

  startAttempt()
  while (running.size > 0 || mayWait()) {
    if (running.size === 0) {
      await waitForPermit(dependencies, call)
      startAttempt()
      continue
    }
    const ended = await waitForEnd(timers, running, silentAtMs - timers.nowMs())
    if (ended === undefined) {
      handleSilence()
      continue
    }
    const { attempt, result } = ended
    running.delete(attempt)
    if (result.kind === PlainResultKind.ClientDisconnected) {
      recordOutcome(dependencies, call, CallOutcome.ClientDisconnected, { serverId: attempt.server.id })
      return
    }
    if (result.kind === PlainResultKind.Responded && !isServerError(result.head.statusCode)) {
      for (const other of running) other.supersede()
      if (result.rest === undefined) sendServerResponse(dependencies, call, attempt.server, result.head, result.body)
      else forwardLargeResponse(dependencies, call, attempt.server, { ...result, rest: result.rest })
      return
    }
    handleFailure(ended)
  }
  finishWithoutSuccess(dependencies, call, { possibleExecutionCount, lastFailure, triedServerIds, admission, permitWaitMs })
}

/** Waits until a permit may have arrived. */
function waitForPermit ({ admission, timers }: CallDependencies, call: Call): Promise<void> {
  return new Promise(resolve => {
    const end = () => {
      timer.cancel()
      unsubscribe()
      resolve()
    }
    const timer = timers.subscribeOnce(permitCheckIntervalMs, end)
    const unsubscribe = admission.subscribe({ priority: getPriority(call), arrivedAtMs: call.arrivedAtMs, wake: end })
  })
}

/** Waits until one of the attempts has ended; returns undefined if none has within the time. */
function waitForEnd (timers: TimerService, attempts: Iterable<PlainAttempt>, timeoutMs: number): Promise<EndedAttempt | undefined> {
  return new Promise(resolve => {
    const timer = timeoutMs === Infinity ? undefined : timers.subscribeOnce(Math.max(0, timeoutMs), () => resolve(undefined))
    for (const attempt of attempts) {
      void attempt.result.then(result => {
        timer?.cancel()
        resolve({ attempt, result })
      })
    }
  })
}

interface UnsuccessfulEnd {
  readonly possibleExecutionCount: number
  readonly lastFailure: EndedAttempt | undefined
  readonly triedServerIds: ReadonlySet<string>
  /** The last answer to whether the call may go to a server. */
  readonly admission: Admission
  /** Time after which a server with a limit may take the call; undefined when limits were not the reason. */
  readonly permitWaitMs: number | undefined
}

/** Ends the call after the last attempt: forwards a server's error response, or responds with 502, 503 or 504. */
function finishWithoutSuccess (dependencies: CallDependencies, call: Call, { possibleExecutionCount, lastFailure, triedServerIds, admission, permitWaitMs }: UnsuccessfulEnd): void {
  const fields = { serverIds: [...triedServerIds].join(' '), ranCount: possibleExecutionCount }
  const result = lastFailure?.result
  if (lastFailure !== undefined && result?.kind === PlainResultKind.Responded) {
    sendServerResponse(dependencies, call, lastFailure.attempt.server, result.head, result.body)
    return
  }
  if (possibleExecutionCount === 0) {
    const isAdmitted = admission.kind === AdmissionKind.Admitted
    const explanation = isAdmitted ? undefined : describeAdmission(admission)
    if (!isAdmitted) dependencies.metrics.countEvent(MetricEvent.PromptRefused)
    if (permitWaitMs !== undefined) dependencies.metrics.countEvent(MetricEvent.LimitRefused)
    const block = findShortestBlock(dependencies.fleet.getServers(call.serviceName), dependencies.admission.check)
    const reason = explanation ?? (permitWaitMs === undefined ? block && `all servers are blocked: ${block.reason}` : limitReason)
    const waitMs = Math.max(minPlainRetryAfterMs, getMinRetryAfterMs(block), permitWaitMs ?? 0, isAdmitted ? 0 : admission.waitMs)
    const retryAfterMs = Math.round(waitMs + plainRetryAfterSpreadMs * dependencies.random.nextFloat())
    recordOutcome(dependencies, call, CallOutcome.Refused, { ...fields, retryAfterMs, ...(reason === undefined ? {} : { reason }) })
    sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 503, retryAfterMs, explanation)
    return
  }
  const isTimeout = result?.kind === PlainResultKind.TimedOut
  const reason = result !== undefined && 'reason' in result ? result.reason : ''
  recordOutcome(dependencies, call, isTimeout ? CallOutcome.TimedOut : CallOutcome.Broken, { ...fields, reason })
  sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, isTimeout ? 504 : 502)
}

function sendServerResponse (dependencies: CallDependencies, call: Call, server: BackendServer, head: ResponseHead, body: Buffer): void {
  const isFailure = isServerError(head.statusCode)
  recordOutcome(dependencies, call, isFailure ? CallOutcome.ServerFailure : CallOutcome.Served, { serverId: server.id, statusCode: head.statusCode })
  if (call.response.destroyed) return
  const headers = filterResponseHeaders(head.rawHeaders, false)
  headers.push('Content-Length', String(body.length))
  call.response.writeHead(head.statusCode, head.statusMessage, headers as never)
  call.response.end(body)
}

/** Forwards a response as it arrives. One that cannot be completed breaks off, so that it does not look complete. */
function forwardLargeResponse (dependencies: CallDependencies, call: Call, server: BackendServer, { head, body, rest }: { readonly head: ResponseHead, readonly body: Buffer, readonly rest: ResponseRest }): void {
  const { response } = call

  function finish (outcome: CallOutcome, reason = ''): void {
    response.off('close', onClientDisconnect)
    response.off('drain', rest.resume)
    recordOutcome(dependencies, call, outcome, { serverId: server.id, statusCode: head.statusCode, ...(reason === '' ? {} : { reason }) })
  }

  function onClientDisconnect (): void {
    rest.abort('the client disconnected')
    finish(CallOutcome.ClientDisconnected)
  }

  if (response.destroyed) {
    onClientDisconnect()
    return
  }
  response.on('close', onClientDisconnect)
  response.on('drain', rest.resume)
  response.writeHead(head.statusCode, head.statusMessage, filterResponseHeaders(head.rawHeaders, true) as never)
  response.write(body)
  rest.forward({
    onData (chunk) {
      if (!response.write(chunk)) rest.pause()
    },
    onEnd () {
      finish(CallOutcome.Served)
      response.end()
    },
    onFailure (reason) {
      finish(CallOutcome.Broken, reason)
      breakOffResponse(response)
    }
  })
}

/** Shortest time after which a client should retry that was refused for the block. */
function getMinRetryAfterMs (block: BlockedServer | undefined): number {
  if (block === undefined) return 0
  // Nobody knows when operators end an evacuation. A server elsewhere may have room sooner.
  return block.waitMs === Infinity ? minRetryAfterMs : block.waitMs
}

/** Chooses among the servers that have not been tried, by what this gateway knows of them. */
function chooseNextServer (dependencies: CallDependencies, call: Call, triedServerIds: ReadonlySet<string>): ServerChoice {
  return chooseServer({
    servers: dependencies.fleet.getServers(call.serviceName),
    triedServerIds,
    zone: dependencies.zone,
    maxInFlightCount: dependencies.getConnectionLimit(call.serviceName),
    check: dependencies.admission.check
  }, dependencies.scores, dependencies.random)
}
