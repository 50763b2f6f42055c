import type { TimerService } from './timer-service.js'

/** Smallest change of the offset between the two clocks that counts as a suspension. */
const minSuspensionMs = 150

/** Detects suspensions of the process during which the monotonic clock stood still, such as a suspended VM. */
export interface SuspensionDetector {
  /**
   * Returns how far the wall clock advanced beyond the monotonic clock since the last reported suspension, or 0 if that is
   * below `minSuspensionMs` or the wall clock went back. A forward step of the wall clock looks like a suspension; the
   * result must be treated as elapsed time in both cases.
   */
  takeSuspendedMs (): number
}

/** Creates a detector that compares the clocks from now on. */
export function createSuspensionDetector (timers: TimerService): SuspensionDetector {
  let offsetMs = timers.wallClockMs() - timers.nowMs()
  return {
    takeSuspendedMs () {
      const currentOffsetMs = timers.wallClockMs() - timers.nowMs()
      const gapMs = currentOffsetMs - offsetMs
      if (Math.abs(gapMs) < minSuspensionMs) return 0
      offsetMs = currentOffsetMs
      return Math.max(0, gapMs)
    }
  }
}
