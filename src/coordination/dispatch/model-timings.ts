/**
 * How streams were measured at this gateway, compared with what the engine's published times give. Times to the first event are
 * kept for each kind of calls, so that they hold for its usual prompts, and writing times for each model.
 */
export interface ModelTimings {
  /** Records a stream of a kind that found a free slot: its time to the first event, and the calculated one. */
  recordFirstEvent (kindKey: string, measuredMs: number, calculatedMs: number): void
  /** Records the time from the first event of a stream to its end. */
  recordWriting (modelKey: string, measuredMs: number): void
  /** Records the time for which a call was expected to hold its slot, from what it states of its size. */
  recordStatedSlotTime (modelKey: string, statedMs: number): void
  /** Mean of these times; undefined before the first call. */
  getStatedSlotTimeMs (modelKey: string): number | undefined
  /** Expected time to the first event in a free slot, which most streams stay below. */
  getFirstEventMs (kindKey: string, calculatedMs: number): number
  /** Mean of the recent times from the first event to the end; undefined before the first stream has ended. */
  getWritingMs (modelKey: string): number | undefined
}

interface ModelRecord {
  overhead: RunningMean | undefined
  writing: RunningMean | undefined
  statedSlotTime: RunningMean | undefined
}

interface RunningMean {
  mean: number
  deviation: number
  sampleCount: number
}

/**
 * Weight of a new sample once there are as many as it divides by. A gateway that gets 0.25 requests per second of a model has a
 * new mean within a minute, one with 5 per second within 3 s.
 */
const maxSampleCount = 16
/** Expected times are means plus this many mean deviations, which about 0.8 of the streams stay below. */
const deviationFactor = 1
/** One stream whose replica was lost must not change the mean for long. Streams of sound replicas begin within half a second. */
const maxOverheadMs = 1000
/** Longest output of the deployments: 100 events of 60 ms. */
const maxWritingMs = 6000

/** Creates the record without measurements. */
export function createModelTimings (): ModelTimings {
  const records = new Map<string, ModelRecord>()

  function findOrAdd (modelKey: string): ModelRecord {
    const known = records.get(modelKey)
    if (known !== undefined) return known
    const added: ModelRecord = { overhead: undefined, writing: undefined, statedSlotTime: undefined }
    records.set(modelKey, added)
    return added
  }

  return {
    recordFirstEvent (kindKey, measuredMs, calculatedMs) {
      const record = findOrAdd(kindKey)
      record.overhead = addSample(record.overhead, Math.min(maxOverheadMs, measuredMs - calculatedMs))
    },
    recordWriting (modelKey, measuredMs) {
      const record = findOrAdd(modelKey)
      record.writing = addSample(record.writing, Math.min(maxWritingMs, measuredMs))
    },
    recordStatedSlotTime (modelKey, statedMs) {
      const record = findOrAdd(modelKey)
      record.statedSlotTime = addSample(record.statedSlotTime, statedMs)
    },
    getStatedSlotTimeMs: modelKey => records.get(modelKey)?.statedSlotTime?.mean,
    getFirstEventMs (kindKey, calculatedMs) {
      const overhead = records.get(kindKey)?.overhead
      return overhead === undefined ? calculatedMs : Math.max(0, calculatedMs + overhead.mean + deviationFactor * overhead.deviation)
    },
    getWritingMs: modelKey => records.get(modelKey)?.writing?.mean
  }
}

/** Mean and mean deviation with exponentially decaying weights, as RFC 6298 keeps them of round-trip times. */
function addSample (known: RunningMean | undefined, value: number): RunningMean {
  if (known === undefined) return { mean: value, deviation: 0, sampleCount: 1 }
  const sampleCount = Math.min(maxSampleCount, known.sampleCount + 1)
  const difference = value - known.mean
  return {
    mean: known.mean + difference / sampleCount,
    deviation: known.deviation + (Math.abs(difference) - known.deviation) / sampleCount,
    sampleCount
  }
}
