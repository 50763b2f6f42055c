import type { TimerService } from '../shared/timer-service.js'

enum GateState {
  Open = 'open',
  Paused = 'paused',
  Killed = 'killed'
}

/**
 * Holds back everything that would wake one simulated process: timers and replies of its ports.
 * Calls that were under way continue outside, as they do for a stopped process.
 */
export interface NodeGate {
  readonly timers: TimerService
  /** Resolves like the promise, but not before the process runs; never for a killed process. */
  pass<T> (reply: Promise<T>): Promise<T>
  pause (): void
  resume (): void
  kill (): void
  isRunning (): boolean
}

/** Creates the gate of one process on top of the timers of the whole simulation. */
export function createNodeGate (outerTimers: TimerService): NodeGate {
  let state = GateState.Open
  let held: Array<() => void> = []

  function wake (continuation: () => void): void {
    if (state === GateState.Open) continuation()
    if (state === GateState.Paused) held.push(continuation)
  }

  const timers: TimerService = {
    nowMs: outerTimers.nowMs,
    wallClockMs: outerTimers.wallClockMs,
    subscribeOnce (delayMs, listener) {
      let isCancelled = false
      const subscription = outerTimers.subscribeOnce(delayMs, () => wake(() => { if (!isCancelled) listener() }))
      return {
        cancel () {
          isCancelled = true
          subscription.cancel()
        }
      }
    },
    subscribeEvery (intervalMs, listener) {
      return outerTimers.subscribeEvery(intervalMs, () => { if (state === GateState.Open) listener() })
    }
  }

  return {
    timers,
    pass: reply => new Promise(resolve => {
      void reply.then(value => wake(() => resolve(value)))
    }),
    pause () {
      if (state === GateState.Open) state = GateState.Paused
    },
    resume () {
      if (state !== GateState.Paused) return
      state = GateState.Open
      for (const continuation of held.splice(0)) continuation()
    },
    kill () {
      state = GateState.Killed
      held = []
    },
    isRunning: () => state === GateState.Open
  }
}
