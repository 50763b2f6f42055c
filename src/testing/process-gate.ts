import type { TimerService, TimerSubscription } from '../shared/timer-service.js'

/**
 * Stops and continues a simulated process. While it is stopped its timers do not fire and replies
 * to it wait, but its clock goes on, as under SIGSTOP and SIGCONT.
 */
export interface ProcessGate {
  readonly timers: TimerService
  isStopped (): boolean
  stop (): void
  /** Continues the process and runs what has become due, in order. */
  continue (): void
  /** Ends the process: nothing of it runs any more. */
  end (): void
  /** Resolves as soon as the process runs. */
  pass (): Promise<void>
  /** Wraps ports so that their replies wait while the process is stopped. */
  guard<T extends object> (port: T): T
}

/** Creates the gate of a running process on the given time. */
export function createProcessGate (timers: TimerService): ProcessGate {
  let isHeld = false
  let hasEnded = false
  let held: Array<() => void> = []

  function run (callback: () => void): void {
    if (hasEnded) return
    if (isHeld) {
      held.push(callback)
      return
    }
    callback()
  }

  /** Fires once after a stop, however many intervals have passed, as Node.js does. */
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

  function guard<T extends object> (port: T): T {
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
    isStopped: () => isHeld || hasEnded,
    stop: () => { isHeld = true },
    continue () {
      isHeld = false
      const due = held
      held = []
      due.forEach(run)
    },
    end () {
      hasEnded = true
      held = []
    },
    pass,
    guard
  }
}
