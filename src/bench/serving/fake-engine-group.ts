import type { TimerService } from '../../shared/timer-service.js'

const cachedPrefixCount = 12
const cachedPrefillMs = 40
const uncachedPrefillMs = 240
const idleTokenIntervalMs = 18
/** Slowing of each stream when all slots are in use. */
const batchSlowdown = 0.5
const queuedPerSlot = 2
const stateHistoryMs = 4000

export interface EngineStream {
  readonly prefixHash: string
  readonly tokenCount: number
  /** Higher goes first in the engine's queue. */
  readonly priority: number
  /** The stream got its slot. */
  onStart (): void
  onFirstToken (tokenIntervalMs: number, isPrefixHit: boolean): void
  onEnd (): void
  /** The group was lost. */
  onLost (): void
}

export interface EngineLoad {
  readonly atMs: number
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  readonly tokenIntervalMs: number
}

/** A group of engines with slots, a queue by priority, a prefix cache and a load report that lags. */
export interface FakeEngineGroup {
  readonly groupId: string
  readonly availabilityZone: string
  readonly slotCount: number
  /** Factor on the time between tokens. */
  slowdown: number
  readonly isLost: boolean
  /** Ends all streams and serves nothing from now on. */
  lose (): void
  /** Starts or queues a stream; false when the queue is full. */
  start (stream: EngineStream): boolean
  cancel (stream: EngineStream): void
  getLoad (lagMs: number): EngineLoad
}

/** Creates an idle group. */
export function createFakeEngineGroup (timers: TimerService, groupId: string, availabilityZone: string, slotCount: number): FakeEngineGroup {
  const active = new Map<EngineStream, { cancel (): void }>()
  let queued: EngineStream[] = []
  const cachedPrefixes = new Set<string>()
  let loads: EngineLoad[] = []

  function getTokenIntervalMs (): number {
    return idleTokenIntervalMs * group.slowdown * (1 + batchSlowdown * active.size / slotCount)
  }

  function noteLoad (): void {
    const atMs = timers.nowMs()
    loads.push({ atMs, activeStreamCount: active.size, queuedStreamCount: queued.length, tokenIntervalMs: getTokenIntervalMs() })
    if ((loads[0]?.atMs ?? 0) < atMs - 2 * stateHistoryMs) loads = loads.filter(load => load.atMs >= atMs - stateHistoryMs)
  }

  /** Marks the prefix as used last; returns whether it was cached. */
  function touchPrefix (prefixHash: string): boolean {
    const isHit = cachedPrefixes.delete(prefixHash)
    cachedPrefixes.add(prefixHash)
    const [oldest] = cachedPrefixes
    if (cachedPrefixes.size > cachedPrefixCount && oldest !== undefined) cachedPrefixes.delete(oldest)
    return isHit
  }

  function activate (stream: EngineStream): void {
    stream.onStart()
    const isHit = touchPrefix(stream.prefixHash)
    active.set(stream, { cancel: () => {} })
    const tokenIntervalMs = getTokenIntervalMs()
    const firstTokenMs = (isHit ? cachedPrefillMs : uncachedPrefillMs) * group.slowdown + tokenIntervalMs
    const first = timers.subscribeOnce(firstTokenMs, () => {
      stream.onFirstToken(tokenIntervalMs, isHit)
      active.set(stream, timers.subscribeOnce(tokenIntervalMs * (stream.tokenCount - 1), () => end(stream)))
    })
    active.set(stream, first)
    noteLoad()
  }

  function end (stream: EngineStream): void {
    active.delete(stream)
    startQueued()
    stream.onEnd()
  }

  function startQueued (): void {
    while (queued.length > 0 && active.size < slotCount) {
      const highest = Math.max(...queued.map(stream => stream.priority))
      const next = queued.find(stream => stream.priority === highest)
      if (next === undefined) return
      queued = queued.filter(stream => stream !== next)
      activate(next)
    }
    noteLoad()
  }

  let isLost = false
  const group: FakeEngineGroup = {
    groupId,
    availabilityZone,
    slotCount,
    slowdown: 1,
    get isLost () {
      return isLost
    },
    lose () {
      isLost = true
      const lost = [...active.keys(), ...queued]
      for (const subscription of active.values()) subscription.cancel()
      active.clear()
      queued = []
      for (const stream of lost) stream.onLost()
    },
    start (stream) {
      if (isLost) return false
      if (active.size < slotCount) {
        activate(stream)
        return true
      }
      if (queued.length >= queuedPerSlot * slotCount) return false
      queued.push(stream)
      noteLoad()
      return true
    },
    cancel (stream) {
      active.get(stream)?.cancel()
      active.delete(stream)
      queued = queued.filter(candidate => candidate !== stream)
      startQueued()
    },
    getLoad (lagMs) {
      const seenAtMs = timers.nowMs() - lagMs
      return loads.findLast(load => load.atMs <= seenAtMs) ??
        { atMs: 0, activeStreamCount: 0, queuedStreamCount: 0, tokenIntervalMs: idleTokenIntervalMs * group.slowdown }
    }
  }
  return group
}
