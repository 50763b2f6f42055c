import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { RequestPriority } from '../../state/fleet-config.js'
import { RouteChoiceKind, type Router } from '../routing/router.js'
import type { RoutableGroup } from '../routing/routable-group.js'
import type { AdmissionSettings } from './admission-settings.js'
import { AdmissionKind, RefusalReason, RequestOutcome, type AdmissionResult, type AdmissionRequest } from './admission-types.js'
import { createDecayingCounter } from '../../shared/decaying-counter.js'
import { createRetryAfterEstimator } from './retry-after.js'
import type { RetryBudget } from './retry-budget.js'
import { createServiceTimeEstimator } from './service-time-estimator.js'
import { createTeamQueue, type QueuedRequest } from './team-queue.js'

/** Admission of one partner's requests for one deployment on this node. */
export interface PartnerAdmissionControl {
  request (request: AdmissionRequest): Promise<AdmissionResult>
  /** Starts waiting requests while the router finds a group with free credits for them. */
  dispatch (): void
  /** Refuses the waiting requests. */
  close (): void
  getWaitingCount (): number
  /** Estimated number of further streams that the partner would have in flight if it had the credits. */
  getUnmetDemand (): number
}

export interface PartnerAdmissionDependencies {
  readonly timers: TimerService
  readonly random: RandomSource
  readonly settings: AdmissionSettings
  readonly router: Router
  readonly retryBudget: RetryBudget
  readonly deployment: string
  readonly partner: string
  getTeamWeight (team: string): number
  /** Called for each request that starts to wait, so that the owners can be polled for credits early. */
  onWait? (): void
}

interface WaitingRequest extends QueuedRequest {
  readonly request: AdmissionRequest
  readonly enqueuedAtMs: number
  readonly priority: RequestPriority
  /** Resolves the request and removes it from the queue. */
  settle (admission: AdmissionResult): void
}

/** Creates an admission without requests. */
export function createPartnerAdmissionControl (dependencies: PartnerAdmissionDependencies): PartnerAdmissionControl {
  const { timers, random, settings, router, retryBudget, deployment, partner } = dependencies
  const inFlightByTeam = new Map<string, number>()
  const estimator = createServiceTimeEstimator(settings.initialServiceMs)
  const retryAfter = createRetryAfterEstimator(timers, random, settings.retryAfter)
  const queue = createTeamQueue<WaitingRequest>(team => ({
    weight: dependencies.getTeamWeight(team),
    inFlightCount: inFlightByTeam.get(team) ?? 0
  }))
  const refusals = createDecayingCounter(timers, settings.demandWindowMs)
  let isDispatching = false

  /** Returns the mean time between two starts when all credits are in use. */
  function getMeanStartIntervalMs (): number {
    return estimator.getOverallMeanMs() / Math.max(1, router.countCredits(deployment, partner))
  }

  /** Creates a refusal and, unless it is cancelled, counts it as demand and backlog. */
  function refuse (reason: RefusalReason): AdmissionResult {
    if (reason === RefusalReason.Cancelled) {
      return { kind: AdmissionKind.Refused, reason, retryAfterMs: settings.retryAfter.minRetryAfterMs }
    }
    refusals.increment()
    const meanStartIntervalMs = getMeanStartIntervalMs()
    return { kind: AdmissionKind.Refused, reason, retryAfterMs: retryAfter.recordRefusal(queue.size * meanStartIntervalMs, meanStartIntervalMs) }
  }

  function changeInFlight (team: string, change: 1 | -1): void {
    const count = (inFlightByTeam.get(team) ?? 0) + change
    if (count > 0) inFlightByTeam.set(team, count)
    else inFlightByTeam.delete(team)
  }

  function admit (request: AdmissionRequest, group: RoutableGroup, waitedMs: number): AdmissionResult {
    const startedAtMs = timers.nowMs()
    const stream = router.begin(group.groupId, partner)
    changeInFlight(request.team, 1)
    let isReleased = false
    return {
      kind: AdmissionKind.Admitted,
      group,
      waitedMs,
      release (outcome) {
        if (isReleased) return
        isReleased = true
        stream.end()
        changeInFlight(request.team, -1)
        recordOutcome(request, group, outcome, timers.nowMs() - startedAtMs)
        dispatch()
      }
    }
  }

  function recordOutcome (request: AdmissionRequest, group: RoutableGroup, outcome: RequestOutcome, durationMs: number): void {
    if (outcome === RequestOutcome.EngineFull) router.backOff(group.groupId)
    if (outcome !== RequestOutcome.Succeeded) return
    retryBudget.recordSuccess()
    estimator.record(request.priority, durationMs)
  }

  /**
   * Returns the longest time that the request may wait: the limit of its priority, or less if its deadline is near.
   * Zero or less if it cannot meet the deadline.
   */
  function getMaxWaitMs (request: AdmissionRequest): number {
    const latestStartMs = request.deadlineMs - estimator.getMeanMs(request.priority)
    return Math.min(settings.maxWaitMs[request.priority], latestStartMs)
  }

  /** Estimates the wait until the owners grant a further credit or a stream on the node's own credits ends, whichever is first. */
  function estimateWaitMs (request: AdmissionRequest): number {
    const aheadCount = queue.countAhead(request.team, request.priority)
    // The owners lend unused slots with their next responses, long before a stream of this node ends.
    if (aheadCount < router.countFreeSlots(deployment)) return settings.firstCreditDelayMs
    // Assumes that the owners grant one credit per `firstCreditDelayMs`.
    const waitForGrantMs = (aheadCount + 1) * settings.firstCreditDelayMs
    if (router.countCredits(deployment, partner) === 0) return waitForGrantMs
    return Math.min(waitForGrantMs, (aheadCount + 1) * getMeanStartIntervalMs())
  }

  function requestRetry (request: AdmissionRequest, excludedGroupIds: readonly string[]): AdmissionResult {
    const choice = router.choose({ ...request, excludedGroupIds })
    if (choice.kind === RouteChoiceKind.NoGroup) return refuse(RefusalReason.NoGroup)
    if (choice.kind === RouteChoiceKind.NoCredit) return refuse(RefusalReason.Overloaded)
    if (!retryBudget.trySpend()) return refuse(RefusalReason.RetryBudgetExhausted)
    return admit(request, choice.group, 0)
  }

  function tryAdmitNow (request: AdmissionRequest): AdmissionResult | undefined {
    const choice = router.choose(request)
    if (choice.kind === RouteChoiceKind.NoGroup) return refuse(RefusalReason.NoGroup)
    if (choice.kind === RouteChoiceKind.NoCredit) return undefined
    return queue.size === 0 ? admit(request, choice.group, 0) : undefined
  }

  /** Returns a refusal if the request must not wait. May displace another request from a full queue. */
  function refuseIfNotQueueable (request: AdmissionRequest): AdmissionResult | undefined {
    const longestWaitMs = getMaxWaitMs(request)
    if (longestWaitMs <= 0) return refuse(RefusalReason.DeadlineUnreachable)
    if (estimateWaitMs(request) > longestWaitMs) return refuse(RefusalReason.Overloaded)
    if (queue.size < settings.maxWaitingCount) return undefined
    const displaced = queue.findDisplaceable(request.team, request.priority)
    if (displaced === undefined) return refuse(RefusalReason.Overloaded)
    displaced.settle(refuse(RefusalReason.Overloaded))
    return undefined
  }

  function enqueue (request: AdmissionRequest): Promise<AdmissionResult> {
    return new Promise(resolve => {
      const longestWaitMs = getMaxWaitMs(request)
      // The nearer limit gives the reason.
      const timeoutReason = longestWaitMs < settings.maxWaitMs[request.priority] ? RefusalReason.DeadlineUnreachable : RefusalReason.Overloaded
      const subscriptions: TimerSubscription[] = []
      const onAbort = () => waiting.settle(refuse(RefusalReason.Cancelled))
      const waiting: WaitingRequest = {
        request,
        team: request.team,
        priority: request.priority,
        enqueuedAtMs: timers.nowMs(),
        settle (admission) {
          queue.remove(waiting)
          subscriptions.forEach(subscription => subscription.cancel())
          request.signal?.removeEventListener('abort', onAbort)
          resolve(admission)
        }
      }
      queue.push(waiting)
      dependencies.onWait?.()
      subscriptions.push(timers.subscribeOnce(longestWaitMs, () => waiting.settle(refuse(timeoutReason))))
      request.signal?.addEventListener('abort', onAbort, { once: true })
    })
  }

  /** Starts or refuses the next waiting request. Returns true if it settled one. */
  function startNext (): boolean {
    const next = queue.peek()
    if (next === undefined) return false
    const choice = router.choose(next.request)
    if (choice.kind === RouteChoiceKind.NoGroup && next.request.excludedGroupIds !== undefined) {
      next.settle(refuse(RefusalReason.NoGroup))
      return true
    }
    if (choice.kind !== RouteChoiceKind.Chosen) return false
    next.settle(admit(next.request, choice.group, timers.nowMs() - next.enqueuedAtMs))
    return true
  }

  function dispatch (): void {
    if (isDispatching) return
    isDispatching = true
    while (startNext()) { /* Each call settles one request. */ }
    isDispatching = false
  }

  return {
    async request (request) {
      if (request.signal?.aborted === true) return refuse(RefusalReason.Cancelled)
      if (request.retry !== undefined) return requestRetry(request, request.retry.excludedGroupIds)
      dispatch()
      return tryAdmitNow(request) ?? refuseIfNotQueueable(request) ?? await enqueue(request)
    },
    dispatch,
    close () {
      for (const waiting of queue.getAll()) waiting.settle(refuse(RefusalReason.Closed))
    },
    getWaitingCount: () => queue.size,
    getUnmetDemand () {
      // Waiting requests, plus the streams that recently refused ones would occupy.
      const refusedPerMs = refusals.getCount() / settings.demandWindowMs
      return queue.size + Math.round(refusedPerMs * estimator.getOverallMeanMs())
    }
  }
}
