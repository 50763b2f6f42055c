/** Expected times of a call, and the measurements of streams that they rest on. */
import { calculateStreamTimes, estimateWork, type TimedEngine } from '../coordination/dispatch/engine-timing.js'
import type { ExpectedTimes } from '../coordination/dispatch/queue-limit.js'
import { DurationMetric } from '../observability/metrics.js'
import type { Replica } from '../state/replica.js'
import type { EngineProfile } from '../state/serving-config.js'
import type { Call, CallDependencies } from './call-context.js'

/** Times of the events of one stream, as its client gets them. */
export interface StreamClock {
  /** Records that an attempt begins. Streams with one attempt are measured. */
  start (replica: Replica, engine: EngineProfile | undefined, hasFreeSlot: boolean): void
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

function getModelKey (call: Call, modelName: string): string {
  return `${call.serviceName}/${modelName}`
}

/** Calculates the time to the first event beside full slots; undefined where the service publishes no times or no sizes are known. */
function calculateTimes (call: Call, timed: TimedEngine) {
  const { engine } = timed
  const { clientInfo } = call
  if (engine.stepMs <= 0 || (engine.usualWork === undefined && clientInfo.promptTokenCount === undefined)) return undefined
  const work = estimateWork(engine, clientInfo)
  const otherCount = Math.max(0, engine.slotCount - 1)
  return { own: calculateStreamTimes(timed, work, otherCount), usual: calculateStreamTimes(timed, engine.usualWork ?? work, otherCount) }
}

/** What is expected of the call in a replica whose slots are in use; undefined where the configuration does not tell. */
export function estimateCallTimes ({ timings, timers }: CallDependencies, call: Call, engine: EngineProfile): ExpectedTimes | undefined {
  const model = engine.models.find(({ name }) => name === call.clientInfo.model)
  const times = model === undefined ? undefined : calculateTimes(call, { engine, model })
  if (model === undefined || times === undefined) return undefined
  const modelKey = getModelKey(call, model.name)
  return {
    firstEventMs: timings.getFirstEventMs(modelKey, times.own.firstEventMs),
    slotTimeMs: timings.getFirstEventMs(modelKey, times.usual.firstEventMs) + (timings.getWritingMs(modelKey) ?? times.usual.writingMs),
    objectiveLeftMs: call.arrivedAtMs + call.route.objectiveMs - timers.nowMs()
  }
}

/** Creates the clock of one stream. */
export function createStreamClock (dependencies: CallDependencies, call: Call): StreamClock {
  const { timers, timings, metrics } = dependencies
  let attemptCount = 0
  let startedAtMs = 0
  let modelKey: string | undefined
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
    start (replica, engine, hasFreeSlot) {
      attemptCount += 1
      startedAtMs = timers.nowMs()
      if (engine === undefined || replica.model === undefined) return
      modelKey = getModelKey(call, replica.model.name)
      calculatedMs = hasFreeSlot ? calculateTimes(call, { engine, model: replica.model })?.own.firstEventMs : undefined
    },
    recordEvent () {
      const nowMs = timers.nowMs()
      if (firstEventAtMs === undefined) {
        firstEventAtMs = nowMs
        metrics.recordDuration(DurationMetric.FirstToken, nowMs - call.arrivedAtMs)
        if (isMeasurable() && modelKey !== undefined && calculatedMs !== undefined) timings.recordFirstEvent(modelKey, nowMs - startedAtMs, calculatedMs)
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
      if (isMeasurable() && isOwnPace && modelKey !== undefined && firstEventAtMs !== undefined) timings.recordWriting(modelKey, timers.nowMs() - firstEventAtMs)
    },
    getFirstEventMs: () => firstEventAtMs === undefined ? undefined : firstEventAtMs - call.arrivedAtMs,
    getLongestPauseMs: () => longestPauseMs,
    getLastEventAtMs: () => lastEventAtMs
  }
}
