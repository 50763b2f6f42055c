import { performance } from 'node:perf_hooks'

/** A pending or repeating callback of a timer service. */
export interface TimerSubscription {
  /** Stops the callback; has no effect after the callback has run for the last time. */
  cancel (): void
}

/** The single source of time for every part. Parts subscribe to it and never read a clock themselves. */
export interface TimerService {
  /** Monotonic time in milliseconds since an arbitrary origin. Continues while the process is stopped. */
  nowMs (): number
  /** Wall clock in milliseconds since 1970, for records that people read. Never used to decide freshness. */
  wallClockMs (): number
  /** Runs the listener once after the delay. */
  subscribeOnce (delayMs: number, listener: () => void): TimerSubscription
  /** Runs the listener after each interval until cancelled. */
  subscribeEvery (intervalMs: number, listener: () => void): TimerSubscription
}

/** Creates the timer service of a running process. */
export function createSystemTimerService (): TimerService {
  return {
    nowMs: () => performance.now(),
    wallClockMs: () => Date.now(),
    subscribeOnce (delayMs, listener) {
      const handle = setTimeout(listener, delayMs)
      return { cancel: () => clearTimeout(handle) }
    },
    subscribeEvery (intervalMs, listener) {
      const handle = setInterval(listener, intervalMs)
      return { cancel: () => clearInterval(handle) }
    }
  }
}

/** Resolves after the delay on the given timer service. */
export function delay (timers: TimerService, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    timers.subscribeOnce(delayMs, resolve)
  })
}
