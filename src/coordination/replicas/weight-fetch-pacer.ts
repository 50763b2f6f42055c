import type { EngineProfile } from '../../state/serving-config.js'

/** Loads that may start at once after the first request, when the weight store counts them against its rate limit. */
const countedBurstCount = 5
/** Before the first request, loads are fast and not counted. This rate keeps the weight store busy without slowing it much. */
const uncountedRateFactor = 1.3

/** State of the loads of one service at the time of a start. */
export interface LoadState {
  readonly nowMs: number
  readonly engine: EngineProfile
  /** Whether client requests have arrived; loads take their full time from then on. */
  readonly hasTraffic: boolean
  /** Loads that have started and not ended. */
  readonly inProgressCount: number
}

/** Limits the rate and the concurrency of loads from the weight store, since concurrent loads slow each other down. */
export interface LoadPacer {
  /** Permits one load to start now; false when it has to wait. */
  tryStart (state: LoadState): boolean
}

/** Creates a pacer. After the first request it starts without saved permits, since an earlier planner may have just used them. */
export function createLoadPacer (): LoadPacer {
  let tokenCount: number | undefined
  let filledAtMs = 0
  return {
    tryStart ({ nowMs, engine, hasTraffic, inProgressCount }) {
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
