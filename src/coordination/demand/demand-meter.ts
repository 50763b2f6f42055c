import type { TimerService } from '../../shared/timer-service.js'
import type { EngineProfile } from '../../state/serving-config.js'
import type { DemandReport, ModelDemand } from './demand-report.js'
import { estimateGroupTimeMs } from './group-time.js'

/** A client request to a model. */
export interface DemandArrival {
  readonly serviceName: string
  readonly model: string | undefined
  /** Undefined when the client did not state it. */
  readonly promptTokenCount: number | undefined
}

/** Measures the demand at one gateway. */
export interface DemandMeter {
  /** Records a client request, whether it is served or refused. Its further attempts are not recorded. */
  recordArrival (arrival: DemandArrival): void
  /** Records the number of events of a complete stream; later requests for the model are expected to have as many. */
  recordStream (serviceName: string, model: string | undefined, eventCount: number): void
  createReport (): DemandReport
}

interface MeasuredModel {
  /** Decayed sums as of `atMs`. */
  arrivalCount: number
  busyServerMs: number
  atMs: number
  readonly firstAtMs: number
}

interface MeanEventCount {
  mean: number
  streamCount: number
}

/** Time constant of the decay. Shorter than the bursts of 3 to 6 s, so that the planner can tell when they begin and end. */
const decayMs = 1000
/** The correction for the time before the first request assumes at least this time, so that one request is not taken for a high rate. */
const minMeasuredMs = 500
/** Demand below this number of requests per second is not reported. */
const minArrivalsPerSecond = 0.01
/** Prompt tokens of a request whose client states none; requests of the known deployments have 700 to 2,000. */
const defaultPromptTokenCount = 1000
/** A larger stated prompt counts as this one, so that one client cannot claim the demand of many. */
const maxPromptTokenCount = 32_000
/** Expected events of a stream before any stream of the model has ended; those of the known deployments have 3 to 31. */
const defaultEventCount = 24
/** Weight of the latest stream in the mean is at least one in this number. */
const meanStreamCount = 50
const millisecondsPerSecond = 1000
/** Decimal places of reported values; reports are sent several times a second. */
const reportedScale = 1000

/** Creates a meter without demand. `findEngine` returns the engine of a service, if it has one. */
export function createDemandMeter (timers: TimerService, findEngine: (serviceName: string) => EngineProfile | undefined): DemandMeter {
  const services = new Map<string, Map<string, MeasuredModel>>()
  const eventCounts = new Map<string, Map<string, MeanEventCount>>()

  function decay (measured: MeasuredModel): void {
    const nowMs = timers.nowMs()
    const factor = Math.exp(-(nowMs - measured.atMs) / decayMs)
    measured.arrivalCount *= factor
    measured.busyServerMs *= factor
    measured.atMs = nowMs
  }

  function toDemand (measured: MeasuredModel): ModelDemand {
    decay(measured)
    const measuredMs = Math.max(minMeasuredMs, timers.nowMs() - measured.firstAtMs)
    const windowMs = decayMs * (1 - Math.exp(-measuredMs / decayMs))
    return {
      arrivalsPerSecond: round(measured.arrivalCount / windowMs * millisecondsPerSecond),
      busyServerCount: round(measured.busyServerMs / windowMs)
    }
  }

  return {
    recordArrival ({ serviceName, model: modelName, promptTokenCount = defaultPromptTokenCount }) {
      const engine = findEngine(serviceName)
      // Only configured models are measured: the name comes from the client.
      const model = engine?.models.find(candidate => candidate.name === modelName)
      if (engine === undefined || model === undefined) return
      const models = getOrCreate(services, serviceName, () => new Map<string, MeasuredModel>())
      const measured = getOrCreate(models, model.name, () => ({ arrivalCount: 0, busyServerMs: 0, atMs: timers.nowMs(), firstAtMs: timers.nowMs() }))
      decay(measured)
      const groupTimeMs = estimateGroupTimeMs(engine, model, {
        promptTokenCount: Math.min(maxPromptTokenCount, promptTokenCount),
        eventCount: eventCounts.get(serviceName)?.get(model.name)?.mean ?? defaultEventCount
      })
      measured.arrivalCount += 1
      measured.busyServerMs += groupTimeMs * model.groupSize
    },
    recordStream (serviceName, modelName, eventCount) {
      if (modelName === undefined || findEngine(serviceName)?.models.some(model => model.name === modelName) !== true) return
      const models = getOrCreate(eventCounts, serviceName, () => new Map<string, MeanEventCount>())
      const mean = getOrCreate(models, modelName, () => ({ mean: 0, streamCount: 0 }))
      mean.streamCount = Math.min(meanStreamCount, mean.streamCount + 1)
      mean.mean += (eventCount - mean.mean) / mean.streamCount
    },
    createReport () {
      const reported = [...services].map(([serviceName, models]) => {
        for (const [name, measured] of models) {
          if (toDemand(measured).arrivalsPerSecond < minArrivalsPerSecond) models.delete(name)
        }
        return [serviceName, Object.fromEntries([...models].map(([name, measured]) => [name, toDemand(measured)]))] as const
      })
      return { gatewayCount: 1, services: Object.fromEntries(reported.filter(([, models]) => Object.keys(models).length > 0)) }
    }
  }
}

function round (value: number): number {
  return Math.round(value * reportedScale) / reportedScale
}

function getOrCreate<Key, Value> (map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const existing = map.get(key)
  if (existing !== undefined) return existing
  const created = create()
  map.set(key, created)
  return created
}
