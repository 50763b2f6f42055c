import type { TimerService } from '../shared/timer-service.js'

/** Pauses and resumes the code of one simulated process. Code that awaits `waitUntilRunning` runs only while the process does. */
export interface SimulatedProcess {
  /** False while the process is suspended or after it was killed. */
  readonly isRunning: boolean
  /** Resolves when the process runs; never once it was killed. */
  waitUntilRunning (): Promise<void>
  suspend (): void
  /** Resumes the process without running pending code, so that its state can be checked first; `runPending` runs that code. */
  resume (): void
  runPending (): void
  /** Ends the process and drops its pending code. */
  kill (): void
}

/** Creates a running process. */
export function createSimulatedProcess (): SimulatedProcess {
  let isResumed = true
  let isKilled = false
  let pending: Array<() => void> = []

  return {
    get isRunning () { return isResumed && !isKilled },
    waitUntilRunning: () => new Promise(resolve => {
      if (isKilled) return
      if (isResumed) resolve()
      else pending.push(resolve)
    }),
    suspend () { isResumed = false },
    resume () { isResumed = true },
    runPending () {
      const due = pending
      pending = []
      for (const resume of due) resume()
    },
    kill () {
      isKilled = true
      pending = []
    }
  }
}

/** Wraps timers: a callback that falls due while the process is suspended runs once, when the process resumes. The clock keeps running. */
export function createProcessTimers (timers: TimerService, nodeProcess: SimulatedProcess): TimerService {
  function deferWhileSuspended (listener: () => void): () => void {
    let isWaiting = false
    return () => {
      if (nodeProcess.isRunning) return listener()
      if (isWaiting) return
      isWaiting = true
      void nodeProcess.waitUntilRunning().then(() => {
        isWaiting = false
        listener()
      })
    }
  }
  return {
    nowMs: () => timers.nowMs(),
    wallClockMs: () => timers.wallClockMs(),
    subscribeOnce: (delayMs, listener) => timers.subscribeOnce(delayMs, deferWhileSuspended(listener)),
    subscribeEvery: (intervalMs, listener) => timers.subscribeEvery(intervalMs, deferWhileSuspended(listener))
  }
}
