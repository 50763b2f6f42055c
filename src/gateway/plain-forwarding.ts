import { ServerState, type BackendServer } from '../state/backend-server.js'
import { RouteKind } from '../state/serving-config.js'
import { ExchangeFailureKind, type ResponseHead, type ExchangeFailure } from '../transport/backend-connection-pool.js'
import { filterAnswerHeaders } from './answer-headers.js'
import { answerOwn, buildServerRequest, CallOutcome, getRemainingMs, promisesNotRun, recordOutcome, type Call, type CallServices } from './call-context.js'

enum AttemptKind {
  Answered = 'answered',
  /** Proven not to have run. */
  NotRun = 'notRun',
  /** Without a usable answer; it may have run. */
  Lost = 'lost',
  TimedOut = 'timedOut',
  Left = 'left'
}

type Attempt =
  | { readonly kind: AttemptKind.Answered, readonly head: ResponseHead, readonly body: Buffer }
  | { readonly kind: AttemptKind.NotRun | AttemptKind.Lost | AttemptKind.TimedOut | AttemptKind.Left, readonly reason: string }

/** An answer above this size is not kept in memory and counts as lost. */
const maxAnswerBytes = 8 * 1024 * 1024
/** Attempts that ended before any server ran the request. */
const maxNotRunCount = 3
/** A repeatable request that has waited this many objectives is tried at another server. */
const retryAfterObjectives = 1.5
const minFirstAttemptMs = 200
/** Extra cost of a server in another zone, in milliseconds of latency. */
const crossZoneCostMs = 25
const serverErrorStatus = 500
/** Pause before a refused request can find room: a few service times. */
const minRetryAfterMs = 150
const retryAfterSpreadMs = 350

/** Forwards a request to one server of a plain service and answers with what that server said. */
export async function forwardPlain (services: CallServices, call: Call): Promise<void> {
  const triedIds = new Set<string>()
  const share = services.getRetryShare(call.serviceName)
  const isRepeatable = call.route.kind === RouteKind.Safe
  let ranCount = 0
  let notRunCount = 0
  let lastFailure: Attempt | undefined
  share.recordRequest()

  while (getRemainingMs(services, call) > 0) {
    const isFirst = ranCount + notRunCount === 0
    const server = chooseServer(services, call, triedIds)
    if (server === undefined || (!isFirst && !share.trySpend())) break
    triedIds.add(server.id)
    const mayRepeat = isRepeatable && ranCount + 1 < call.route.maxAttempts
    const attempt = await tryServer(services, call, server, mayRepeat)
    if (attempt.kind === AttemptKind.Left) {
      recordOutcome(services, call, CallOutcome.ClientDisconnected, { serverId: server.id })
      return
    }
    if (attempt.kind === AttemptKind.NotRun) {
      notRunCount += 1
      if (notRunCount >= maxNotRunCount) break
      continue
    }
    ranCount += 1
    const isServerError = attempt.kind === AttemptKind.Answered && attempt.head.statusCode >= serverErrorStatus
    if (attempt.kind === AttemptKind.Answered && !(isServerError && mayRepeat)) {
      deliver(services, call, server, attempt.head, attempt.body)
      return
    }
    lastFailure = attempt
    if (!mayRepeat) break
  }
  fail(services, call, ranCount, lastFailure, triedIds)
}

function fail (services: CallServices, call: Call, ranCount: number, lastFailure: Attempt | undefined, triedIds: ReadonlySet<string>): void {
  const fields = { serverIds: [...triedIds].join(' '), ranCount }
  if (lastFailure?.kind === AttemptKind.Answered) {
    deliver(services, call, undefined, lastFailure.head, lastFailure.body)
    return
  }
  if (ranCount === 0) {
    const retryAfterMs = Math.round(minRetryAfterMs + retryAfterSpreadMs * services.random.nextFloat())
    recordOutcome(services, call, CallOutcome.Refused, { ...fields, retryAfterMs })
    answerOwn(services, call.response, call.facts.requestId, 503, retryAfterMs)
    return
  }
  const isTimeout = lastFailure?.kind === AttemptKind.TimedOut
  const reason = lastFailure !== undefined && 'reason' in lastFailure ? lastFailure.reason : ''
  recordOutcome(services, call, isTimeout ? CallOutcome.TimedOut : CallOutcome.Broken, { ...fields, reason })
  answerOwn(services, call.response, call.facts.requestId, isTimeout ? 504 : 502)
}

function deliver (services: CallServices, call: Call, server: BackendServer | undefined, head: ResponseHead, body: Buffer): void {
  const isFailure = head.statusCode >= serverErrorStatus
  recordOutcome(services, call, isFailure ? CallOutcome.ServerFailure : CallOutcome.Served, { serverId: server?.id ?? '', statusCode: head.statusCode })
  if (call.response.destroyed) return
  const headers = filterAnswerHeaders(head.rawHeaders, false)
  headers.push('Content-Length', String(body.length))
  call.response.writeHead(head.statusCode, head.statusMessage, headers as never)
  call.response.end(body)
}

function chooseServer (services: CallServices, call: Call, triedIds: ReadonlySet<string>): BackendServer | undefined {
  let best: BackendServer | undefined
  let bestCost = Infinity
  const maxInFlightCount = services.getConnectionLimit(call.serviceName)
  for (const server of services.fleet.getServers(call.serviceName)) {
    if (server.state !== ServerState.Ready || triedIds.has(server.id)) continue
    if (services.scores.countInFlight(server.id) >= maxInFlightCount) continue
    const cost = services.scores.getCost(server.id) + (server.zone === services.zone ? 0 : crossZoneCostMs) + services.random.nextFloat()
    if (cost >= bestCost) continue
    best = server
    bestCost = cost
  }
  return best
}

function tryServer (services: CallServices, call: Call, server: BackendServer, mayRepeat: boolean): Promise<Attempt> {
  return new Promise(resolve => {
    const { timers } = services
    const sentAtMs = timers.nowMs()
    const chunks: Buffer[] = []
    let size = 0
    let head: ResponseHead | undefined
    let isSettled = false

    function settle (attempt: Attempt): void {
      if (isSettled) return
      isSettled = true
      timeout.cancel()
      call.response.off('close', onClientDisconnect)
      const isFailure = attempt.kind !== AttemptKind.Answered || attempt.head.statusCode >= serverErrorStatus
      if (attempt.kind === AttemptKind.Left) services.scores.endRequest(server.id, undefined, false)
      else services.scores.endRequest(server.id, attempt.kind === AttemptKind.NotRun ? undefined : timers.nowMs() - sentAtMs, isFailure)
      resolve(attempt)
    }

    function drop (attempt: Attempt): void {
      exchange.abort()
      settle(attempt)
    }

    function onClientDisconnect (): void {
      // Work that cannot be repeated is left to finish at the server.
      if (call.route.kind === RouteKind.Safe) drop({ kind: AttemptKind.Left, reason: 'the caller left' })
    }

    const remainingMs = getRemainingMs(services, call)
    const firstAttemptMs = Math.max(minFirstAttemptMs, call.route.objectiveMs * retryAfterObjectives)
    const timeoutMs = mayRepeat ? Math.min(remainingMs, firstAttemptMs) : remainingMs
    const timeout = timers.subscribeOnce(timeoutMs, () => drop({ kind: AttemptKind.TimedOut, reason: `no answer within ${Math.round(timeoutMs)} ms` }))
    call.response.on('close', onClientDisconnect)
    services.scores.beginRequest(server.id)
    const isDedicated = call.route.kind !== RouteKind.Safe
    const exchange = services.connections.open(buildServerRequest(services, call, server, { isDedicated, lastEventId: call.facts.lastEventId }), {
      onHead (received) {
        head = received
      },
      onData (chunk) {
        size += chunk.length
        chunks.push(chunk)
        if (size > maxAnswerBytes) drop({ kind: AttemptKind.Lost, reason: `the answer is larger than ${maxAnswerBytes} bytes` })
      },
      onEnd () {
        settle(head === undefined ? { kind: AttemptKind.Lost, reason: 'no answer' } : judgeAnswer(services, call, head, Buffer.concat(chunks)))
      },
      onFailure (failure: ExchangeFailure) {
        const kind = failure.kind === ExchangeFailureKind.NotSent ? AttemptKind.NotRun : AttemptKind.Lost
        settle({ kind, reason: failure.reason })
      }
    })
  })
}

/** Tells an answer of the server to this request from bytes that are no such answer. */
function judgeAnswer (services: CallServices, call: Call, head: ResponseHead, body: Buffer): Attempt {
  const answer = services.codec.readServerResponse(head.statusCode, head.headers)
  if (answer.isNotRun) return { kind: AttemptKind.NotRun, reason: `the server refused with ${head.statusCode}` }
  if (answer.requestId !== call.facts.requestId) return { kind: AttemptKind.Lost, reason: 'the answer belongs to another request' }
  if (answer.isEncoded) return { kind: AttemptKind.Lost, reason: 'the answer has an encoding that was not asked for' }
  const isSuccess = head.statusCode >= 200 && head.statusCode < 300
  if (isSuccess && !answer.isStamped) return { kind: AttemptKind.Lost, reason: 'the answer has no stamp' }
  if (promisesNotRun(head.statusCode)) return { kind: AttemptKind.Lost, reason: `the server answered ${head.statusCode} and does not say whether it ran the request` }
  return { kind: AttemptKind.Answered, head, body }
}
