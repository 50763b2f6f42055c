import type { TimerService, TimerSubscription } from './timer-service.js'

/**
 * One repeating timer for many short-lived subscribers: however many there are, the process wakes up once an interval, and
 * not at all while there are none.
 */
export interface SharedTicker {
  /** Calls the listener at each tick until it is cancelled. The first tick may come before a whole interval has passed. */
  subscribe (listener: () => void): TimerSubscription
}

/** Creates a ticker. `onTick` is called after the subscribers. */
export function createSharedTicker (timers: TimerService, intervalMs: number, onTick: () => void = () => {}): SharedTicker {
  const listeners = new Set<() => void>()
  let timer: TimerSubscription | undefined

  function tick (): void {
    for (const listener of [...listeners]) {
      // A listener may have been cancelled by one before it.
      if (listeners.has(listener)) listener()
    }
    onTick()
  }

  return {
    subscribe (listener) {
      // Each subscription has a key of its own, in case a listener subscribes twice.
      const key = () => listener()
      listeners.add(key)
      timer ??= timers.subscribeEvery(intervalMs, tick)
      return {
        cancel () {
          listeners.delete(key)
          if (listeners.size > 0) return
          timer?.cancel()
          timer = undefined
        }
      }
    }
  }
}
