import type { TimerService } from '../../shared/timer-service.js'

export interface RetryShareSettings {
  /** Second attempts that each request earns. */
  readonly ratio: number
  /** Second attempts in a window on top of that, of all gateways together. */
  readonly slackCount: number
  readonly windowMs: number
}

/** This gateway's part of the second attempts that a service may get. */
export interface RetryShare {
  noteRequest (): void
  /** Whether a second attempt is left. */
  canTake (): boolean
  /** Takes one second attempt; false when none is left. */
  tryTake (): boolean
}

/** Keeps a margin to the bound, since requests and attempts are counted in windows that differ. */
const usedPart = 0.8

/**
 * Creates a share. In any window at most the ratio of the requests plus an equal part of the slack is
 * taken: half of that part can be saved up and the other half returns within a window.
 */
export function createRetryShare (timers: TimerService, getSettings: () => RetryShareSettings, getGatewayCount: () => number): RetryShare {
  let savedCount = Infinity
  let filledAtMs = timers.nowMs()

  function fill (): void {
    const { slackCount, windowMs } = getSettings()
    const halfSlackCount = slackCount * usedPart / 2 / Math.max(1, getGatewayCount())
    const elapsedMs = timers.nowMs() - filledAtMs
    filledAtMs = timers.nowMs()
    savedCount = Math.min(halfSlackCount, savedCount + halfSlackCount * elapsedMs / windowMs)
  }

  return {
    noteRequest () {
      savedCount += getSettings().ratio * usedPart
    },
    canTake () {
      fill()
      return savedCount >= 1
    },
    tryTake () {
      fill()
      if (savedCount < 1) return false
      savedCount -= 1
      return true
    }
  }
}
