/** The usual times of models, learnt from the responses of all their replicas. */
import type { TimerService } from '../../shared/timer-service.js'
import type { Replica } from '../../state/replica.js'
import type { EngineProfile } from '../../state/serving-config.js'

export interface ModelTimes {
  recordFirstEvent (replica: Replica, durationMs: number): void
  /** Records the time between two events of one stream; `streamCount` is the number of this gateway's streams on the replica. */
  recordGap (replica: Replica, durationMs: number, streamCount: number): void
  /** Usual time to the first event at the replicas of the model. */
  getUsualFirstEventMs (replica: Replica, engine: EngineProfile): number
  /** Usual time between two events at the replicas of the model. */
  getUsualGapMs (replica: Replica, engine: EngineProfile): number
  /** The replica's own recent time between two events; undefined when it has had none recently. */
  getOwnGapMs (replicaId: string): number | undefined
  forget (replicaId: string): void
}

interface ReplicaTimes {
  readonly modelKey: string
  firstEventMs: number
  firstEventCount: number
  gapMs: number
  gapCount: number
  lastRecordedAtMs: number
  lastGapAtMs: number
}

interface UsualTimes {
  readonly computedAtMs: number
  readonly firstEventMs: number | undefined
  readonly gapMs: number | undefined
}

/** Weight of a new first event in the mean of its replica: about ten of them count, since their times vary with the prompt. */
const firstEventWeight = 0.1
/** Weight of a pass in the mean time between events: four passes of a server that is four times slower double the mean, one long prompt does not. */
const gapWeight = 0.2
/** A replica counts for the model's usual time to the first event from this many responses on. */
const minSampleCount = 3
/** With fewer times between events, one pass that reads many prompts makes a sound replica look slow. */
const minGapCount = 5
/** Times of replicas without responses for this long no longer count for the model. */
const maxSampleAgeMs = 10_000
/** A time between events is older than the state of its server after this long: slow servers become sound within seconds. */
const maxGapAgeMs = 1000
/** The median is computed this often at most, since each choice of a replica reads it. */
const usualTimesLifeMs = 100
/** One replica alone cannot show what is usual. */
const minReplicaCount = 2
/** Prompt tokens of the published time to the first event: one step's worth, as the platform documents its engines. */
const publishedPromptTokenCount = 2048
/** Passes until the first event: the one in progress and the one that yields it. */
const publishedPassCount = 2
const millisecondsPerSecond = 1000

/** Creates the record without any times. */
export function createModelTimes (timers: TimerService): ModelTimes {
  const timesById = new Map<string, ReplicaTimes>()
  const usualByModel = new Map<string, UsualTimes>()

  function getModelKey ({ serviceName, model }: Replica): string {
    return `${serviceName}/${model?.name ?? ''}`
  }

  function find (replica: Replica): ReplicaTimes {
    const known = timesById.get(replica.id)
    if (known !== undefined) return known
    const created = { modelKey: getModelKey(replica), firstEventMs: 0, firstEventCount: 0, gapMs: 0, gapCount: 0, lastRecordedAtMs: 0, lastGapAtMs: -Infinity }
    timesById.set(replica.id, created)
    return created
  }

  function getUsual (modelKey: string): UsualTimes {
    const known = usualByModel.get(modelKey)
    if (known !== undefined && timers.nowMs() - known.computedAtMs < usualTimesLifeMs) return known
    const recent = [...timesById.values()].filter(times => times.modelKey === modelKey && timers.nowMs() - times.lastRecordedAtMs <= maxSampleAgeMs)
    const usual = {
      computedAtMs: timers.nowMs(),
      firstEventMs: computeMedian(recent.filter(times => times.firstEventCount >= minSampleCount).map(times => times.firstEventMs)),
      gapMs: computeMedian(recent.filter(times => times.gapCount >= minGapCount).map(times => times.gapMs))
    }
    usualByModel.set(modelKey, usual)
    return usual
  }

  return {
    recordFirstEvent (replica, durationMs) {
      const times = find(replica)
      times.firstEventCount += 1
      times.firstEventMs += (durationMs - times.firstEventMs) * Math.max(firstEventWeight, 1 / times.firstEventCount)
      times.lastRecordedAtMs = timers.nowMs()
    },
    recordGap (replica, durationMs, streamCount) {
      const times = find(replica)
      const isRecent = timers.nowMs() - times.lastGapAtMs <= maxGapAgeMs
      times.gapCount = isRecent ? times.gapCount + 1 : 1
      // One pass yields an event for each stream, and counts once.
      times.gapMs = isRecent ? times.gapMs + (durationMs - times.gapMs) * Math.max(gapWeight, 1 / times.gapCount) / Math.max(1, streamCount) : durationMs
      times.lastGapAtMs = timers.nowMs()
      times.lastRecordedAtMs = timers.nowMs()
    },
    getUsualFirstEventMs (replica, engine) {
      return getUsual(getModelKey(replica)).firstEventMs ??
        (publishedPassCount * computePublishedGapMs(engine) + publishedPromptTokenCount * millisecondsPerSecond / engine.promptTokensPerSecond) * (replica.model?.pace ?? 1)
    },
    getUsualGapMs: (replica, engine) => getUsual(getModelKey(replica)).gapMs ?? computePublishedGapMs(engine) * (replica.model?.pace ?? 1),
    getOwnGapMs (replicaId) {
      const times = timesById.get(replicaId)
      return times === undefined || times.gapCount < minGapCount || timers.nowMs() - times.lastGapAtMs > maxGapAgeMs ? undefined : times.gapMs
    },
    forget: replicaId => { timesById.delete(replicaId) }
  }
}

/** Time of one pass with all slots in use, for a model of pace 1. */
function computePublishedGapMs ({ stepsPerEvent, stepMs, perSequenceMs, slotCount }: EngineProfile): number {
  return stepsPerEvent * (stepMs + perSequenceMs * slotCount)
}

/** Returns the median, the lower one of an even number, so that of two replicas the sound one tells what is usual. */
function computeMedian (values: readonly number[]): number | undefined {
  if (values.length < minReplicaCount) return undefined
  return [...values].sort((left, right) => left - right)[Math.floor((values.length - 1) / 2)]
}
