import type { TimerService } from './timer-service.js'

/** Difference of the two clocks above which the process is taken to have been suspended. */
const minGapMs = 150

/** Notices that the process was suspended, during which the monotonic clock stood still. */
export interface SuspensionDetector {
  /**
   * Returns how far the wall clock ran ahead of the monotonic clock since the last call, or 0. A forward
   * step of the wall clock looks the same; callers must treat both as time that has passed.
   */
  takeSuspendedMs (): number
}

/** Creates a detector that begins at the present time. */
export function createSuspensionDetector (timers: TimerService): SuspensionDetector {
  let offsetMs = timers.wallClockMs() - timers.nowMs()
  return {
    takeSuspendedMs () {
      const currentMs = timers.wallClockMs() - timers.nowMs()
      const gapMs = currentMs - offsetMs
      if (Math.abs(gapMs) < minGapMs) return 0
      offsetMs = currentMs
      return Math.max(0, gapMs)
    }
  }
}
