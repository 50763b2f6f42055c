/** Forwards streams of server-sent events, and resumes them at another replica after a failure. */
import { AttemptScope, getAttemptScope } from '../coordination/dispatch/attempt-limits.js'
import { createAttemptRecord } from '../coordination/dispatch/attempt-record.js'
import { chooseReplica, ReplicaChoiceKind, type ReplicaChoice } from '../coordination/dispatch/replica-choice.js'
import { chooseRetryAfterMs } from '../coordination/dispatch/retry-after.js'
import { judgeSilence, type SilenceVerdict } from '../coordination/dispatch/stream-silence.js'
import { getWaitEndMs } from '../coordination/dispatch/stream-wait.js'
import { describeAdmission } from '../coordination/quarantine/describe-admission.js'
import { formatParts } from '../coordination/quarantine/part-list.js'
import { AdmissionKind } from '../coordination/quarantine/prompt-quarantine.js'
import type { LogFields } from '../observability/log.js'
import { MetricEvent } from '../observability/metrics.js'
import type { FramedSseEvent } from '../protocol/sse-framer.js'
import type { BackendServer } from '../state/backend-server.js'
import { listReplicas, type Replica } from '../state/replica.js'
import type { EngineProfile } from '../state/serving-config.js'
import type { ResponseHead } from '../transport/backend-connection-pool.js'
import { breakOffResponse } from './break-off-response.js'
import { filterResponseHeaders } from './response-headers.js'
import type { ReplicatedService } from './fleet-view.js'
import {
  CallOutcome, getPriority, getRemainingMs, mayWaitForPermit, promisesNotExecuted, recordOutcome, requestPermits, sendGatewayResponse, type Call, type CallDependencies
} from './call-context.js'
import { createCallOrder } from './call-order.js'
import { createStreamClock } from './call-timing.js'
import { describeRefusal, findRefusalEvent } from './describe-refusal.js'
import { AttemptFailureKind, startStreamAttempt, type AttemptFailure, type StreamAttempt } from './stream-attempt.js'

/** The replica for one more attempt, or why there is none. */
type NextAttempt = AllowedAttempt | NoAttempt

interface AllowedAttempt {
  readonly isAllowed: true
  readonly replica: Replica
  readonly leader: BackendServer
  readonly isHealthy: boolean
  /** Streams that the replica had at the choice. */
  readonly streamCount: number
}

interface NoAttempt {
  readonly isAllowed: false
  /** Later checks won't find a replica either. */
  readonly isFinal: boolean
  readonly reason: string
  /** No replica is expected to take the call within this time. */
  readonly unavailableMs: number
  /** What the client is told when the call is refused. */
  readonly explanation?: string
  /** A permit of a server that states a limit may let the call go on. */
  readonly waitsForPermit?: boolean
  /** The event that a refusal counts as. */
  readonly refusalEvent?: MetricEvent | undefined
  /** Time after which room is expected. */
  readonly roomAfterMs?: number | undefined
}

/** Interval of the checks of all streams. */
export const streamCheckIntervalMs = 50
/** A silent attempt, its replacement and one more when that is silent too: each server reads the whole prompt. */
const maxConcurrentAttemptCount = 3
/** Streams in progress get permits before new ones, whatever their priority. */
const inProgressPriority = -1

/** Why the attempts of a stream that ends in this way are ended with it. */
function describeAbort (outcome: CallOutcome): string {
  switch (outcome) {
    case CallOutcome.ClientDisconnected: return 'the client disconnected'
    case CallOutcome.TimedOut: return 'the deadline has passed'
    default: return 'the stream has ended'
  }
}

/**
 * Forwards a stream event by event. When its replica fails, it is resumed at another one after the last event. A silent
 * replica may go on: its attempt stays beside the replacement until one of them delivers the next event.
 */
export function forwardStream (dependencies: CallDependencies, call: Call): void {
  const { timers, loads } = dependencies
  const retryBudget = dependencies.getRetryBudget(call.serviceName)
  const record = createAttemptRecord()
  const mayRepeat = call.route.isResumable
  const attempts = new Set<StreamAttempt>()
  let lastEventId = call.clientInfo.lastEventId
  let eventCount = 0
  const clock = createStreamClock(dependencies, call)
  const order = createCallOrder(dependencies, call, { priority: getPriority(call), objectiveMs: call.route.objectiveMs, teamName: call.team?.name })
  let clientReadAtMs = 0
  let isClientReading = true
  /** When the last attempt in progress failed or was refused, since the last event. */
  let lostAtMs: number | undefined
  let isFinished = false
  let mayBeComplete = false
  let wasRetryRefused = false
  let lastFailure: AttemptFailure | undefined
  let stopWaiting: (() => void) | undefined
  let lastEngine: EngineProfile | undefined
  retryBudget.recordRequest()

  function finish (outcome: CallOutcome, reason = ''): void {
    if (isFinished) return
    isFinished = true
    checkTimer.cancel()
    endWait()
    call.response.off('close', onClientDisconnect)
    call.response.off('drain', resumeAttempts)
    abortAttempts(describeAbort(outcome))
    const firstEventMs = clock.getFirstEventMs()
    if (outcome === CallOutcome.Served) dependencies.demand.recordStream(call.serviceName, call.clientInfo.model, eventCount)
    recordOutcome(dependencies, call, outcome, {
      model: call.clientInfo.model ?? '',
      groups: record.listReplicaIds().join(' '),
      eventCount,
      firstEventMs: firstEventMs === undefined ? 'none' : Math.round(firstEventMs),
      longestPauseMs: Math.round(clock.getLongestPauseMs()),
      reason
    })
  }

  function abortAttempts (reason: string, kept?: StreamAttempt): void {
    for (const attempt of attempts) {
      if (attempt === kept) continue
      attempt.abort(reason)
      attempts.delete(attempt)
      record.replace(attempt.replica.id)
    }
  }

  function onClientDisconnect (): void {
    finish(CallOutcome.ClientDisconnected)
  }

  /** Chooses among the replicas that have not run the stream, else among those that were replaced while they were silent. */
  function chooseNextReplica (scope: AttemptScope): ReplicaChoice {
    const service = findService()
    if (service === undefined) return { kind: ReplicaChoiceKind.Absent }
    const input = {
      model: call.clientInfo.model ?? '',
      slotCount: service.engine.slotCount,
      zone: dependencies.zone,
      gatewayCount: dependencies.countGateways(),
      maxLocalStreamCount: dependencies.getConnectionLimit(call.serviceName),
      // A stream that may have run can't be refused, so that it may queue whatever its objective.
      ...(dependencies.hasRelays() && record.listExecutions().length === 0 ? order.getLimits(service.engine) : {}),
      check: dependencies.admission.check,
      getStreamLimit: dependencies.pace?.getStreamLimit,
      getPaceFactor: dependencies.pace?.getPaceFactor
    }
    const excludedIds = record.listExcludedIds(timers.nowMs())
    const choice: ReplicaChoice = scope === AttemptScope.AnyServer
      ? chooseReplica({ ...input, replicas: service.replicas, excludedIds }, loads, dependencies.random)
      : { kind: ReplicaChoiceKind.Absent }
    const returnable = record.filterReturnable(service.replicas, timers.nowMs())
    if (choice.kind === ReplicaChoiceKind.Chosen || returnable.length === 0) return choice
    // Without any other attempt nothing is lost by asking a replica that may still be silent.
    return chooseReplica({ ...input, replicas: returnable, excludedIds: new Set(), mayBeStalled: attempts.size === 0 }, loads, dependencies.random)
  }

  /** Finds the service. One that has left the configuration since the first attempt may still finish the stream. */
  function findService (): Pick<ReplicatedService, 'engine' | 'replicas'> | undefined {
    const listed = dependencies.fleet.listReplicatedServices().find(candidate => candidate.name === call.serviceName)
    if (listed !== undefined) lastEngine = listed.engine
    if (listed !== undefined || lastEngine === undefined) return listed
    return { engine: lastEngine, replicas: listReplicas(dependencies.fleet.getServers(call.serviceName), lastEngine) }
  }

  /** Finds the replica for one more attempt within the limits on attempts and the retry budget, which it does not spend. */
  function findNextAttempt (): NextAttempt {
    if (getRemainingMs(dependencies, call) <= 0) return { isAllowed: false, isFinal: true, reason: 'the deadline', unavailableMs: 0 }
    const admission = dependencies.promptGuard.check(call.clientInfo.sharedPartIds)
    if (admission.kind !== AdmissionKind.Admitted && !(call.isProbe && record.listExecutions().length === 0)) {
      const reason = describeAdmission(admission)
      return { isAllowed: false, isFinal: admission.kind === AdmissionKind.Quarantined, reason, unavailableMs: admission.waitMs, explanation: reason }
    }
    const scope = getAttemptScope({
      executions: record.listExecutions(),
      notExecutedCount: record.countRefusals(),
      servers: dependencies.fleet.getServers(call.serviceName),
      mayRepeat,
      maxAttempts: call.route.maxAttempts
    })
    if (scope === AttemptScope.None || (scope === AttemptScope.KnownServers && !record.mayReturn(findService()?.replicas ?? []))) {
      return { isAllowed: false, isFinal: true, reason: 'the limit on attempts', unavailableMs: 0 }
    }
    const isFirst = record.listReplicaIds().length === 0
    if (!isFirst && !retryBudget.canSpend()) {
      if (!wasRetryRefused) dependencies.metrics.countEvent(MetricEvent.RetryRefused)
      wasRetryRefused = true
      return { isAllowed: false, isFinal: false, reason: 'the retry budget is used up', unavailableMs: 0 }
    }
    const choice = chooseNextReplica(scope)
    if (choice.kind === ReplicaChoiceKind.Limited) {
      const unavailableMs = requestPermits(dependencies, choice.limitedLeaders)
      return { isAllowed: false, isFinal: false, reason: describeRefusal(choice, isFirst), unavailableMs, waitsForPermit: true }
    }
    if (choice.kind !== ReplicaChoiceKind.Chosen) {
      const unavailableMs = choice.kind === ReplicaChoiceKind.Held ? choice.holdMs : 0
      return { isAllowed: false, isFinal: false, reason: describeRefusal(choice, isFirst), unavailableMs, refusalEvent: findRefusalEvent(choice), roomAfterMs: choice.kind === ReplicaChoiceKind.Full ? choice.roomAfterMs : undefined }
    }
    const { replica, isHealthy, streamCount } = choice
    const { leader } = replica
    // Permits that arrive later serve the next calls.
    requestPermits(dependencies, choice.limitedLeaders.slice(0, 1))
    if (choice.limitedLeaders.length > 0) dependencies.metrics.countEvent(MetricEvent.LimitedElsewhere)
    if (leader === undefined) return { isAllowed: false, isFinal: false, reason: 'the replica has no leader', unavailableMs: 0 }
    return { isAllowed: true, replica, leader, isHealthy, streamCount }
  }

  function startAttempt ({ replica, leader, isHealthy, streamCount }: AllowedAttempt): void {
    // The budget allowed it just before.
    if (record.listReplicaIds().length > 0 && retryBudget.trySpend()) dependencies.metrics.countEvent(MetricEvent.RetrySpent)
    dependencies.admission.take(leader)
    endWait()
    record.start(replica.id, leader)
    clock.start(replica, lastEngine, streamCount, isHealthy)
    const attempt = startStreamAttempt(dependencies, call, { replica, leader, getLastEventId: () => lastEventId, mayBeComplete: () => mayBeComplete }, {
      onEvent: (event, head) => forwardEvent(attempt, event, head),
      onEnd () {
        clock.recordEnd()
        call.response.end()
        finish(CallOutcome.Served)
      },
      onFailure: failure => handleFailure(attempt, failure)
    })
    attempts.add(attempt)
  }

  function forwardEvent (attempt: StreamAttempt, event: FramedSseEvent, head: ResponseHead): void {
    abortAttempts('another server delivered', attempt)
    clock.recordEvent()
    if (!call.response.headersSent) writeHead(head)
    const hasWriteCapacity = call.response.write(event.bytes)
    eventCount += 1
    lastEventId = event.id ?? lastEventId
    mayBeComplete = false
    lostAtMs = undefined
    isClientReading = hasWriteCapacity
    if (hasWriteCapacity) return
    clock.recordBackPressure()
    attempt.pause()
  }

  function resumeAttempts (): void {
    isClientReading = true
    clientReadAtMs = timers.nowMs()
    for (const attempt of attempts) attempt.resume()
  }

  function writeHead (head: ResponseHead): void {
    call.response.writeHead(head.statusCode, head.statusMessage, filterResponseHeaders(head.rawHeaders, false) as never)
  }

  function handleFailure (attempt: StreamAttempt, failure: AttemptFailure): void {
    attempts.delete(attempt)
    lastFailure = failure
    mayBeComplete ||= failure.isEndUnconfirmed === true
    if (failure.kind === AttemptFailureKind.NotExecuted) {
      record.refuse(attempt.replica.id, timers.nowMs())
    } else {
      record.lose(attempt.replica.id)
    }
    if (attempts.size === 0) lostAtMs = timers.nowMs()
    // If another attempt of the call goes on and is silent, the next check looks for a replacement.
    const next = attempts.size === 0 ? findNextAttempt() : undefined
    logLine('An attempt failed.', { group: attempt.replica.id, serverId: attempt.leader.id, end: failure.kind, reason: failure.reason, next: describeNext(next), promptParts: formatParts(call.clientInfo.sharedPartIds) })
    if (next !== undefined) resumeOrFinish(failure, next)
  }

  function logLine (message: string, fields: LogFields): void {
    dependencies.logger.info(message, { requestId: call.clientInfo.requestId ?? '', ...fields, lastEventId: lastEventId ?? '' })
  }

  function describeNext (next: NextAttempt | undefined): string {
    if (next === undefined) return 'the other attempt goes on'
    if (next.isAllowed) return 'another attempt'
    return `${mayWait(next) ? 'a wait' : 'none'}: ${next.reason}`
  }

  /** Starts an attempt, since none is left; waits for a replica when none can take the stream now. */
  function resumeOrFinish (failure: AttemptFailure | undefined, next: NextAttempt): void {
    if (next.isAllowed) startAttempt(next)
    else if (mayWait(next)) waitForPermit(next)
    else if (failure === undefined) finishIncomplete(next.reason, next)
    else finishFailed(failure, next)
  }

  function waitForPermit ({ waitsForPermit }: NoAttempt): void {
    if (waitsForPermit === true) stopWaiting ??= dependencies.admission.subscribe({ priority: call.response.headersSent ? inProgressPriority : getPriority(call), arrivedAtMs: call.arrivedAtMs, wake: checkWait })
  }

  function endWait (): void {
    stopWaiting?.()
    stopWaiting = undefined
  }

  /** Looks again for a replica of a stream that waits for one. */
  function checkWait (): void {
    if (isFinished || attempts.size > 0 || (!mayRepeat && record.listExecutions().length > 0)) return
    const failure = lastFailure
    const next = findNextAttempt()
    if (next.isAllowed && failure !== undefined) logLine('A stream goes on after a wait for a replica.', { group: next.replica.id, serverId: next.leader.id, waitedMs: Math.round(timers.nowMs() - (lostAtMs ?? clock.getLastEventAtMs())) })
    resumeOrFinish(failure, next)
  }

  function mayWait (next: NoAttempt): boolean {
    if (next.isFinal) return false
    if (next.waitsForPermit === true && record.listExecutions().length === 0) return mayWaitForPermit(dependencies, call, next.unavailableMs)
    if (!mayRepeat) return false
    if (!call.response.headersSent) return mayWaitForFirstEvent()
    // A stream that has lost its server waits for a permit even if it was silent before, as a client that waits may still be served.
    if (next.waitsForPermit === true && mayWaitForPermit(dependencies, call, next.unavailableMs, lostAtMs)) return true
    return timers.nowMs() < getWaitEndMs({
      lostAtMs: lostAtMs ?? clock.getLastEventAtMs(),
      clientWaitsSinceMs: isClientReading ? Math.max(clock.getLastEventAtMs(), clientReadAtMs) : timers.nowMs(),
      objectiveMs: call.route.objectiveMs,
      pauseObjectiveMs: call.route.pauseObjectiveMs
    })
  }

  /** A stream that is known not to have run is refused at once instead, so that its client can turn to another gateway. */
  function mayWaitForFirstEvent (): boolean {
    if (record.listExecutions().length === 0 || lastFailure?.errorResponse !== undefined) return false
    return timers.nowMs() < call.arrivedAtMs + call.route.objectiveMs
  }

  function finishFailed ({ errorResponse, reason: failureReason }: AttemptFailure, next: NoAttempt): void {
    const reason = `${failureReason}; no further attempt: ${next.reason}`
    if (errorResponse === undefined || call.response.headersSent || promisesNotExecuted(errorResponse.head.statusCode)) {
      finishIncomplete(reason, next)
      return
    }
    const { head, body } = errorResponse
    call.response.writeHead(head.statusCode, head.statusMessage, [...filterResponseHeaders(head.rawHeaders, false), 'Content-Length', String(body.length)] as never)
    call.response.end(body)
    finish(CallOutcome.ServerFailure, reason)
  }

  /** Ends the call without a complete stream. */
  function finishIncomplete (reason: string, { unavailableMs, explanation, waitsForPermit, refusalEvent, roomAfterMs }: Omit<NoAttempt, 'isAllowed' | 'isFinal'>): void {
    if (call.response.headersSent) {
      finish(CallOutcome.Broken, reason)
      breakOffResponse(call.response)
      return
    }
    if (record.listExecutions().length === 0) {
      finish(CallOutcome.Refused, reason)
      if (waitsForPermit === true) dependencies.metrics.countEvent(MetricEvent.LimitRefused)
      if (refusalEvent !== undefined) dependencies.metrics.countEvent(refusalEvent)
      if (explanation !== undefined) dependencies.metrics.countEvent(MetricEvent.PromptRefused)
      sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 503, chooseRetryAfterMs(dependencies.random, unavailableMs, roomAfterMs), explanation)
      return
    }
    finish(CallOutcome.Broken, reason)
    sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 502)
  }

  function checkDeadlines (): void {
    if (isFinished) return
    if (timers.nowMs() >= call.deadlineAtMs) {
      const isStarted = call.response.headersSent
      finish(CallOutcome.TimedOut)
      if (isStarted) breakOffResponse(call.response)
      else sendGatewayResponse(dependencies, call.response, call.clientInfo.requestId, 504)
      return
    }
    checkWait()
    if (mayRepeat) checkProgress()
  }

  /** Starts one more attempt when all those in progress are silent. */
  function checkProgress (): void {
    const silences = [...attempts].map(attempt => ({ attempt, ...judgeAttempt(attempt) }))
    for (const { attempt, isStalled } of silences) {
      if (isStalled) dependencies.reportStall(attempt.replica.id)
    }
    const last = silences.at(-1)
    if (last === undefined || !silences.every(({ needsReplacement }) => needsReplacement) || silences.length >= maxConcurrentAttemptCount) return
    const { attempt } = last
    const isUrgent = silences.some(silence => silence.isUrgent)
    const next = findNextAttempt()
    if (!next.isAllowed || (!isUrgent && !next.isHealthy)) return
    logLine('A silent replica gets a replacement.', { group: attempt.replica.id, serverId: attempt.leader.id, replacement: next.replica.id, waitedMs: Math.round(attempt.getWaitedMs()) })
    startAttempt(next)
  }

  function judgeAttempt (attempt: StreamAttempt): SilenceVerdict {
    return judgeSilence({
      waitedMs: attempt.getWaitedMs(),
      hasEvents: attempt.hasEvents(),
      objectiveMs: call.route.objectiveMs,
      pauseObjectiveMs: call.route.pauseObjectiveMs,
      hasRecentEvent: withinMs => loads.hasRecentEvent(attempt.replica.id, withinMs),
      isQuiet: () => loads.isQuiet(attempt.replica.id)
    })
  }

  call.response.on('close', onClientDisconnect)
  call.response.on('drain', resumeAttempts)
  const checkTimer = dependencies.streamTicker.subscribe(checkDeadlines)
  resumeOrFinish(undefined, findNextAttempt())
}
