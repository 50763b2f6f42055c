/** Expected times of a call, and the measurements of streams that they rest on. */
import { calculateStreamTimes, estimateWork, getZoneDelayMs, type StreamTimes, type TimedEngine } from '../coordination/dispatch/engine-timing.js'
import { computeStreamLimit, estimateUnknownStreamCount, type ExpectedTimes } from '../coordination/dispatch/stream-limit.js'
import { DurationMetric, type Metrics } from '../observability/metrics.js'
import type { Replica } from '../state/replica.js'
import type { EngineProfile } from '../state/serving-config.js'
import type { CallDependencies } from './call-context.js'
import type { ClientRequestInfo } from './wire-codec.js'

/** What expected times depend on. */
export type TimingDependencies = Pick<CallDependencies, 'zone' | 'timings' | 'timers' | 'countGateways'>

/** The parts of a call that its expected times depend on. */
export interface TimedCall {
  readonly clientInfo: Pick<ClientRequestInfo, 'model' | 'lastEventId' | 'promptTokenCount' | 'maxAnswerTokenCount' | 'answerTokenHint'>
  readonly route: { readonly objectiveMs: number }
  readonly serviceName: string
  readonly arrivedAtMs: number
}

/** Times of the events of one stream, as its client gets them. */
export interface StreamClock {
  /** Records that an attempt begins. Streams with one attempt are measured. */
  start (replica: Replica, engine: EngineProfile | undefined, otherCount: number, isHealthy: boolean): void
  recordEvent (): void
  /** Records that the client does not read, so that the times are no longer those of the server. */
  recordBackPressure (): void
  /** Records that the stream was delivered to its end. */
  recordEnd (): void
  getFirstEventMs (): number | undefined
  getLongestPauseMs (): number
  /** Time of the last event; 0 before the first. */
  getLastEventAtMs (): number
}

/** Names a model of a service among those of all services. */
export function getModelKey (call: TimedCall, modelName: string): string {
  return `${call.serviceName}/${modelName}`
}

/**
 * Names the calls that share a first-event time. Prompts of the same kind vary in size; the time of the kind is used for all of
 * them, so that the largest are not held back more often than the rest.
 */
function getKindKey (call: TimedCall, modelName: string, objectiveMs: number): string {
  return `${getModelKey(call, modelName)}/${objectiveMs}`
}

/** Whether the configuration and the call tell enough for expected times. */
function hasTimes (engine: EngineProfile, { clientInfo }: TimedCall): boolean {
  return engine.stepMs > 0 && (engine.usualWork !== undefined || clientInfo.promptTokenCount !== undefined)
}

/** Calculates the times of the service's usual work; of the call's where the service states none. */
function calculateUsualTimes (timed: TimedEngine, call: TimedCall, otherCount: number): StreamTimes {
  return calculateStreamTimes(timed, timed.engine.usualWork ?? estimateWork(timed.engine, call.clientInfo), otherCount)
}

interface ModelTimes {
  /** Time for which a stream of the model holds its slot. */
  readonly slotTimeMs: number
  readonly unknownStreamCount: number
}

function estimateModelTimes ({ timings, countGateways }: TimingDependencies, call: TimedCall, timed: TimedEngine): ModelTimes {
  const { slotCount } = timed.engine
  const usual = calculateUsualTimes(timed, call, Math.max(0, slotCount - 1))
  const kindKey = getKindKey(call, timed.model.name, call.route.objectiveMs)
  const slotTimeMs = timings.getFirstEventMs(kindKey, usual.firstEventMs) + (timings.getWritingMs(getModelKey(call, timed.model.name)) ?? usual.writingMs)
  return { slotTimeMs, unknownStreamCount: estimateUnknownStreamCount(slotCount, slotTimeMs, countGateways()) }
}

/** Streams that a replica may have while calls of the model with this objective begin within it. */
export function estimateStreamLimit (dependencies: TimingDependencies, call: TimedCall, timed: TimedEngine, objectiveMs: number, objectiveLeftMs = objectiveMs, paceFactor = 1): number {
  const kindKey = getKindKey(call, timed.model.name, objectiveMs)
  return computeStreamLimit({
    slotCount: timed.engine.slotCount,
    objectiveLeftMs,
    ...estimateModelTimes(dependencies, call, timed),
    getFirstEventMs: otherCount => dependencies.timings.getFirstEventMs(kindKey, calculateUsualTimes(timed, call, otherCount).firstEventMs)
  }, paceFactor)
}

/** What is expected of the call; undefined where the configuration does not tell. */
export function estimateCallTimes (dependencies: TimingDependencies, call: TimedCall, engine: EngineProfile): ExpectedTimes | undefined {
  const { timings, timers } = dependencies
  const model = engine.models.find(({ name }) => name === call.clientInfo.model)
  if (model === undefined || !hasTimes(engine, call)) return undefined
  const timed = { engine, model }
  const { objectiveMs } = call.route
  const otherCount = Math.max(0, engine.slotCount - 1)
  const firstEventMs = timings.getFirstEventMs(getKindKey(call, model.name, objectiveMs), calculateUsualTimes(timed, call, otherCount).firstEventMs)
  const objectiveLeftMs = call.arrivedAtMs + objectiveMs - timers.nowMs()
  const limits = new Map<string, number>()
  return {
    firstEventMs,
    slotTimeMs: estimateModelTimes(dependencies, call, timed).slotTimeMs,
    ownSlotTimeMs: firstEventMs + calculateStreamTimes(timed, estimateWork(engine, call.clientInfo), otherCount).writingMs,
    getStreamLimit (paceFactor, zone) {
      const limitKey = `${paceFactor}/${zone ?? ''}`
      const pathMs = 2 * getZoneDelayMs(engine, dependencies.zone, zone)
      const limit = limits.get(limitKey) ?? estimateStreamLimit(dependencies, call, timed, objectiveMs, objectiveLeftMs - pathMs, paceFactor)
      limits.set(limitKey, limit)
      return limit
    }
  }
}

/** Creates the clock of one stream. */
export function createStreamClock (dependencies: TimingDependencies & { readonly metrics: Pick<Metrics, 'recordDuration'> }, call: TimedCall): StreamClock {
  const { timers, timings, metrics } = dependencies
  let attemptCount = 0
  let startedAtMs = 0
  let modelName: string | undefined
  let calculatedMs: number | undefined
  let firstEventAtMs: number | undefined
  let lastEventAtMs = 0
  let longestPauseMs = 0
  let isOwnPace = true

  /** Whether what is seen are the times of a replica that began the stream in a free slot, and of no other. */
  function isMeasurable (): boolean {
    return attemptCount === 1 && call.clientInfo.lastEventId === undefined
  }

  return {
    start (replica, engine, otherCount, isHealthy) {
      attemptCount += 1
      startedAtMs = timers.nowMs()
      const { model } = replica
      if (engine === undefined || model === undefined) return
      modelName = model.name
      // Where all slots may be in use, what is measured may be a wait for a slot.
      const isFree = isHealthy && hasTimes(engine, call) &&
        otherCount + estimateModelTimes(dependencies, call, { engine, model }).unknownStreamCount < engine.slotCount
      const pathMs = 2 * getZoneDelayMs(engine, dependencies.zone, replica.leader?.zone)
      calculatedMs = isFree ? calculateUsualTimes({ engine, model }, call, otherCount).firstEventMs + pathMs : undefined
    },
    recordEvent () {
      const nowMs = timers.nowMs()
      if (firstEventAtMs === undefined) {
        firstEventAtMs = nowMs
        metrics.recordDuration(DurationMetric.FirstToken, nowMs - call.arrivedAtMs)
        if (isMeasurable() && modelName !== undefined && calculatedMs !== undefined) timings.recordFirstEvent(getKindKey(call, modelName, call.route.objectiveMs), nowMs - startedAtMs, calculatedMs)
      } else {
        longestPauseMs = Math.max(longestPauseMs, nowMs - lastEventAtMs)
        metrics.recordDuration(DurationMetric.BetweenTokens, nowMs - lastEventAtMs)
      }
      lastEventAtMs = nowMs
    },
    recordBackPressure () {
      isOwnPace = false
    },
    recordEnd () {
      if (isMeasurable() && isOwnPace && modelName !== undefined && firstEventAtMs !== undefined) timings.recordWriting(getModelKey(call, modelName), timers.nowMs() - firstEventAtMs)
    },
    getFirstEventMs: () => firstEventAtMs === undefined ? undefined : firstEventAtMs - call.arrivedAtMs,
    getLongestPauseMs: () => longestPauseMs,
    getLastEventAtMs: () => lastEventAtMs
  }
}
