import { AdmissionKind, RequestOutcome, type Admitted } from '../../coordination/admission/admission-types.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { RequestPriority } from '../../state/fleet-config.js'
import { deploymentName, getDelayMs, type BenchNode } from './entry-fleet.js'
import type { EngineStream, FakeEngineGroup } from './fake-engine-group.js'
import { createCounts, type Measures } from './measures.js'
import { partnerNames, ShareMode, type PartnerName, type ServingCase } from './serving-case.js'

/** Fractions of the requests by team; the first teams are large. */
const teamFractions = [0.35, 0.25, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05]
const largeTeamCount = 2
/** Fractions of the clients by entry node; the load balancer distributes them unevenly. */
const nodeFractions = [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05]
const batchFraction = 0.2
const meanTokenCount = { [RequestPriority.Interactive]: 150, [RequestPriority.Batch]: 300 }
const minTokenCount = 20
const batchDeadlineMs = 40_000
const interactiveDeadlineMs = 3000
const interactiveDeadlineMsPerToken = 35
/**
 * Actions that start within this time before the end of the run are not measured. Covers the usual duration of an action;
 * a batch deadline is longer.
 */
const unmeasuredEndMs = 12_000
/** Deadline for the first token of an interactive action. */
const maxFirstTokenMs = 2000
const prefixesPerTeam = 6
const maxTryCount = 4
/** Wait before a retry in `ShareMode.NoAdmission`, where clients get no time to wait. */
const fixedRetryDelayMs = 1000
/** Interval at which the streams in service are sampled. */
export const sampleIntervalMs = 100

/** A request of a client together with its retries. */
interface Action {
  readonly partner: PartnerName
  readonly teamIndex: number
  readonly priority: RequestPriority
  readonly prefixHash: string
  readonly tokenCount: number
  readonly node: BenchNode
  readonly startedAtMs: number
  readonly isMeasured: boolean
  tryCount: number
  isFirstTokenLate: boolean
}

export interface WorkloadOptions {
  readonly servingCase: ServingCase
  readonly timers: TimerService
  readonly random: RandomSource
  readonly nodes: readonly BenchNode[]
  readonly groups: readonly FakeEngineGroup[]
  readonly measures: Measures
}

/** Starts the clients of both partners. */
export function startWorkload (options: WorkloadOptions): void {
  const { servingCase, timers, random, nodes, groups, measures } = options
  const streamCount = createCounts()
  const groupsById = new Map(groups.map(group => [group.groupId, group]))

  function pickByFraction (fractions: readonly number[]): number {
    let remaining = random.nextFloat()
    const index = fractions.findIndex(fraction => (remaining -= fraction) < 0)
    return index === -1 ? fractions.length - 1 : index
  }

  function getRate (partner: PartnerName): number {
    return servingCase.load[partner].findLast(step => step.fromMs <= timers.nowMs())?.requestsPerSecond ?? 0
  }

  function scheduleArrival (partner: PartnerName): void {
    const rate = getRate(partner)
    const gapMs = rate === 0 ? sampleIntervalMs : -Math.log(1 - random.nextFloat()) * 1000 / rate
    timers.subscribeOnce(gapMs, () => {
      if (rate > 0) startAction(partner)
      scheduleArrival(partner)
    })
  }

  function startAction (partner: PartnerName): void {
    const teamIndex = pickByFraction(teamFractions)
    const priority = random.nextFloat() < batchFraction ? RequestPriority.Batch : RequestPriority.Interactive
    const node = nodes.filter(candidate => candidate.partner === partner)[pickByFraction(nodeFractions)]
    if (node === undefined) return
    const action: Action = {
      partner,
      teamIndex,
      priority,
      // Squaring makes prefixes with a low number more frequent.
      prefixHash: `${partner}/${teamIndex}/${Math.floor(prefixesPerTeam * random.nextFloat() ** 2)}`,
      tokenCount: minTokenCount + Math.round(-Math.log(1 - random.nextFloat()) * (meanTokenCount[priority] - minTokenCount)),
      node,
      startedAtMs: timers.nowMs(),
      isMeasured: isMeasured(),
      tryCount: 0,
      isFirstTokenLate: false
    }
    if (action.isMeasured) measures.actionCount[partner] += 1
    if (isOfSmallTeam(action)) measures.smallTeam.actionCount += 1
    void tryAction(action)
  }

  /** Excludes the warm-up and the end of the run, whose responses may not complete in time. */
  function isMeasured (): boolean {
    const nowMs = timers.nowMs()
    return nowMs >= servingCase.warmUpMs && nowMs < servingCase.spanMs - unmeasuredEndMs
  }

  function isOfSmallTeam (action: Action): boolean {
    return action.isMeasured && action.partner === partnerNames[0] && action.teamIndex >= largeTeamCount
  }

  function getRemainingMs (action: Action): number {
    const isBatch = action.priority === RequestPriority.Batch
    const deadlineMs = isBatch ? batchDeadlineMs : interactiveDeadlineMs + interactiveDeadlineMsPerToken * action.tokenCount
    return action.startedAtMs + deadlineMs - timers.nowMs()
  }

  /** Requests admission. A retry after a failure on a group excludes that group and does not count towards `maxTryCount`. */
  async function tryAction (action: Action, excludedGroupIds?: readonly string[]): Promise<void> {
    if (excludedGroupIds === undefined) action.tryCount += 1
    if (action.isMeasured) measures.tryCount += 1
    const admission = await action.node.admission.request({
      partner: action.partner,
      team: `${action.teamIndex}`,
      deployment: deploymentName,
      prefixHash: action.prefixHash,
      priority: action.priority,
      deadlineMs: getRemainingMs(action),
      ...(excludedGroupIds === undefined ? {} : { retry: { excludedGroupIds } })
    })
    if (admission.kind === AdmissionKind.Refused) return retryLater(action, admission.retryAfterMs)
    serve(action, admission)
  }

  function retryLater (action: Action, retryAfterMs: number): void {
    if (action.isMeasured) measures.refusalCount += 1
    const waitMs = servingCase.shareMode === ShareMode.NoAdmission ? fixedRetryDelayMs : retryAfterMs
    if (action.tryCount >= maxTryCount || getRemainingMs(action) <= waitMs) return
    timers.subscribeOnce(waitMs, () => { void tryAction(action) })
  }

  function serve (action: Action, admitted: Admitted): void {
    const group = groupsById.get(admitted.group.groupId)
    if (group === undefined) return
    const delayMs = getDelayMs(action.node.availabilityZone, group.availabilityZone)
    timers.subscribeOnce(delayMs, () => startStream(action, admitted, group, delayMs))
  }

  function startStream (action: Action, admitted: Admitted, group: FakeEngineGroup, delayMs: number): void {
    let startedAtMs: number | undefined

    function end (outcome: RequestOutcome): void {
      deadlineTimer.cancel()
      admitted.release(outcome)
      if (startedAtMs === undefined) return
      streamCount[action.partner] -= 1
      recordEnd(action, outcome, timers.nowMs() - startedAtMs)
    }

    const stream: EngineStream = {
      prefixHash: action.prefixHash,
      tokenCount: action.tokenCount,
      priority: getEnginePriority(action),
      onStart () {
        startedAtMs = timers.nowMs()
        streamCount[action.partner] += 1
      },
      onFirstToken (tokenIntervalMs, isPrefixHit) {
        recordFirstToken(action, timers.nowMs() + delayMs - action.startedAtMs, tokenIntervalMs, isPrefixHit)
      },
      onEnd: () => end(RequestOutcome.Succeeded),
      onLost () {
        end(RequestOutcome.Failed)
        void tryAction(action, [group.groupId])
      }
    }
    const deadlineTimer = timers.subscribeOnce(getRemainingMs(action), () => {
      group.cancel(stream)
      end(RequestOutcome.Cancelled)
    })
    if (group.start(stream)) return
    deadlineTimer.cancel()
    admitted.release(RequestOutcome.EngineFull)
    void tryAction(action, [group.groupId])
  }

  function getEnginePriority (action: Action): number {
    const interactiveBonus = action.priority === RequestPriority.Interactive ? 1 : 0
    if (servingCase.shareMode === ShareMode.NoAdmission) return 0
    if (servingCase.shareMode !== ShareMode.EnginePriority) return interactiveBonus
    const isLarger = action.partner === partnerNames[0] ? servingCase.sharePercent > 50 : servingCase.sharePercent < 50
    return interactiveBonus + (isLarger ? 2 : 0)
  }

  function recordFirstToken (action: Action, firstTokenMs: number, tokenIntervalMs: number, isPrefixHit: boolean): void {
    action.isFirstTokenLate = action.priority === RequestPriority.Interactive && firstTokenMs > maxFirstTokenMs
    if (!action.isMeasured) return
    measures.streamCount += 1
    if (isPrefixHit) measures.prefixHitCount += 1
    if (action.priority === RequestPriority.Interactive) measures.firstTokenMs.recordValue(Math.round(firstTokenMs))
    measures.tokenIntervalUs.recordValue(Math.round(tokenIntervalMs * 1000))
  }

  function recordEnd (action: Action, outcome: RequestOutcome, servedMs: number): void {
    if (!action.isMeasured) return
    measures.slotMs += servedMs
    if (outcome !== RequestOutcome.Succeeded || action.isFirstTokenLate) return
    measures.inTimeCount[action.partner] += 1
    if (isOfSmallTeam(action)) measures.smallTeam.inTimeCount += 1
  }

  for (const partner of partnerNames) scheduleArrival(partner)
  timers.subscribeEvery(sampleIntervalMs, () => {
    measures.samples.push({ atMs: timers.nowMs(), streamCount: { ...streamCount } })
  })
}
