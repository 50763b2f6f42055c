import type { TimerService, TimerSubscription } from '../shared/timer-service.js'

/**
 * Pauses and continues a simulated process. While it is paused, its timers do not fire and responses to it are held
 * back, but its clock goes on, as between SIGSTOP and SIGCONT.
 */
export interface PausableProcess {
  readonly timers: TimerService
  /** True while the process is paused and after it has ended. */
  isStopped (): boolean
  pause (): void
  /** Continues the process and runs the callbacks that became due, in order. */
  resume (): void
  /** Ends the process: drops the callbacks that are held back and runs no more. */
  end (): void
  /** Resolves at once while the process runs, else when it continues; never after `end`. */
  waitUntilRunning (): Promise<void>
  /** Wraps a port so that its responses are held back while the process is paused. */
  wrap<T extends object> (port: T): T
}

/** Creates a running process; its timers are based on the given ones. */
export function createPausableProcess (timers: TimerService): PausableProcess {
  let isPaused = false
  let hasEnded = false
  let heldCallbacks: Array<() => void> = []

  function run (callback: () => void): void {
    if (hasEnded) return
    if (isPaused) {
      heldCallbacks.push(callback)
      return
    }
    callback()
  }

  /** After a pause the listener is called once, however many intervals have passed, as in Node.js. */
  function subscribeEvery (intervalMs: number, listener: () => void): TimerSubscription {
    let isWaiting = false
    let isCancelled = false
    const subscription = timers.subscribeEvery(intervalMs, () => {
      if (isWaiting) return
      isWaiting = true
      run(() => {
        isWaiting = false
        if (!isCancelled) listener()
      })
    })
    return {
      cancel () {
        isCancelled = true
        subscription.cancel()
      }
    }
  }

  function subscribeOnce (delayMs: number, listener: () => void): TimerSubscription {
    let isCancelled = false
    const subscription = timers.subscribeOnce(delayMs, () => run(() => {
      if (!isCancelled) listener()
    }))
    return {
      cancel () {
        isCancelled = true
        subscription.cancel()
      }
    }
  }

  function pass (): Promise<void> {
    return new Promise(resolve => run(resolve))
  }

  function wrap<T extends object> (port: T): T {
    return new Proxy(port, {
      get (target, name) {
        const member: unknown = Reflect.get(target, name)
        if (typeof member !== 'function') return member
        return async (...parameters: unknown[]) => {
          const result: unknown = await Reflect.apply(member, target, parameters)
          await pass()
          return result
        }
      }
    })
  }

  return {
    timers: {
      nowMs: () => timers.nowMs(),
      wallClockMs: () => timers.wallClockMs(),
      subscribeOnce,
      subscribeEvery
    },
    isStopped: () => isPaused || hasEnded,
    pause: () => { isPaused = true },
    resume () {
      isPaused = false
      const due = heldCallbacks
      heldCallbacks = []
      due.forEach(run)
    },
    end () {
      hasEnded = true
      heldCallbacks = []
    },
    waitUntilRunning: pass,
    wrap
  }
}
