import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { RequestPriority } from '../../state/fleet-config.js'
import { RouteChoiceKind, type Router } from '../routing/router.js'
import type { RoutableGroup } from '../routing/routable-group.js'
import type { AdmissionSettings } from './admission-settings.js'
import { AdmissionKind, RefusalReason, RequestOutcome, type Admission, type AdmissionRequest } from './admission-types.js'
import { createDecayingCounter } from '../../shared/decaying-counter.js'
import { createRetryAfter } from './retry-after.js'
import type { RetryBudget } from './retry-budget.js'
import { createServiceEstimator } from './service-estimator.js'
import { createTeamQueue, type QueuedRequest } from './team-queue.js'

/** Requests of one partner for one deployment on this node: in flight, waiting and lately refused. */
export interface AdmissionLane {
  request (request: AdmissionRequest): Promise<Admission>
  /** Starts waiting requests for which there is room now. */
  dispatch (): void
  /** Refuses the waiting requests. */
  close (): void
  getWaitingCount (): number
  /** Streams that the partner would have in flight beyond the present ones if there were room. */
  getUnmetDemand (): number
}

export interface AdmissionLaneDependencies {
  readonly timers: TimerService
  readonly random: RandomSource
  readonly settings: AdmissionSettings
  readonly router: Router
  readonly retryBudget: RetryBudget
  readonly deployment: string
  readonly partner: string
  getTeamWeight (team: string): number
  /** Called for each request that begins to wait. */
  onWait? (): void
}

interface WaitingRequest extends QueuedRequest {
  readonly request: AdmissionRequest
  readonly enqueuedAtMs: number
  readonly priority: RequestPriority
  /** Answers the caller and ends the wait. */
  settle (admission: Admission): void
}

/** Creates a lane without requests. */
export function createAdmissionLane (dependencies: AdmissionLaneDependencies): AdmissionLane {
  const { timers, random, settings, router, retryBudget, deployment, partner } = dependencies
  const inFlightByTeam = new Map<string, number>()
  const estimator = createServiceEstimator(settings.initialServiceMs)
  const retryAfter = createRetryAfter(timers, random, settings.retryAfter)
  const queue = createTeamQueue<WaitingRequest>(team => ({
    weight: dependencies.getTeamWeight(team),
    inFlightCount: inFlightByTeam.get(team) ?? 0
  }))
  const refusals = createDecayingCounter(timers, settings.demandWindowMs)
  let isDispatching = false

  function getMeanSlotMs (): number {
    return estimator.getOverallMeanMs() / Math.max(1, router.countCredits(deployment, partner))
  }

  function refuse (reason: RefusalReason): Admission {
    if (reason === RefusalReason.Cancelled) {
      return { kind: AdmissionKind.Refused, reason, retryAfterMs: settings.retryAfter.minRetryAfterMs }
    }
    refusals.increment()
    const meanSlotMs = getMeanSlotMs()
    return { kind: AdmissionKind.Refused, reason, retryAfterMs: retryAfter.refuse(queue.size * meanSlotMs, meanSlotMs) }
  }

  function changeInFlight (team: string, change: 1 | -1): void {
    const count = (inFlightByTeam.get(team) ?? 0) + change
    if (count > 0) inFlightByTeam.set(team, count)
    else inFlightByTeam.delete(team)
  }

  function admit (request: AdmissionRequest, group: RoutableGroup, waitedMs: number): Admission {
    const startedAtMs = timers.nowMs()
    const ticket = router.begin(group.groupId, partner)
    changeInFlight(request.team, 1)
    let isReleased = false
    return {
      kind: AdmissionKind.Admitted,
      group,
      waitedMs,
      release (outcome) {
        if (isReleased) return
        isReleased = true
        ticket.end()
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

  /** Longest time that the request may wait and still be answered by its deadline. */
  function getLongestWaitMs (request: AdmissionRequest): number {
    const spareMs = request.deadlineMs - estimator.getMeanMs(request.priority)
    return Math.min(settings.maxWaitMs[request.priority], spareMs)
  }

  /** Whichever comes first: an end of a stream on the node's own credits, or more credits by the owners' next answers. */
  function estimateWaitMs (request: AdmissionRequest): number {
    const aheadCount = queue.countAhead(request.team, request.priority)
    // The owners lend unused slots with their next answers, long before a stream of this node ends.
    if (aheadCount < router.countFreeSlots(deployment)) return settings.firstCreditDelayMs
    const byGrantMs = (aheadCount + 1) * settings.firstCreditDelayMs
    if (router.countCredits(deployment, partner) === 0) return byGrantMs
    return Math.min(byGrantMs, (aheadCount + 1) * getMeanSlotMs())
  }

  function requestSecondTry (request: AdmissionRequest, excludedGroupIds: readonly string[]): Admission {
    const choice = router.choose({ ...request, excludedGroupIds })
    if (choice.kind === RouteChoiceKind.NoGroup) return refuse(RefusalReason.NoGroup)
    if (choice.kind === RouteChoiceKind.NoCredit) return refuse(RefusalReason.Overloaded)
    if (!retryBudget.trySpend()) return refuse(RefusalReason.RetryBudgetExhausted)
    return admit(request, choice.group, 0)
  }

  function requestNow (request: AdmissionRequest): Admission | undefined {
    const choice = router.choose(request)
    if (choice.kind === RouteChoiceKind.NoGroup) return refuse(RefusalReason.NoGroup)
    if (choice.kind === RouteChoiceKind.NoCredit) return undefined
    return queue.size === 0 ? admit(request, choice.group, 0) : undefined
  }

  /** Returns the refusal of a request that must not wait; makes room in a full queue. */
  function refuseWait (request: AdmissionRequest): Admission | undefined {
    const longestWaitMs = getLongestWaitMs(request)
    if (longestWaitMs <= 0) return refuse(RefusalReason.DeadlineUnreachable)
    if (estimateWaitMs(request) > longestWaitMs) return refuse(RefusalReason.Overloaded)
    if (queue.size < settings.maxWaitingCount) return undefined
    const displaced = queue.findDisplaceable(request.team, request.priority)
    if (displaced === undefined) return refuse(RefusalReason.Overloaded)
    displaced.settle(refuse(RefusalReason.Overloaded))
    return undefined
  }

  function wait (request: AdmissionRequest): Promise<Admission> {
    return new Promise(resolve => {
      const longestWaitMs = getLongestWaitMs(request)
      const lapseReason = longestWaitMs < settings.maxWaitMs[request.priority] ? RefusalReason.DeadlineUnreachable : RefusalReason.Overloaded
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
      subscriptions.push(timers.subscribeOnce(longestWaitMs, () => waiting.settle(refuse(lapseReason))))
      request.signal?.addEventListener('abort', onAbort, { once: true })
    })
  }

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
    while (startNext()) { /* Each turn starts one request. */ }
    isDispatching = false
  }

  return {
    async request (request) {
      if (request.signal?.aborted === true) return refuse(RefusalReason.Cancelled)
      if (request.retry !== undefined) return requestSecondTry(request, request.retry.excludedGroupIds)
      dispatch()
      return requestNow(request) ?? refuseWait(request) ?? await wait(request)
    },
    dispatch,
    close () {
      for (const waiting of queue.getAll()) waiting.settle(refuse(RefusalReason.Closed))
    },
    getWaitingCount: () => queue.size,
    getUnmetDemand () {
      const refusedPerMs = refusals.getCount() / settings.demandWindowMs
      return queue.size + Math.round(refusedPerMs * estimator.getOverallMeanMs())
    }
  }
}
