import { calculateStreamTimes } from '../../coordination/dispatch/engine-timing.js'
import { createModelTimings } from '../../coordination/dispatch/model-timings.js'
import { chooseReplica, ReplicaChoiceKind } from '../../coordination/dispatch/replica-choice.js'
import { createReplicaLoads, totalNodeId, type ReplicaLoads } from '../../coordination/dispatch/replica-loads.js'
import { chooseRetryAfterMs } from '../../coordination/dispatch/retry-after.js'
import { createClassUses } from '../../coordination/scarcity/class-uses.js'
import { createCallOrder, type OrderDependencies } from '../../gateway/call-order.js'
import { createStreamClock, type TimedCall } from '../../gateway/call-timing.js'
import { createRandomSource, type RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { Replica } from '../../state/replica.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { createEventTimerService } from '../event-timer-service.js'
import { createBatchEngine, type BatchEngine } from '../placing/batch-engine.js'
import { createModelReplicas } from '../placing/simulated-replicas.js'
import { zoneCount, type Deployment, type RequestKind, type ScarcityCase } from './scarcity-cases.js'

/** How gateways and engines treat requests that are more than the replicas can serve. */
export enum ScarcityPolicy {
  /** The gateway as it is. */
  Product = 'product',
  /** A replica takes a quarter more streams than slots, whatever the call; engines serve in the order of arrival. */
  FirstComeFirstServed = 'fcfs',
  /** The same with engines that admit urgent requests first. */
  EnginePriority = 'enginePriority'
}

/** What became of the requests of one kind and team. */
export interface KindResult {
  readonly kindName: string
  readonly teamName: string
  readonly requestCount: number
  readonly inTimeCount: number
  readonly lateCount: number
  /** Refused, also by the retry. */
  readonly refusedCount: number
  readonly earnedWorth: number
  readonly possibleWorth: number
}

interface Gateway extends OrderDependencies {
  readonly name: string
  readonly zone: string
  readonly loads: ReplicaLoads
}

interface Outcome {
  readonly kind: RequestKind
  readonly teamName: string
  firstEventMs: number | undefined
  isPaused: boolean
  isComplete: boolean
  isRefused: boolean
}

const warmUpMs = 6000
/** Requests that arrive in this time count. */
const measuredSpanMs = 20_000
/** For the last streams to end. */
const coolDownMs = 8000
const swingPeriodMs = 15_000
/** Mean age of what gateways know of the others' streams is this interval; ages are from 0 to twice the interval. */
const reportIntervalMs = 300
/** Time to the first event that published times leave out; seen on deployment A. */
const overheadMs = 100
/** Teams of each kind, with their parts of its requests. */
const teamParts: ReadonlyArray<readonly [name: string, fraction: number]> = [['big', 0.85], ['small', 0.15]]
/** A client takes a Retry-After of up to this fraction of the time that it has left. */
const retryFraction = 1 / 3
const noMetrics = { recordDuration () {} }

/** Rates per second at which the kinds need all replicas of their models, in proportion to their configured rates. */
function computeRates ({ deployment, demand }: ScarcityCase): Map<string, number> {
  const { engine, kinds, replicasPerZone } = deployment
  const getSlotTimeMs = (kind: RequestKind, model: ReplicatedModel) => {
    const work = { promptTokenCount: kind.promptTokenCount, answerTokenCount: kind.eventCount * engine.stepsPerEvent }
    const times = calculateStreamTimes({ engine: { ...engine, usualWork: work }, model }, work, engine.slotCount - 1)
    return times.firstEventMs + times.writingMs
  }
  const rates = new Map<string, number>()
  for (const model of engine.models) {
    const ofModel = kinds.filter(kind => kind.model === model.name)
    const neededSlots = ofModel.reduce((sum, kind) => sum + kind.requestsPerSecond * getSlotTimeMs(kind, model) / 1000, 0)
    const slots = (replicasPerZone[model.name] ?? 0) * zoneCount * engine.slotCount
    for (const kind of ofModel) rates.set(kind.name, kind.requestsPerSecond * slots / neededSlots * demand)
  }
  return rates
}

/** Simulates a case with one policy in virtual time. */
export async function runScarcity (scarcityCase: ScarcityCase, policy: ScarcityPolicy, seed: number): Promise<KindResult[]> {
  const { deployment } = scarcityCase
  const { engine } = deployment
  const timers = createEventTimerService()
  const random = createRandomSource(seed)
  const replicas = engine.models.flatMap(model => createModelReplicas(engine, model, zoneCount, deployment.replicasPerZone[model.name] ?? 0))
  const engines = new Map(replicas.map(replica => [replica.id, createBatchEngine(timers, engine, replica.model as ReplicatedModel)]))
  const gateways = createGateways(deployment, timers, random)
  const rates = computeRates(scarcityCase)
  const outcomes: Outcome[] = []
  const isProduct = policy === ScarcityPolicy.Product
  const hasEnginePriority = policy !== ScarcityPolicy.FirstComeFirstServed

  function listOpenReplicas (): readonly Replica[] {
    const { lostFraction } = scarcityCase
    if (lostFraction === undefined || timers.nowMs() < warmUpMs + measuredSpanMs / 2) return replicas
    const lostEach = Math.round(1 / lostFraction)
    return replicas.filter((_, index) => index % lostEach !== 0)
  }

  function startRequest (kind: RequestKind): void {
    const teamName = random.nextFloat() < (teamParts[0]?.[1] ?? 1) ? 'big' : 'small'
    const outcome: Outcome = { kind, teamName, firstEventMs: undefined, isPaused: false, isComplete: false, isRefused: false }
    if (timers.nowMs() >= warmUpMs && timers.nowMs() < warmUpMs + measuredSpanMs) outcomes.push(outcome)
    const size = 0.4 + 0.6 * -Math.log(1 - random.nextFloat())
    const promptTokenCount = Math.round(kind.promptTokenCount * size)
    const eventCount = 1 + Math.round((kind.eventCount - 1) * (0.4 + 0.6 * -Math.log(1 - random.nextFloat())))
    attempt(outcome, { promptTokenCount, eventCount }, timers.nowMs(), true)
  }

  function attempt (outcome: Outcome, size: { promptTokenCount: number, eventCount: number }, sentAtMs: number, mayRetry: boolean): void {
    const { kind } = outcome
    const gateway = random.pick(gateways) as Gateway
    const arrivedAtMs = timers.nowMs()
    // The hint is right at the median and off by a factor of up to three.
    const answerTokenHint = Math.round(size.eventCount * engine.stepsPerEvent * 3 ** (2 * random.nextFloat() - 1))
    const call: TimedCall = {
      clientInfo: { model: kind.model, lastEventId: undefined, promptTokenCount: size.promptTokenCount, maxAnswerTokenCount: 3 * kind.eventCount * engine.stepsPerEvent, answerTokenHint },
      route: { objectiveMs: kind.objectiveMs },
      serviceName: 's',
      arrivedAtMs
    }
    const order = createCallOrder(gateway, call, { priority: kind.priority, objectiveMs: kind.objectiveMs, teamName: outcome.teamName })
    const choice = chooseReplica({
      replicas: listOpenReplicas(),
      model: kind.model,
      slotCount: engine.slotCount,
      zone: gateway.zone,
      gatewayCount: gateways.length,
      maxLocalStreamCount: Infinity,
      excludedIds: new Set(),
      check: () => ({ isAllowed: true }),
      ...(isProduct ? order.getLimits(engine) : {})
    }, gateway.loads, random)
    if (choice.kind !== ReplicaChoiceKind.Chosen) {
      refuse(outcome, size, sentAtMs, mayRetry, choice.kind === ReplicaChoiceKind.Full && isProduct ? choice.roomAfterMs : undefined)
      return
    }
    const clock = createStreamClock({ ...gateway, metrics: noMetrics }, call)
    clock.start(choice.replica, engine, choice.streamCount, choice.isHealthy)
    gateway.loads.beginStream(choice.replica.id)
    const pathMs = choice.replica.leader?.zone === gateway.zone ? 0 : deployment.zoneDelayMs
    let lastAtMs: number | undefined
    const request = {
      promptTokenCount: size.promptTokenCount,
      eventCount: size.eventCount,
      priority: hasEnginePriority ? kind.priority : 0,
      onEvent () {
        const isLast = request.eventCount <= 0
        timers.subscribeOnce(pathMs, () => {
          const nowMs = timers.nowMs()
          clock.recordEvent()
          outcome.firstEventMs ??= nowMs - sentAtMs + 2 * deployment.clientDelayMs
          if (lastAtMs !== undefined && nowMs - lastAtMs > kind.pauseObjectiveMs) outcome.isPaused = true
          lastAtMs = nowMs
          gateway.loads.recordEvent(choice.replica.id)
          if (!isLast) return
          clock.recordEnd()
          outcome.isComplete = true
          gateway.loads.endStream(choice.replica.id)
        })
      }
    }
    timers.subscribeOnce(pathMs + overheadMs, () => {
      if ((engines.get(choice.replica.id) as BatchEngine).submit(request)) return
      gateway.loads.endStream(choice.replica.id)
      refuse(outcome, size, sentAtMs, mayRetry)
    })
  }

  function refuse (outcome: Outcome, size: { promptTokenCount: number, eventCount: number }, sentAtMs: number, mayRetry: boolean, roomAfterMs?: number): void {
    const retryAfterMs = chooseRetryAfterMs(random, 0, roomAfterMs)
    const leftMs = sentAtMs + outcome.kind.deadlineMs - timers.nowMs()
    if (!mayRetry || retryAfterMs > leftMs * retryFraction) outcome.isRefused = true
    // Whether a retry is in time counts from its own start.
    else timers.subscribeOnce(retryAfterMs, () => attempt(outcome, size, timers.nowMs(), false))
  }

  function getSwing (kind: RequestKind): number {
    const { swing = 0 } = scarcityCase
    const wave = swing * Math.sin(2 * Math.PI * timers.nowMs() / swingPeriodMs)
    return 1 + (kind.model === engine.models[0]?.name ? wave : -wave)
  }

  function scheduleArrival (kind: RequestKind): void {
    const rate = (rates.get(kind.name) ?? 0) * getSwing(kind)
    timers.subscribeOnce(-Math.log(1 - random.nextFloat()) * 1000 / rate, () => {
      startRequest(kind)
      scheduleArrival(kind)
    })
  }

  deployment.kinds.forEach(scheduleArrival)
  await timers.runUntil(warmUpMs + measuredSpanMs + coolDownMs)
  return deployment.kinds.flatMap(kind => teamParts.map(([teamName]) =>
    summarize(kind, teamName, outcomes.filter(outcome => outcome.kind === kind && outcome.teamName === teamName))))
}

function summarize (kind: RequestKind, teamName: string, outcomes: readonly Outcome[]): KindResult {
  const served = outcomes.filter(({ firstEventMs, isRefused }) => firstEventMs !== undefined && !isRefused)
  const inTimeCount = served.filter(outcome => outcome.isComplete && !outcome.isPaused && (outcome.firstEventMs ?? Infinity) <= kind.objectiveMs).length
  const lateCount = served.length - inTimeCount
  return {
    kindName: kind.name,
    teamName,
    requestCount: outcomes.length,
    inTimeCount,
    lateCount,
    refusedCount: outcomes.filter(({ isRefused }) => isRefused).length,
    earnedWorth: inTimeCount * kind.worth + lateCount * kind.lateWorth,
    possibleWorth: outcomes.length * kind.worth
  }
}

/** Gateways that get the total of the others from a relay, at an age of up to twice the interval. */
function createGateways ({ gatewaysPerZone }: Deployment, timers: TimerService, random: RandomSource): Gateway[] {
  const relay = createReplicaLoads(timers)
  return Array.from({ length: zoneCount * gatewaysPerZone }, (_, index) => {
    const classUses = createClassUses(timers)
    const gateway: Gateway = {
      name: `n${index}`,
      zone: `z${index % zoneCount}`,
      timers,
      countGateways: () => zoneCount * gatewaysPerZone,
      loads: createReplicaLoads(timers, { createUses: classUses.createReport }),
      timings: createModelTimings(),
      classUses,
      random,
    }
    let sequence = 0
    const startAtRandom = (run: () => void) => timers.subscribeOnce(reportIntervalMs * random.nextFloat(), () => timers.subscribeEvery(reportIntervalMs, run))
    startAtRandom(() => relay.applyDependentReport(gateway.loads.createOwnReport(gateway.name)))
    startAtRandom(() => {
      sequence += 1
      gateway.loads.applyReport({ ...relay.createTotalReport(gateway.name), nodeId: totalNodeId, sequence })
    })
    return gateway
  })
}
