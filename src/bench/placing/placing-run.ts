import { build as buildHistogram } from 'hdr-histogram-js'

import { chooseReplica, ReplicaChoiceKind } from '../../coordination/dispatch/replica-choice.js'
import { createReplicaLoads, type ReplicaLoads } from '../../coordination/dispatch/replica-loads.js'
import { createRandomSource, type RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { Replica } from '../../state/replica.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'
import { createEventTimerService } from '../event-timer-service.js'
import { createBatchEngine, type BatchEngine } from './batch-engine.js'
import { createModelReplicas } from './simulated-replicas.js'

/** Policies for placing, the choice of a replica for a request. */
export enum PlacingPolicy {
  /** The choice of the production gateway. */
  Production = 'product',
  Random = 'random',
  /** The replica with the fewest streams of this gateway; ignores load reports. */
  LeastLocal = 'leastOwn',
  /** Of two random replicas, the one with fewer streams according to the load reports of all gateways. */
  TwoChoices = 'twoChoices',
  /** The replica with the fewest streams according to the load reports of all gateways. */
  LeastReported = 'leastReported'
}

/** A fleet of gateways and replicas of one model, and the load on it. */
export interface PlacingCase {
  readonly name: string
  readonly engine: EngineProfile
  readonly model: ReplicatedModel
  readonly zoneCount: number
  readonly replicasPerZone: number
  readonly gatewaysPerZone: number
  readonly requestsPerSecond: number
  readonly meanPromptTokenCount: number
  readonly meanEventCount: number
  /** Latency objective for the first event. */
  readonly objectiveMs: number
  /** Longest pause between two events that still meets the objective. */
  readonly pauseObjectiveMs: number
  /** Interval between load reports of a gateway. */
  readonly reportIntervalMs: number
  /** Factor on all durations of the first replica in each zone; 1 for a replica as fast as the others. */
  readonly slowdown: number
  /**
   * No replica serves for `forMs` from `fromMs` on. A client that is refused in that time retries once, after
   * `retryAfterMs` plus a jitter of up to `retrySpreadMs`.
   */
  readonly outage?: { readonly fromMs: number, readonly forMs: number, readonly retryAfterMs: number, readonly retrySpreadMs: number }
}

/**
 * Result of a run, without the requests of the warm-up. The request counts also leave out about the last 2 s;
 * `crossZoneCount` and `firstEventP95Ms` do not.
 */
export interface PlacingResult {
  readonly requestCount: number
  /** Requests that met both objectives. */
  readonly inTimeCount: number
  /** Requests that were refused and not served by a retry. */
  readonly refusedCount: number
  /** Streams whose replica is in another zone than the gateway. */
  readonly crossZoneCount: number
  /** 95th percentile of the time to the first event, without the delay between zones. */
  readonly firstEventP95Ms: number
}

const warmUpMs = 5000
const measuredSpanMs = 35_000
/** One-way delay between two zones. */
export const crossZoneDelayMs = 3.5

interface Gateway {
  readonly name: string
  readonly zone: string
  readonly loads: ReplicaLoads
}

interface Outcome {
  /** No event yet, or an objective is missed. */
  isLate: boolean
  isRefused: boolean
}

/** Simulates the load with one policy in virtual time. */
export async function runPlacing (placingCase: PlacingCase, policy: PlacingPolicy, seed: number): Promise<PlacingResult> {
  const { engine, model, requestsPerSecond, objectiveMs, pauseObjectiveMs } = placingCase
  const timers = createEventTimerService()
  const random = createRandomSource(seed)
  const replicas = createModelReplicas(engine, model, placingCase.zoneCount, placingCase.replicasPerZone)
  // createModelReplicas keeps the order of creation, in which the replicas of a zone are consecutive.
  const engines = new Map(replicas.map((replica, index) =>
    [replica.id, createBatchEngine(timers, engine, model, index % placingCase.replicasPerZone === 0 ? placingCase.slowdown : 1)]))
  const gateways = createGateways(placingCase, timers)
  const firstEvents = buildHistogram()
  const outcomes: Outcome[] = []
  let crossZoneCount = 0

  function isInOutage (): boolean {
    const { outage } = placingCase
    return outage !== undefined && timers.nowMs() >= outage.fromMs && timers.nowMs() < outage.fromMs + outage.forMs
  }

  function startRequest (): void {
    const outcome = { isLate: true, isRefused: false }
    const isMeasured = timers.nowMs() >= warmUpMs
    if (isMeasured) outcomes.push(outcome)
    attemptRequest(outcome, isMeasured, placingCase.outage === undefined ? 0 : 1)
  }

  function attemptRequest (outcome: Outcome, isMeasured: boolean, remainingRetryCount: number): void {
    const gateway = random.pick(gateways) as Gateway
    const replica = isInOutage() ? undefined : choose(policy, { gateway, gateways, replicas, model, engine, random })
    if (replica === undefined) {
      const { retryAfterMs = 0, retrySpreadMs = 0 } = placingCase.outage ?? {}
      if (remainingRetryCount === 0) outcome.isRefused = true
      else timers.subscribeOnce(retryAfterMs + retrySpreadMs * random.nextFloat(), () => attemptRequest(outcome, isMeasured, remainingRetryCount - 1))
      return
    }
    const isCrossZone = replica.leader?.zone !== gateway.zone
    if (isMeasured && isCrossZone) crossZoneCount += 1
    const startedAtMs = timers.nowMs()
    let lastEventAtMs: number | undefined
    let longestPauseMs = 0
    gateway.loads.beginStream(replica.id)
    const request = {
      promptTokenCount: 1 + Math.round(placingCase.meanPromptTokenCount * -Math.log(1 - random.nextFloat())),
      eventCount: 1 + Math.round(placingCase.meanEventCount * -Math.log(1 - random.nextFloat())),
      onEvent () {
        const nowMs = timers.nowMs()
        if (lastEventAtMs === undefined) {
          outcome.isLate = nowMs - startedAtMs + (isCrossZone ? 2 * crossZoneDelayMs : 0) > objectiveMs
          if (isMeasured) firstEvents.recordValue(Math.round(nowMs - startedAtMs))
        } else longestPauseMs = Math.max(longestPauseMs, nowMs - lastEventAtMs)
        lastEventAtMs = nowMs
        gateway.loads.recordEvent(replica.id)
        if (longestPauseMs > pauseObjectiveMs) outcome.isLate = true
        if (request.eventCount <= 0) gateway.loads.endStream(replica.id)
      }
    }
    if (!(engines.get(replica.id) as BatchEngine).submit(request)) {
      outcome.isRefused = true
      gateway.loads.endStream(replica.id)
    }
  }

  function scheduleArrival (): void {
    timers.subscribeOnce(-Math.log(1 - random.nextFloat()) * 1000 / requestsPerSecond, () => {
      startRequest()
      scheduleArrival()
    })
  }

  for (const gateway of gateways) scheduleReports(placingCase, timers, random, gateway, gateways)
  scheduleArrival()
  await timers.runUntil(warmUpMs + measuredSpanMs)
  // Leaves out the last requests, about 2 s of arrivals, which may not have completed.
  const completed = outcomes.slice(0, Math.round(outcomes.length * (1 - 2000 / measuredSpanMs)))
  return {
    requestCount: completed.length,
    inTimeCount: completed.filter(outcome => !outcome.isLate && !outcome.isRefused).length,
    refusedCount: completed.filter(outcome => outcome.isRefused).length,
    crossZoneCount,
    firstEventP95Ms: firstEvents.getValueAtPercentile(95)
  }
}

interface ChoiceContext {
  readonly gateway: Gateway
  readonly gateways: readonly Gateway[]
  readonly replicas: readonly Replica[]
  readonly model: ReplicatedModel
  readonly engine: EngineProfile
  readonly random: RandomSource
}

function choose (policy: PlacingPolicy, { gateway, gateways, replicas, model, engine, random }: ChoiceContext): Replica | undefined {
  const pickLeast = (candidates: readonly Replica[], getCount: (replica: Replica) => number) =>
    [...candidates].sort((left, right) => getCount(left) - getCount(right))[0]
  switch (policy) {
    case PlacingPolicy.Random: return random.pick(replicas)
    case PlacingPolicy.LeastLocal: return pickLeast(replicas, replica => gateway.loads.getLocalStreamCount(replica.id) + random.nextFloat())
    case PlacingPolicy.LeastReported: return pickLeast(replicas, replica => gateway.loads.getStreamCount(replica.id) + random.nextFloat())
    case PlacingPolicy.TwoChoices: return pickLeast([random.pick(replicas), random.pick(replicas)] as Replica[], replica => gateway.loads.getStreamCount(replica.id))
    case PlacingPolicy.Production: {
      const choice = chooseReplica({
        replicas, model: model.name, slotCount: engine.slotCount, zone: gateway.zone, excludedIds: new Set(), gatewayCount: gateways.length, maxLocalStreamCount: Infinity, check: () => ({ isAllowed: true })
      }, gateway.loads, random)
      return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica : undefined
    }
  }
}

function createGateways ({ zoneCount, gatewaysPerZone }: PlacingCase, timers: TimerService): Gateway[] {
  return Array.from({ length: zoneCount * gatewaysPerZone }, (_, index) => ({
    name: `n${index}`, zone: `z${index % zoneCount}`, loads: createReplicaLoads(timers)
  }))
}

function scheduleReports ({ reportIntervalMs }: PlacingCase, timers: TimerService, random: RandomSource, gateway: Gateway, gateways: readonly Gateway[]): void {
  const send = () => {
    const report = gateway.loads.createReport(gateway.name)
    timers.subscribeOnce(crossZoneDelayMs, () => {
      for (const peer of gateways) {
        if (peer !== gateway) peer.loads.applyReport(report)
      }
    })
  }
  timers.subscribeOnce(reportIntervalMs * random.nextFloat(), () => timers.subscribeEvery(reportIntervalMs, send))
}
