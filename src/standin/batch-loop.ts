import type { TimerService, TimerSubscription } from '../shared/timer-service.js'

/** A stream in the batch loop. */
export interface BatchEntry {
  /** Among waiting streams, the one with the highest priority gets the next slot. */
  readonly priority: number
  /** Called when the stream gets a slot; returns the time until its first token. */
  start (): number
  /** Produces one token; returns true after the last one. */
  step (): boolean
  /** True while the client reads too slowly to accept another token. */
  isBlocked (): boolean
}

export interface BatchLoopOptions {
  readonly timers: TimerService
  readonly slotCount: number
  /** Maximum number of streams that wait for a slot. */
  readonly maxQueuedCount: number
  /** Time between two steps of the batch. */
  readonly getStepMs: () => number
  /** True while the engine cannot compute. */
  readonly isStalled: () => boolean
  readonly onLoadChange: () => void
}

/** Continuous batching: each step advances every stream that holds a slot by one token. */
export interface BatchLoop {
  /** Returns false when the slots and the queue are full. */
  add (entry: BatchEntry): boolean
  remove (entry: BatchEntry): void
  activeCount (): number
  queuedCount (): number
}

interface ActiveEntry {
  readonly entry: BatchEntry
  readonly firstTokenAtMs: number
}

/** Creates a batch loop that runs only while a stream is active. */
export function createBatchLoop (options: BatchLoopOptions): BatchLoop {
  const { timers, slotCount, maxQueuedCount, getStepMs, isStalled, onLoadChange } = options
  const active = new Map<BatchEntry, ActiveEntry>()
  const queue: BatchEntry[] = []
  let stepTimer: TimerSubscription | undefined

  function fillSlots (): void {
    while (active.size < slotCount) {
      const entry = queue.shift()
      if (entry === undefined) break
      active.set(entry, { entry, firstTokenAtMs: timers.nowMs() + entry.start() })
    }
    onLoadChange()
    scheduleStep()
  }

  function scheduleStep (): void {
    if (stepTimer !== undefined || active.size === 0) return
    stepTimer = timers.subscribeOnce(getStepMs(), runStep)
  }

  function runStep (): void {
    stepTimer = undefined
    if (!isStalled()) {
      for (const { entry, firstTokenAtMs } of [...active.values()]) {
        if (firstTokenAtMs > timers.nowMs() || entry.isBlocked()) continue
        if (entry.step()) active.delete(entry)
      }
    }
    fillSlots()
  }

  function enqueue (entry: BatchEntry): void {
    const position = queue.findIndex(other => other.priority < entry.priority)
    queue.splice(position === -1 ? queue.length : position, 0, entry)
  }

  return {
    add (entry) {
      if (active.size >= slotCount && queue.length >= maxQueuedCount) return false
      enqueue(entry)
      fillSlots()
      return true
    },
    remove (entry) {
      const position = queue.indexOf(entry)
      if (position !== -1) queue.splice(position, 1)
      active.delete(entry)
      fillSlots()
    },
    activeCount: () => active.size,
    queuedCount: () => queue.length
  }
}
