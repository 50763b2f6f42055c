import { performance } from 'node:perf_hooks'

/** A pending or repeating callback of a timer service. */
export interface TimerSubscription {
  /** Cancels the callback; has no effect once it has run for the last time. */
  cancel (): void
}

/** The single source of time and timers. Components never read a clock themselves, so that tests and fuzz runs control the time. */
export interface TimerService {
  /** Monotonic time in milliseconds since an arbitrary origin. It advances while the process is stopped by a signal. */
  nowMs (): number
  /** Wall clock in milliseconds since 1970, for records that people read. Never used to determine the age of data. */
  wallClockMs (): number
  /** Runs the listener once, never before the delay has passed. */
  subscribeOnce (delayMs: number, listener: () => void): TimerSubscription
  /** Runs the listener after each interval until cancelled. */
  subscribeEvery (intervalMs: number, listener: () => void): TimerSubscription
}

/** Longest delay that Node.js's timers hold. They take a longer one for 1 ms. */
export const maxTimeoutMs = 2 ** 31 - 1

/** Node.js drops fractions of a millisecond from a delay and counts from the start of the current millisecond, so that a timeout alone may be early. */
function toTimeoutMs (delayMs: number): number {
  return delayMs <= 0 ? 0 : Math.ceil(delayMs) + 1
}

/** Starts a timeout in steps that Node.js's timers hold. */
function startLongTimeout (timeoutMs: number, listener: () => void): TimerSubscription {
  let handle: NodeJS.Timeout

  function wait (remainingMs: number): void {
    handle = remainingMs > maxTimeoutMs
      ? setTimeout(() => wait(remainingMs - maxTimeoutMs), maxTimeoutMs)
      : setTimeout(listener, remainingMs)
  }

  wait(timeoutMs)
  return { cancel: () => clearTimeout(handle) }
}

/** Repeats a timeout that is too long for `setInterval`. */
function startLongInterval (intervalMs: number, listener: () => void): TimerSubscription {
  let timeout = startLongTimeout(intervalMs, run)

  function run (): void {
    timeout = startLongTimeout(intervalMs, run)
    listener()
  }

  return { cancel: () => timeout.cancel() }
}

/** Creates the timer service of a running process. */
export function createSystemTimerService (): TimerService {
  return {
    nowMs: () => performance.now(),
    wallClockMs: () => Date.now(),
    subscribeOnce (delayMs, listener) {
      const timeoutMs = toTimeoutMs(delayMs)
      if (timeoutMs > maxTimeoutMs) return startLongTimeout(timeoutMs, listener)
      const handle = setTimeout(listener, timeoutMs)
      return { cancel: () => clearTimeout(handle) }
    },
    subscribeEvery (intervalMs, listener) {
      if (intervalMs > maxTimeoutMs) return startLongInterval(intervalMs, listener)
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
