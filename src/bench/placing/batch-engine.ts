import type { TimerService } from '../../shared/timer-service.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'

/** A request with the prompt tokens to prefill and the events to send; the engine counts both down to 0. */
export interface EngineRequest {
  promptTokenCount: number
  eventCount: number
  /** More urgent requests, with lower numbers, get free slots first; 0 when undefined. */
  readonly priority?: number
  onEvent (): void
}

/**
 * Simulation of the engines of one replica, which batch their requests into passes as the platform documents. A pass is
 * `stepsPerEvent` steps (one step if no request decodes) and yields one event for each decoding request.
 */
export interface BatchEngine {
  /** Queues a request for the next pass with a free slot; returns false when the queue is full. */
  submit (request: EngineRequest): boolean
  cancel (request: EngineRequest): void
  /** Returns the number of requests in the engine, including queued ones. */
  getLoad (): number
}

/** Prompt tokens that one step prefills at most, where the profile states no number. */
const defaultMaxPrefillTokensPerStep = 2048
/** A request is refused while this many requests per slot are queued. */
const maxQueuedPerSlot = 2

/** Creates an idle replica. All durations are those of the profile times the model's pace and the slowdown when the pass begins. */
export function createBatchEngine (timers: TimerService, engine: EngineProfile, model: ReplicatedModel, slowdown: number | (() => number) = 1): BatchEngine {
  let prefilling: EngineRequest[] = []
  let decoding: EngineRequest[] = []
  let queued: EngineRequest[] = []
  let isRunning = false

  function admit (): void {
    // The sort keeps the order of arrival among requests of one priority.
    queued.sort((left, right) => (left.priority ?? 0) - (right.priority ?? 0))
    while (queued.length > 0 && prefilling.length + decoding.length < engine.slotCount) prefilling.push(queued.shift() as EngineRequest)
  }

  /** Prefills at most `maxTokenCount` prompt tokens, oldest request first. Returns the number of prefilled tokens. */
  function prefillPrompts (maxTokenCount: number): number {
    let remaining = maxTokenCount
    for (const request of prefilling) {
      const count = Math.min(remaining, request.promptTokenCount)
      request.promptTokenCount -= count
      remaining -= count
    }
    return maxTokenCount - remaining
  }

  function runPass (): void {
    admit()
    isRunning = prefilling.length + decoding.length > 0
    if (!isRunning) return
    const stepCount = decoding.length > 0 ? engine.stepsPerEvent : 1
    const decodingInPass = [...decoding]
    const prefilledTokenCount = prefillPrompts((engine.maxPromptTokensPerStep ?? defaultMaxPrefillTokensPerStep) * stepCount)
    const durationMs = stepCount * (engine.stepMs + engine.perSequenceMs * decodingInPass.length) + prefilledTokenCount / engine.promptTokensPerSecond * 1000
    timers.subscribeOnce(durationMs * model.pace * (typeof slowdown === 'number' ? slowdown : slowdown()), () => {
      for (const request of decodingInPass) {
        if (!decoding.includes(request)) continue
        request.eventCount -= 1
        request.onEvent()
      }
      decoding = [...decoding.filter(request => request.eventCount > 0), ...prefilling.filter(request => request.promptTokenCount <= 0)]
      prefilling = prefilling.filter(request => request.promptTokenCount > 0)
      runPass()
    })
  }

  return {
    submit (request) {
      if (queued.length >= maxQueuedPerSlot * engine.slotCount) return false
      queued.push(request)
      if (!isRunning) runPass()
      return true
    },
    cancel (request) {
      const isOther = (candidate: EngineRequest) => candidate !== request
      queued = queued.filter(isOther)
      prefilling = prefilling.filter(isOther)
      decoding = decoding.filter(isOther)
    },
    getLoad: () => queued.length + prefilling.length + decoding.length
  }
}
