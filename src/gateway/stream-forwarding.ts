import { chooseReplica, ReplicaChoiceKind, type ReplicaChoice } from '../coordination/dispatch/replica-choice.js'
import { chooseRetryAfterMs } from '../coordination/dispatch/retry-after.js'
import { countLiveExecutions, toPossibleExecution, type PossibleExecution } from '../coordination/dispatch/possible-executions.js'
import { DurationMetric } from '../observability/metrics.js'
import { createSseFramer, type SseFramer, type FramedSseEvent } from '../protocol/sse-framer.js'
import type { Replica } from '../state/replica.js'
import { ExchangeFailureKind, type ResponseHead, type BackendExchange } from '../transport/backend-connection-pool.js'
import { filterAnswerHeaders } from './answer-headers.js'
import type { ReplicatedService } from './fleet-view.js'
import { answerOwn, buildServerRequest, CallOutcome, getRemainingMs, promisesNotRun, recordOutcome, type Call, type CallServices } from './call-context.js'

/** How an attempt at one group ended without the end of the stream. */
enum AttemptEnd {
  /** Proven not to have run. */
  NotRun = 'notRun',
  /** Broken off or without events for too long. */
  Lost = 'lost',
  /** The server answered with a failure. */
  ServerFailure = 'serverFailure'
}

interface Attempt {
  readonly replica: Replica
  readonly framer: SseFramer
  exchange: BackendExchange | undefined
  head: ResponseHead | undefined
  hasEvents: boolean
  lastEventAtMs: number
  failureBody: Buffer[]
}

/** The first event needs the prompt to be read and a place in the batch. */
const firstEventLimitObjectives = 2
/** Pauses between events that a working group makes stay below this. */
const pauseLimitObjectives = 2
const sweepMs = 50
/** A stream without an event leaves a group whose other streams stand still, in time for its objective elsewhere. */
const quietWaitMs = 120
/** Callers give up streams without events after two seconds. */
const busyLimitMs = 1600
/** Attempts that no server ran, on top of those that ran. */
const maxNotRunCount = 3
/** Attempts that may have run, whatever has become of their groups. */
const maxRunCount = 4
const successStatus = 200

/** Forwards a stream event by event; when its group fails, the stream goes on at another one. */
export function forwardStream (services: CallServices, call: Call): void {
  const { timers, loads } = services
  const share = services.getRetryShare(call.serviceName)
  const excludedIds = new Set<string>()
  const replicaIds: string[] = []
  const mayRepeat = call.route.isResumable
  let attempt: Attempt | undefined
  let lastEventId = call.facts.lastEventId
  let eventCount = 0
  let firstEventMs: number | undefined
  let longestPauseMs = 0
  let eventAtMs = 0
  const runs: PossibleExecution[] = []
  let notRunCount = 0
  let isFinished = false
  share.recordRequest()

  function finish (outcome: CallOutcome, reason = ''): void {
    if (isFinished) return
    isFinished = true
    sweep.cancel()
    call.response.off('close', onClientDisconnect)
    dropAttempt()
    recordOutcome(services, call, outcome, {
      model: call.facts.model ?? '',
      groups: replicaIds.join(' '),
      eventCount,
      firstEventMs: firstEventMs === undefined ? 'none' : Math.round(firstEventMs),
      longestPauseMs: Math.round(longestPauseMs),
      reason
    })
  }

  function dropAttempt (): void {
    if (attempt === undefined) return
    attempt.exchange?.abort()
    loads.endStream(attempt.replica.id)
    if (attempt.hasEvents) loads.endActiveStream(attempt.replica.id)
    attempt = undefined
  }

  function onClientDisconnect (): void {
    finish(CallOutcome.ClientDisconnected)
  }

  function choose (): ReplicaChoice {
    const service = findService()
    if (service === undefined) return { kind: ReplicaChoiceKind.Absent }
    return chooseReplica({
      replicas: service.replicas,
      model: call.facts.model ?? '',
      slotCount: service.engine.slotCount,
      zone: services.zone,
      gatewayCount: services.countGateways(),
      maxOwnStreamCount: services.getConnectionLimit(call.serviceName),
      excludedIds
    }, loads, services.random)
  }

  function startAttempt (): void {
    const choice = choose()
    if (choice.kind !== ReplicaChoiceKind.Chosen) {
      giveUp(choice.kind === ReplicaChoiceKind.Full ? `all groups are full, the emptiest with ${choice.streamCount} streams` : 'no group serves the model')
      return
    }
    const { replica } = choice
    const leader = replica.leader
    if (leader === undefined) return
    const nowMs = timers.nowMs()
    const current: Attempt = {
      replica, framer: createSseFramer(), exchange: undefined, head: undefined, hasEvents: false, lastEventAtMs: nowMs, failureBody: []
    }
    attempt = current
    replicaIds.push(replica.id)
    excludedIds.add(replica.id)
    loads.beginStream(replica.id)
    current.exchange = services.connections.open(buildServerRequest(services, call, leader, { isDedicated: !mayRepeat, lastEventId }), {
      onHead: head => takeHead(current, head),
      onData: chunk => takeData(current, chunk),
      onEnd: () => takeEnd(current),
      onFailure (failure) {
        endAttempt(current, failure.kind === ExchangeFailureKind.NotSent ? AttemptEnd.NotRun : AttemptEnd.Lost, failure.reason)
      }
    })
  }

  function takeHead (current: Attempt, head: ResponseHead): void {
    current.head = head
    if (head.statusCode !== successStatus) return
    const answer = services.codec.readServerResponse(head.statusCode, head.headers)
    if (answer.requestId !== call.facts.requestId || !answer.isStamped || answer.isEncoded) {
      endAttempt(current, AttemptEnd.Lost, 'the answer is not one to this request')
    }
  }

  function takeData (current: Attempt, chunk: Buffer): void {
    if (current !== attempt) return
    if (current.head?.statusCode !== successStatus) {
      current.failureBody.push(chunk)
      return
    }
    for (const event of current.framer.push(chunk)) {
      if (!deliver(current, event)) return
    }
  }

  function deliver (current: Attempt, event: FramedSseEvent): boolean {
    if (event.id !== undefined && lastEventId !== undefined && Number(event.id) <= Number(lastEventId)) {
      endAttempt(current, AttemptEnd.Lost, `event ${event.id} came after event ${lastEventId}`)
      return false
    }
    const nowMs = timers.nowMs()
    noteEventTime(current, nowMs)
    if (!call.response.headersSent) writeHead(current.head as ResponseHead)
    const isFlowing = call.response.write(event.bytes)
    eventCount += 1
    lastEventId = event.id ?? lastEventId
    if (!isFlowing) {
      current.exchange?.pause()
      call.response.once('drain', () => current.exchange?.resume())
    }
    return true
  }

  function noteEventTime (current: Attempt, nowMs: number): void {
    if (!current.hasEvents) {
      current.hasEvents = true
      loads.beginActiveStream(current.replica.id)
    }
    if (firstEventMs === undefined) {
      firstEventMs = nowMs - call.arrivedAtMs
      services.metrics.recordDuration(DurationMetric.FirstToken, firstEventMs)
    } else {
      longestPauseMs = Math.max(longestPauseMs, nowMs - eventAtMs)
      services.metrics.recordDuration(DurationMetric.BetweenTokens, nowMs - eventAtMs)
    }
    eventAtMs = nowMs
    current.lastEventAtMs = nowMs
    loads.recordEvent(current.replica.id)
  }

  function writeHead (head: ResponseHead): void {
    call.response.writeHead(head.statusCode, head.statusMessage, filterAnswerHeaders(head.rawHeaders, false) as never)
  }

  function takeEnd (current: Attempt): void {
    if (current !== attempt) return
    if (current.head?.statusCode !== successStatus) {
      takeFailureAnswer(current)
      return
    }
    if (current.framer.hasPartialEvent() || !current.hasEvents) {
      endAttempt(current, AttemptEnd.Lost, 'the stream ended within an event')
      return
    }
    call.response.end()
    finish(CallOutcome.Served)
  }

  function takeFailureAnswer (current: Attempt): void {
    const head = current.head as ResponseHead
    const answer = services.codec.readServerResponse(head.statusCode, head.headers)
    if (answer.isNotRun) {
      if (answer.faultyServerId !== undefined) services.reportStall(current.replica.id)
      endAttempt(current, AttemptEnd.NotRun, `the server refused with ${head.statusCode}`)
      return
    }
    endAttempt(current, AttemptEnd.ServerFailure, `the server failed with ${head.statusCode}`)
  }

  function endAttempt (current: Attempt, end: AttemptEnd, reason: string): void {
    if (current !== attempt || isFinished) return
    dropAttempt()
    if (end === AttemptEnd.NotRun) notRunCount += 1
    else if (current.replica.leader !== undefined) runs.push(toPossibleExecution(current.replica.leader))
    services.logger.info('An attempt ended.', {
      requestId: call.facts.requestId ?? '', group: current.replica.id, serverId: current.replica.leader?.id ?? '', end, reason, lastEventId: lastEventId ?? ''
    })
    if (mayStartAnother(end, runs) && share.trySpend()) startAttempt()
    else conclude(current, end, reason)
  }

  /** Runs on servers that have ended meanwhile do not count towards the route's limit. */
  function mayStartAnother (end: AttemptEnd, possibleRuns: readonly PossibleExecution[]): boolean {
    if (getRemainingMs(services, call) <= 0) return false
    if (end === AttemptEnd.NotRun) return notRunCount <= maxNotRunCount
    const standingCount = countLiveExecutions(possibleRuns, services.fleet.getServers(call.serviceName))
    return mayRepeat && possibleRuns.length < maxRunCount && standingCount < call.route.maxAttempts
  }

  /** Whether an attempt that gives no events may be left for another one; else it goes on, since it may recover. */
  function canMove (current: Attempt, isUrgent: boolean): boolean {
    const { leader } = current.replica
    if (leader === undefined || !mayStartAnother(AttemptEnd.Lost, [...runs, toPossibleExecution(leader)]) || !share.canSpend()) return false
    const choice = choose()
    return choice.kind === ReplicaChoiceKind.Chosen && (isUrgent || choice.isHealthy)
  }

  function findService (): ReplicatedService | undefined {
    return services.fleet.listReplicatedServices().find(candidate => candidate.name === call.serviceName)
  }

  function conclude (current: Attempt, end: AttemptEnd, reason: string): void {
    const { head } = current
    const isPassedOn = end === AttemptEnd.ServerFailure && head !== undefined && !call.response.headersSent && !promisesNotRun(head.statusCode)
    if (!isPassedOn || head === undefined) {
      giveUp(reason)
      return
    }
    const body = Buffer.concat(current.failureBody)
    call.response.writeHead(head.statusCode, head.statusMessage, [...filterAnswerHeaders(head.rawHeaders, false), 'Content-Length', String(body.length)] as never)
    call.response.end(body)
    finish(CallOutcome.ServerFailure, reason)
  }

  /** Ends the call without a whole stream. */
  function giveUp (reason: string): void {
    if (call.response.headersSent) {
      finish(CallOutcome.Broken, reason)
      call.response.destroy()
      return
    }
    if (runs.length === 0) {
      finish(CallOutcome.Refused, reason)
      answerOwn(services, call.response, call.facts.requestId, 503, chooseRetryAfterMs(services.random))
      return
    }
    finish(CallOutcome.Broken, reason)
    answerOwn(services, call.response, call.facts.requestId, 502)
  }

  function checkTime (): void {
    if (isFinished) return
    const nowMs = timers.nowMs()
    if (nowMs >= call.endsAtMs) {
      const isStarted = call.response.headersSent
      finish(CallOutcome.TimedOut)
      if (isStarted) call.response.destroy()
      else answerOwn(services, call.response, call.facts.requestId, 504)
      return
    }
    if (attempt !== undefined && mayRepeat) checkProgress(attempt, nowMs)
  }

  function checkProgress (current: Attempt, nowMs: number): void {
    const { replica, hasEvents, lastEventAtMs } = current
    const waitedMs = nowMs - lastEventAtMs
    const limitMs = hasEvents ? call.route.pauseObjectiveMs * pauseLimitObjectives : call.route.objectiveMs * firstEventLimitObjectives
    const isUrgent = waitedMs >= busyLimitMs
    // A group that gives events to other streams is busy; another one would read the prompt again.
    const isStalled = waitedMs >= limitMs && (isUrgent || !loads.hasRecentEvent(replica.id, limitMs))
    const isLateStart = !hasEvents && waitedMs >= quietWaitMs && loads.isQuiet(replica.id)
    if (isStalled) services.reportStall(replica.id)
    if ((isStalled || isLateStart) && canMove(current, isUrgent)) endAttempt(current, AttemptEnd.Lost, `no event for ${Math.round(waitedMs)} ms`)
  }

  call.response.on('close', onClientDisconnect)
  const sweep = timers.subscribeEvery(sweepMs, checkTime)
  startAttempt()
}
