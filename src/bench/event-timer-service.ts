import { drainMicrotasks } from '../shared/virtual-timer-service.js'
import type { TimerService } from '../shared/timer-service.js'

interface TimedEvent {
  readonly dueMs: number
  /** Orders events that are due at the same time. */
  readonly sequence: number
  readonly run: () => void
  isCancelled: boolean
}

/**
 * Virtual timers for large benchmarks. Keeps events in a binary heap; the virtual timers of the fuzz tests scan a set of
 * all events instead.
 */
export interface EventTimerService extends TimerService {
  /** Runs all events that are due until the given time, and drains microtasks after each so that promises settle. */
  runUntil (untilMs: number): Promise<void>
}

/** Turns of the microtask queue in which promises can settle after an event. */
const microtaskTurnCount = 6

/** Creates a timer service at time 0 without events. */
export function createEventTimerService (): EventTimerService {
  const heap: TimedEvent[] = []
  let nowMs = 0
  let nextSequence = 0

  function isEarlier (left: TimedEvent, right: TimedEvent): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence)
  }

  function swap (left: number, right: number): void {
    const leftEvent = heap[left] as TimedEvent
    heap[left] = heap[right] as TimedEvent
    heap[right] = leftEvent
  }

  function push (event: TimedEvent): void {
    heap.push(event)
    let index = heap.length - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isEarlier(heap[index] as TimedEvent, heap[parent] as TimedEvent)) return
      swap(index, parent)
      index = parent
    }
  }

  function pop (): TimedEvent | undefined {
    if (heap.length === 0) return undefined
    swap(0, heap.length - 1)
    const first = heap.pop()
    let index = 0
    for (;;) {
      const children = [index * 2 + 1, index * 2 + 2].filter(child => child < heap.length)
      const smallest = children.reduce((best, child) => isEarlier(heap[child] as TimedEvent, heap[best] as TimedEvent) ? child : best, index)
      if (smallest === index) return first
      swap(index, smallest)
      index = smallest
    }
  }

  function schedule (delayMs: number, run: () => void): TimedEvent {
    const event = { dueMs: nowMs + Math.max(0, delayMs), sequence: nextSequence, run, isCancelled: false }
    nextSequence += 1
    push(event)
    return event
  }

  return {
    nowMs: () => nowMs,
    wallClockMs: () => nowMs,
    subscribeOnce (delayMs, listener) {
      const event = schedule(delayMs, listener)
      return { cancel: () => { event.isCancelled = true } }
    },
    subscribeEvery (intervalMs, listener) {
      let current = schedule(intervalMs, repeat)
      function repeat (): void {
        current = schedule(intervalMs, repeat)
        listener()
      }
      return { cancel: () => { current.isCancelled = true } }
    },
    async runUntil (untilMs) {
      while (heap[0] !== undefined && heap[0].dueMs <= untilMs) {
        const event = pop()
        if (event === undefined || event.isCancelled) continue
        nowMs = event.dueMs
        event.run()
        await drainMicrotasks(microtaskTurnCount)
      }
      nowMs = untilMs
    }
  }
}
