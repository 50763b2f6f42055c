import type { TimerService } from './timer-service.js'

/** Counts events of the recent past; each event counts less with its age. */
export interface DecayingCounter {
  increment (): void
  /** Events in about one window; divided by the window, a rate. */
  getCount (): number
}

/** Creates a counter in which the weight of an event falls to 1/e within the window. */
export function createDecayingCounter (timers: TimerService, windowMs: number): DecayingCounter {
  let count = 0
  let countedAtMs = timers.nowMs()

  function decay (): void {
    const nowMs = timers.nowMs()
    count *= Math.exp(-(nowMs - countedAtMs) / windowMs)
    countedAtMs = nowMs
  }

  return {
    increment () {
      decay()
      count += 1
    },
    getCount () {
      decay()
      return count
    }
  }
}
