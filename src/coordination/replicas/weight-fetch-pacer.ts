import type { EngineProfile } from '../../state/serving-config.js'

/** Fetches that may start at once after the first client request, when the weight store applies its rate limit. */
const burstCountWithTraffic = 5
/** Factor on `loadsPerSecond` before the first client request, when the weight store does not apply its rate limit. */
const rateFactorBeforeTraffic = 1.3

/** Input for one decision of the pacer. */
export interface WeightFetchState {
  readonly nowMs: number
  readonly engine: EngineProfile
  /** Whether client requests have arrived. Until then the weight store applies no rate limit, and fetches are faster. */
  readonly hasTraffic: boolean
  /** Fetches that have started and not ended. */
  readonly inProgressCount: number
}

/** Limits the rate and the concurrency of fetches from the weight store, since concurrent fetches slow each other down. */
export interface WeightFetchPacer {
  /** Uses one permit to start a fetch now; false when none is left. */
  tryStart (state: WeightFetchState): boolean
}

/** Creates a pacer. It starts without permits if client requests have arrived, since an earlier planner may have just used them. */
export function createWeightFetchPacer (): WeightFetchPacer {
  let permitCount: number | undefined
  let refilledAtMs = 0
  return {
    tryStart ({ nowMs, engine, hasTraffic, inProgressCount }) {
      if (hasTraffic && inProgressCount >= engine.maxConcurrentLoads) return false
      const burstCount = hasTraffic ? burstCountWithTraffic : engine.maxConcurrentLoads
      const ratePerSecond = engine.loadsPerSecond * (hasTraffic ? 1 : rateFactorBeforeTraffic)
      permitCount ??= hasTraffic ? 0 : burstCount
      permitCount = Math.min(burstCount, permitCount + Math.max(0, nowMs - refilledAtMs) / 1000 * ratePerSecond)
      refilledAtMs = nowMs
      if (permitCount < 1) return false
      permitCount -= 1
      return true
    }
  }
}
