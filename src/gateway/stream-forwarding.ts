/** Forwards streams of server-sent events, and resumes them at another replica after a failure. */
import { chooseReplica, ReplicaChoiceKind, type ReplicaChoice } from '../coordination/dispatch/replica-choice.js'
import { chooseRetryAfterMs } from '../coordination/dispatch/retry-after.js'
import { countLiveExecutions, toPossibleExecution, type PossibleExecution } from '../coordination/dispatch/possible-executions.js'
import { DurationMetric } from '../observability/metrics.js'
import { createSseFramer, type SseFramer, type FramedSseEvent } from '../protocol/sse-framer.js'
import type { BackendServer } from '../state/backend-server.js'
import type { Replica } from '../state/replica.js'
import { ExchangeFailureKind, type ResponseHead, type BackendExchange } from '../transport/backend-connection-pool.js'
import { filterResponseHeaders } from './response-headers.js'
import type { ReplicatedService } from './fleet-view.js'
import {
  sendGatewayResponse, buildBackendRequest, CallOutcome, getRemainingMs, maxNotExecutedRetryCount, promisesNotExecuted, readServerHead, recordOutcome, type Call, type CallDependencies
} from './call-context.js'
import type { ServerResponseInfo } from './wire-codec.js'

/** Why an attempt at one replica ended before the end of the stream. The values are logged. */
enum AttemptFailure {
  /** Known not to have been executed. */
  NotExecuted = 'notRun',
  /** The connection broke, the response was unusable, or no events arrived for too long. */
  Lost = 'lost',
  /** The server responded with an error status. */
  ServerFailure = 'serverFailure'
}

interface Attempt {
  readonly replica: Replica
  readonly framer: SseFramer
  exchange: BackendExchange | undefined
  head: ResponseHead | undefined
  /** What the head says. */
  info: ServerResponseInfo | undefined
  hasEvents: boolean
  lastEventAtMs: number
  errorBody: Buffer[]
}

/** Limit on the wait for the first event, in latency objectives: the engine must read the prompt and have a free slot. */
const firstEventObjectiveFactor = 2
/** Limit on a pause between events, in pause objectives; a working replica stays below it. */
const pauseObjectiveFactor = 2
/** Interval of the checks of all streams. */
export const streamCheckIntervalMs = 50
/** A stream without a first event switches from a quiet replica after this time, early enough to still meet its objective. */
const quietStartWaitMs = 120
/**
 * Clients abandon streams without events after two seconds. After this time a stream also switches to a replica that is
 * not healthy, and away from one that still delivers events to other streams.
 */
const urgentWaitMs = 1600
/** Limit on possible executions in total, while the route's `maxAttempts` limits those on servers that are still alive. */
const maxPossibleExecutionCount = 4
const successStatus = 200

function describeRefusal (choice: Exclude<ReplicaChoice, { readonly kind: ReplicaChoiceKind.Chosen }>): string {
  switch (choice.kind) {
    case ReplicaChoiceKind.Full: return `all replicas are full; the least loaded has ${choice.streamCount} streams`
    case ReplicaChoiceKind.Held: return `all replicas want no requests; the first for ${Math.round(choice.holdMs)} ms more`
    case ReplicaChoiceKind.Absent: return 'no replica of the service serves the model'
  }
}

/** Forwards a stream event by event. When its replica fails, it is resumed at another one after the last event. */
export function forwardStream (dependencies: CallDependencies, call: Call): void {
  const { timers, loads } = dependencies
  const retryBudget = dependencies.getRetryBudget(call.serviceName)
  const excludedReplicaIds = new Set<string>()
  const triedReplicaIds: string[] = []
  const mayRepeat = call.route.isResumable
  let attempt: Attempt | undefined
  let lastEventId = call.clientInfo.lastEventId
  let eventCount = 0
  let firstEventMs: number | undefined
  let longestPauseMs = 0
  let previousEventAtMs = 0
  const possibleExecutions: PossibleExecution[] = []
  let notExecutedCount = 0
  let isFinished = false
  retryBudget.recordRequest()

  function finish (outcome: CallOutcome, reason = ''): void {
    if (isFinished) return
    isFinished = true
    checkTimer.cancel()
    call.response.off('close', onClientDisconnect)
    abortAttempt()
    recordOutcome(dependencies, call, outcome, {
      model: call.clientInfo.model ?? '',
      groups: triedReplicaIds.join(' '),
      eventCount,
      firstEventMs: firstEventMs === undefined ? 'none' : Math.round(firstEventMs),
      longestPauseMs: Math.round(longestPauseMs),
      reason
    })
  }

  function abortAttempt (): void {
    if (attempt === undefined) return
    attempt.exchange?.abort()
    loads.endStream(attempt.replica.id)
    if (attempt.hasEvents) loads.endActiveStream(attempt.replica.id)
    attempt = undefined
  }

  function onClientDisconnect (): void {
    finish(CallOutcome.ClientDisconnected)
  }

  function chooseNextReplica (): ReplicaChoice {
    const service = findService()
    if (service === undefined) return { kind: ReplicaChoiceKind.Absent }
    return chooseReplica({
      replicas: service.replicas,
      model: call.clientInfo.model ?? '',
      slotCount: service.engine.slotCount,
      zone: dependencies.zone,
      gatewayCount: dependencies.countGateways(),
      maxLocalStreamCount: dependencies.getConnectionLimit(call.serviceName),
      excludedIds: excludedReplicaIds,
      getHoldMs: dependencies.holds.getRemainingMs
    }, loads, dependencies.random)
  }

  function startAttempt (): void {
    const choice = chooseNextReplica()
    if (choice.kind !== ReplicaChoiceKind.Chosen) {
      finishIncomplete(describeRefusal(choice), choice.kind === ReplicaChoiceKind.Held ? choice.holdMs : 0)
      return
    }
    const { replica } = choice
    const leader = replica.leader
    if (leader === undefined) return
    const nowMs = timers.nowMs()
    const current: Attempt = {
      replica, framer: createSseFramer(), exchange: undefined, head: undefined, info: undefined, hasEvents: false, lastEventAtMs: nowMs, errorBody: []
    }
    attempt = current
    triedReplicaIds.push(replica.id)
    excludedReplicaIds.add(replica.id)
    loads.beginStream(replica.id)
    current.exchange = dependencies.connections.open(buildBackendRequest(dependencies, call, leader, { isDedicated: !mayRepeat, lastEventId }), {
      onHead: head => handleHead(current, leader, head),
      onData: chunk => handleData(current, chunk),
      onEnd: () => handleEnd(current),
      onFailure (failure) {
        endAttempt(current, failure.kind === ExchangeFailureKind.NotSent ? AttemptFailure.NotExecuted : AttemptFailure.Lost, failure.reason)
      }
    })
  }

  function handleHead (current: Attempt, leader: BackendServer, head: ResponseHead): void {
    const response = readServerHead(dependencies, leader, head)
    current.head = head
    current.info = response
    if (head.statusCode !== successStatus) return
    if (response.requestId !== call.clientInfo.requestId || !response.isStamped || response.isEncoded) {
      endAttempt(current, AttemptFailure.Lost, 'the response is not a valid response to this request')
    }
  }

  function handleData (current: Attempt, chunk: Buffer): void {
    if (current !== attempt) return
    if (current.head?.statusCode !== successStatus) {
      current.errorBody.push(chunk)
      return
    }
    for (const event of current.framer.push(chunk)) {
      if (!forwardEvent(current, event)) return
    }
  }

  function forwardEvent (current: Attempt, event: FramedSseEvent): boolean {
    if (event.id !== undefined && lastEventId !== undefined && Number(event.id) <= Number(lastEventId)) {
      endAttempt(current, AttemptFailure.Lost, `event ${event.id} arrived after event ${lastEventId}`)
      return false
    }
    const nowMs = timers.nowMs()
    recordEventTiming(current, nowMs)
    if (!call.response.headersSent) writeHead(current.head as ResponseHead)
    const hasWriteCapacity = call.response.write(event.bytes)
    eventCount += 1
    lastEventId = event.id ?? lastEventId
    if (!hasWriteCapacity) {
      current.exchange?.pause()
      call.response.once('drain', () => current.exchange?.resume())
    }
    return true
  }

  function recordEventTiming (current: Attempt, nowMs: number): void {
    if (!current.hasEvents) {
      current.hasEvents = true
      loads.beginActiveStream(current.replica.id)
    }
    if (firstEventMs === undefined) {
      firstEventMs = nowMs - call.arrivedAtMs
      dependencies.metrics.recordDuration(DurationMetric.FirstToken, firstEventMs)
    } else {
      longestPauseMs = Math.max(longestPauseMs, nowMs - previousEventAtMs)
      dependencies.metrics.recordDuration(DurationMetric.BetweenTokens, nowMs - previousEventAtMs)
    }
    previousEventAtMs = nowMs
    current.lastEventAtMs = nowMs
    loads.recordEvent(current.replica.id)
  }

  function writeHead (head: ResponseHead): void {
    call.response.writeHead(head.statusCode, head.statusMessage, filterResponseHeaders(head.rawHeaders, false) as never)
  }

  function handleEnd (current: Attempt): void {
    if (current !== attempt) return
    if (current.head?.statusCode !== successStatus) {
      handleErrorResponse(current)
      return
    }
    if (current.framer.hasPartialEvent() || !current.hasEvents) {
      endAttempt(current, AttemptFailure.Lost, 'the stream ended with an incomplete event or without any')
      return
    }
    call.response.end()
    finish(CallOutcome.Served)
  }

  function handleErrorResponse (current: Attempt): void {
    const head = current.head as ResponseHead
    if (current.info?.isNotExecuted === true) {
      // The response names a server at fault, so the replica may have lost a member.
      if (current.info.faultyServerId !== undefined) dependencies.reportStall(current.replica.id)
      endAttempt(current, AttemptFailure.NotExecuted, `the server refused the request with status ${head.statusCode}`)
      return
    }
    endAttempt(current, AttemptFailure.ServerFailure, `the server responded with status ${head.statusCode}`)
  }

  function endAttempt (current: Attempt, failure: AttemptFailure, reason: string): void {
    if (current !== attempt || isFinished) return
    abortAttempt()
    if (failure === AttemptFailure.NotExecuted) notExecutedCount += 1
    else if (current.replica.leader !== undefined) possibleExecutions.push(toPossibleExecution(current.replica.leader))
    dependencies.logger.info('An attempt failed.', {
      requestId: call.clientInfo.requestId ?? '', group: current.replica.id, serverId: current.replica.leader?.id ?? '', end: failure, reason, lastEventId: lastEventId ?? ''
    })
    if (canStartAnother(failure, possibleExecutions) && retryBudget.trySpend()) startAttempt()
    else finishFailed(current, failure, reason)
  }

  /** Executions on servers that have since terminated don't count towards the route's `maxAttempts`. */
  function canStartAnother (failure: AttemptFailure, executions: readonly PossibleExecution[]): boolean {
    if (getRemainingMs(dependencies, call) <= 0) return false
    if (failure === AttemptFailure.NotExecuted) return notExecutedCount <= maxNotExecutedRetryCount
    const liveCount = countLiveExecutions(executions, dependencies.fleet.getServers(call.serviceName))
    return mayRepeat && executions.length < maxPossibleExecutionCount && liveCount < call.route.maxAttempts
  }

  /** Whether the attempt may be replaced by one at another replica now. If not, it continues, since it may recover. */
  function canSwitchReplica (current: Attempt, isUrgent: boolean): boolean {
    const { leader } = current.replica
    if (leader === undefined || !canStartAnother(AttemptFailure.Lost, [...possibleExecutions, toPossibleExecution(leader)]) || !retryBudget.canSpend()) return false
    const choice = chooseNextReplica()
    return choice.kind === ReplicaChoiceKind.Chosen && (isUrgent || choice.isHealthy)
  }

  function findService (): ReplicatedService | undefined {
    return dependencies.fleet.listReplicatedServices().find(candidate => candidate.name === call.serviceName)
  }

  function finishFailed (current: Attempt, failure: AttemptFailure, reason: string): void {
    const { head } = current
    const forwardsErrorResponse = failure === AttemptFailure.ServerFailure && head !== undefined && !call.response.headersSent && !promisesNotExecuted(head.statusCode)
    if (!forwardsErrorResponse || head === undefined) {
      finishIncomplete(reason)
      return
    }
    const body = Buffer.concat(current.errorBody)
    call.response.writeHead(head.statusCode, head.statusMessage, [...filterResponseHeaders(head.rawHeaders, false), 'Content-Length', String(body.length)] as never)
    call.response.end(body)
    finish(CallOutcome.ServerFailure, reason)
  }

  /** Ends the call without a complete stream. No replica is expected to take it within `unavailableMs`. */
  function finishIncomplete (reason: string, unavailableMs = 0): void {
    if (call.response.headersSent) {
      finish(CallOutcome.Broken, reason)
      call.response.destroy()
      return
    }
    if (possibleExecutions.length === 0) {
      finish(CallOutcome.Refused, reason)
      sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 503, chooseRetryAfterMs(dependencies.random, unavailableMs))
      return
    }
    finish(CallOutcome.Broken, reason)
    sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 502)
  }

  function checkDeadlines (): void {
    if (isFinished) return
    const nowMs = timers.nowMs()
    if (nowMs >= call.deadlineAtMs) {
      const isStarted = call.response.headersSent
      finish(CallOutcome.TimedOut)
      if (isStarted) call.response.destroy()
      else sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 504)
      return
    }
    if (attempt !== undefined && mayRepeat) checkProgress(attempt, nowMs)
  }

  function checkProgress (current: Attempt, nowMs: number): void {
    const { replica, hasEvents, lastEventAtMs } = current
    const waitedMs = nowMs - lastEventAtMs
    const limitMs = hasEvents ? call.route.pauseObjectiveMs * pauseObjectiveFactor : call.route.objectiveMs * firstEventObjectiveFactor
    const isUrgent = waitedMs >= urgentWaitMs
    // Stalled: no event within the limit, neither here nor on other streams of the replica. A replica that delivers events to
    // other streams is only busy, and another one would have to read the prompt again.
    const isStalled = waitedMs >= limitMs && (isUrgent || !loads.hasRecentEvent(replica.id, limitMs))
    // Quiet at the start: no first event yet, and the replica's other streams get no events either.
    const isQuietAtStart = !hasEvents && waitedMs >= quietStartWaitMs && loads.isQuiet(replica.id)
    if (isStalled) dependencies.reportStall(replica.id)
    if ((isStalled || isQuietAtStart) && canSwitchReplica(current, isUrgent)) endAttempt(current, AttemptFailure.Lost, `no event for ${Math.round(waitedMs)} ms`)
  }

  call.response.on('close', onClientDisconnect)
  const checkTimer = dependencies.streamTicker.subscribe(checkDeadlines)
  startAttempt()
}
