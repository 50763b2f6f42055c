/** Loops that follow something for as long as a program runs, such as the store. */
import { delay, type TimerService } from '../shared/timer-service.js'
import type { Logger } from './log.js'

/** Knows the loops of a program whose last step failed. */
export interface LoopMonitor {
  recordSuccess (loopName: string): void
  recordFailure (loopName: string): void
  listFailing (): readonly string[]
}

/** Repeats a step while it is running. */
export interface SupervisedLoop {
  isRunning (): boolean
  start (): void
  /** The step in progress still ends. */
  stop (): void
}

export interface SupervisedLoopOptions {
  readonly name: string
  readonly timers: TimerService
  readonly logger: Logger
  readonly monitor?: LoopMonitor | undefined
  /** Waits for something each time; it is repeated without a pause. */
  step (): Promise<void>
  /** Called before a step that failed is repeated. */
  onFailure? (): void
}

/** Pause after a step that failed. */
const failurePauseMs = 500
/** A loop that keeps failing writes one line in this time. */
const failureLogIntervalMs = 10_000

/** Creates the monitor of a program; `onFailure` is called with each step that fails. */
export function createLoopMonitor (onFailure: () => void): LoopMonitor {
  const failing = new Set<string>()
  return {
    recordSuccess: loopName => { failing.delete(loopName) },
    recordFailure (loopName) {
      failing.add(loopName)
      onFailure()
    },
    listFailing: () => [...failing]
  }
}

/** Creates a loop that ends only when it is stopped: a step that throws is logged, and repeated after a pause. */
export function createSupervisedLoop ({ name, timers, logger, monitor, step, onFailure }: SupervisedLoopOptions): SupervisedLoop {
  const state = { isRunning: false }
  /** In a row. */
  let failureCount = 0
  let loggedAtMs = -Infinity

  function recordSuccess (): void {
    monitor?.recordSuccess(name)
    if (failureCount === 0) return
    logger.info('A loop works again.', { loop: name, failureCount })
    failureCount = 0
    loggedAtMs = -Infinity
  }

  async function recordFailure (error: unknown): Promise<void> {
    failureCount += 1
    monitor?.recordFailure(name)
    if (timers.nowMs() - loggedAtMs >= failureLogIntervalMs) {
      loggedAtMs = timers.nowMs()
      logger.error('A step of a loop failed; it is repeated.', { loop: name, failureCount, reason: String((error as Error).stack ?? error) })
    }
    onFailure?.()
    await delay(timers, failurePauseMs)
  }

  async function run (): Promise<void> {
    while (state.isRunning) {
      try {
        await step()
        recordSuccess()
      } catch (error) {
        await recordFailure(error)
      }
    }
  }

  return {
    isRunning: () => state.isRunning,
    start () {
      state.isRunning = true
      void run()
    },
    stop () {
      state.isRunning = false
    }
  }
}
