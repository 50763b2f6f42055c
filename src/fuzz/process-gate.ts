import type { TimerService } from '../shared/timer-service.js'

/** Stops and resumes one simulated process. While it is closed none of the process's code runs. */
export interface ProcessGate {
  readonly isOpen: boolean
  /** Resolves when the process may run. */
  pass (): Promise<void>
  close (): void
  /** Opens the gate without running what waits; `release` runs it. */
  open (): void
  release (): void
  /** Drops all that waits, for good. */
  destroy (): void
}

/** Creates an open gate. */
export function createProcessGate (): ProcessGate {
  let isOpen = true
  let isDestroyed = false
  let waiting: Array<() => void> = []

  return {
    get isOpen () { return isOpen && !isDestroyed },
    pass: () => new Promise(resolve => {
      if (isDestroyed) return
      if (isOpen) resolve()
      else waiting.push(resolve)
    }),
    close () { isOpen = false },
    open () { isOpen = true },
    release () {
      const released = waiting
      waiting = []
      for (const resume of released) resume()
    },
    destroy () {
      isDestroyed = true
      waiting = []
    }
  }
}

/** Wraps timers so that callbacks wait while the process is stopped. Time itself goes on. */
export function createGatedTimers (timers: TimerService, gate: ProcessGate): TimerService {
  function guard (listener: () => void): () => void {
    let isWaiting = false
    return () => {
      if (gate.isOpen) return listener()
      if (isWaiting) return
      isWaiting = true
      void gate.pass().then(() => {
        isWaiting = false
        listener()
      })
    }
  }
  return {
    nowMs: () => timers.nowMs(),
    wallClockMs: () => timers.wallClockMs(),
    subscribeOnce: (delayMs, listener) => timers.subscribeOnce(delayMs, guard(listener)),
    subscribeEvery: (intervalMs, listener) => timers.subscribeEvery(intervalMs, guard(listener))
  }
}
