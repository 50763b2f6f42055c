import type { EngineProfile } from '../../state/serving-config.js'

/** Loads that may start at once while the weight store counts them. */
const countedBurstCount = 5
/** Before traffic loads are fast and not counted; the weight store is kept busy without slowing it much. */
const uncountedRateFactor = 1.3

export interface LoadSituation {
  readonly nowMs: number
  readonly engine: EngineProfile
  /** Whether callers' requests have arrived, from when on loads take their full time. */
  readonly hasTraffic: boolean
  /** Loads that have begun and not ended. */
  readonly inProgressCount: number
}

/** Keeps loads from the weight store below its rate and from slowing each other down. */
export interface LoadPacer {
  /** Takes one start; false when it has to wait. */
  tryTake (situation: LoadSituation): boolean
}

/** Creates a pacer with no starts saved up, since another planner may have used them a moment ago. */
export function createLoadPacer (): LoadPacer {
  let tokenCount: number | undefined
  let filledAtMs = 0
  return {
    tryTake ({ nowMs, engine, hasTraffic, inProgressCount }) {
      if (hasTraffic && inProgressCount >= engine.maxConcurrentLoads) return false
      const burstCount = hasTraffic ? countedBurstCount : engine.maxConcurrentLoads
      const ratePerSecond = engine.loadsPerSecond * (hasTraffic ? 1 : uncountedRateFactor)
      tokenCount ??= hasTraffic ? 0 : burstCount
      tokenCount = Math.min(burstCount, tokenCount + Math.max(0, nowMs - filledAtMs) / 1000 * ratePerSecond)
      filledAtMs = nowMs
      if (tokenCount < 1) return false
      tokenCount -= 1
      return true
    }
  }
}
