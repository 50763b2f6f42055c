/** Loads from the weight store that may start at once after a pause. */
const burstCount = 5

/** Keeps the starts of loads from the weight store below its rate. */
export interface LoadPacer {
  /** Takes one start; false when it would exceed the rate. */
  tryTake (nowMs: number, loadsPerSecond: number): boolean
}

/** Creates a pacer with no starts saved up, since another planner may have used them a moment ago. */
export function createLoadPacer (): LoadPacer {
  let tokenCount = 0
  let filledAtMs: number | undefined
  return {
    tryTake (nowMs, loadsPerSecond) {
      const elapsedMs = nowMs - (filledAtMs ?? nowMs)
      filledAtMs = nowMs
      tokenCount = Math.min(burstCount, tokenCount + elapsedMs / 1000 * loadsPerSecond)
      if (tokenCount < 1) return false
      tokenCount -= 1
      return true
    }
  }
}
