import type { TimerService } from './timer-service.js'

/** Counts recent events; the weight of each event decays exponentially with its age. */
export interface DecayingCounter {
  increment (): void
  /** Returns the sum of the weights. Divided by the window it approximates the rate of events. */
  getCount (): number
}

/** Creates a counter in which the weight of an event falls to 1/e after `windowMs`. */
export function createDecayingCounter (timers: TimerService, windowMs: number): DecayingCounter {
  let count = 0
  let decayedAtMs = timers.nowMs()

  function decay (): void {
    const nowMs = timers.nowMs()
    count *= Math.exp(-(nowMs - decayedAtMs) / windowMs)
    decayedAtMs = nowMs
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
