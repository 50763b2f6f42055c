import type { TimerService, TimerSubscription } from './timer-service.js'

interface ScheduledCallback {
  readonly sequence: number
  readonly intervalMs: number | undefined
  readonly listener: () => void
  dueMs: number
  isCancelled: boolean
}

/** A timer service whose time moves only when a test, fuzz run or benchmark advances it. */
export interface VirtualTimerService extends TimerService {
  /** Moves the time forward and runs every callback that falls due, in order, without letting promises settle. */
  advance (spanMs: number): void
  /** Like `advance`, but lets pending promises settle before the first and after each callback. */
  advanceAsync (spanMs: number): Promise<void>
  /** Returns the number of callbacks that are still scheduled. */
  pendingCount (): number
}

const defaultMicrotaskTurns = 32

/** Yields to the microtask queue `turns` times, so that promise continuations run without timers or I/O. */
export async function drainMicrotasks (turns: number = defaultMicrotaskTurns): Promise<void> {
  for (let turn = 0; turn < turns; turn += 1) {
    await Promise.resolve()
  }
}

/** Creates a virtual timer service that starts at the given monotonic and wall clock times. */
export function createVirtualTimerService (startMs: number = 0, wallClockStartMs: number = 1_700_000_000_000): VirtualTimerService {
  let nowMs = startMs
  let nextSequence = 0
  const callbacks = new Set<ScheduledCallback>()

  function schedule (delayMs: number, intervalMs: number | undefined, listener: () => void): TimerSubscription {
    const callback: ScheduledCallback = {
      sequence: nextSequence,
      intervalMs,
      listener,
      dueMs: nowMs + Math.max(0, delayMs),
      isCancelled: false
    }
    nextSequence += 1
    callbacks.add(callback)
    return {
      cancel () {
        callback.isCancelled = true
        callbacks.delete(callback)
      }
    }
  }

  function findNextDue (untilMs: number): ScheduledCallback | undefined {
    let next: ScheduledCallback | undefined
    for (const callback of callbacks) {
      if (callback.dueMs > untilMs) continue
      if (next === undefined || isEarlier(callback, next)) next = callback
    }
    return next
  }

  function run (callback: ScheduledCallback): void {
    nowMs = Math.max(nowMs, callback.dueMs)
    if (callback.intervalMs === undefined) {
      callbacks.delete(callback)
    } else {
      callback.dueMs += Math.max(1, callback.intervalMs)
    }
    callback.listener()
  }

  return {
    nowMs: () => nowMs,
    wallClockMs: () => wallClockStartMs + nowMs - startMs,
    subscribeOnce: (delayMs, listener) => schedule(delayMs, undefined, listener),
    subscribeEvery: (intervalMs, listener) => schedule(intervalMs, intervalMs, listener),
    advance (spanMs) {
      const untilMs = nowMs + spanMs
      for (let next = findNextDue(untilMs); next !== undefined; next = findNextDue(untilMs)) {
        run(next)
      }
      nowMs = untilMs
    },
    async advanceAsync (spanMs) {
      const untilMs = nowMs + spanMs
      await drainMicrotasks()
      for (let next = findNextDue(untilMs); next !== undefined; next = findNextDue(untilMs)) {
        run(next)
        await drainMicrotasks()
      }
      nowMs = untilMs
    },
    pendingCount: () => callbacks.size
  }
}

function isEarlier (left: ScheduledCallback, right: ScheduledCallback): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs
  return left.sequence < right.sequence
}
