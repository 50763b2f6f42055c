import type { TimerService } from '../../shared/timer-service.js'

const cachedPrefixCount = 12
const cachedPrefillMs = 40
const uncachedPrefillMs = 240
const idleTokenIntervalMs = 18
/** Relative increase of the time between tokens when all slots are in use. */
const batchSlowdown = 0.5
const maxQueuedPerSlot = 2
/** Must exceed the longest lag with which the load is read. */
const loadHistoryMs = 4000

/** A stream of tokens that a group serves. */
export interface EngineStream {
  readonly prefixHash: string
  readonly tokenCount: number
  /** Streams with a higher priority leave the engine's queue first. */
  readonly priority: number
  /** Called when the stream gets a slot. */
  onStart (): void
  onFirstToken (tokenIntervalMs: number, isPrefixHit: boolean): void
  onEnd (): void
  /** Called when the group is lost. */
  onLost (): void
}

/** Load of a group at a time. */
export interface EngineLoad {
  readonly atMs: number
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  readonly tokenIntervalMs: number
}

/** Simulated group of engines with slots, a priority queue, a prefix cache and delayed load reports. */
export interface FakeEngineGroup {
  readonly groupId: string
  readonly availabilityZone: string
  readonly slotCount: number
  /** Factor on the prefill time and the time between tokens. */
  slowdown: number
  readonly isLost: boolean
  /** Ends all streams and rejects new ones. */
  lose (): void
  /** Starts or queues a stream; returns false when the queue is full or the group is lost. */
  start (stream: EngineStream): boolean
  cancel (stream: EngineStream): void
  /** Returns the load as it was `lagMs` ago. */
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

  function recordLoad (): void {
    const atMs = timers.nowMs()
    loads.push({ atMs, activeStreamCount: active.size, queuedStreamCount: queued.length, tokenIntervalMs: getTokenIntervalMs() })
    if ((loads[0]?.atMs ?? 0) < atMs - 2 * loadHistoryMs) loads = loads.filter(load => load.atMs >= atMs - loadHistoryMs)
  }

  /** Makes the prefix the most recently used one in the cache; returns whether it was cached. */
  function usePrefix (prefixHash: string): boolean {
    const isHit = cachedPrefixes.delete(prefixHash)
    cachedPrefixes.add(prefixHash)
    const [oldest] = cachedPrefixes
    if (cachedPrefixes.size > cachedPrefixCount && oldest !== undefined) cachedPrefixes.delete(oldest)
    return isHit
  }

  function activate (stream: EngineStream): void {
    stream.onStart()
    const isHit = usePrefix(stream.prefixHash)
    active.set(stream, { cancel: () => {} })
    const tokenIntervalMs = getTokenIntervalMs()
    const firstTokenMs = (isHit ? cachedPrefillMs : uncachedPrefillMs) * group.slowdown + tokenIntervalMs
    const firstToken = timers.subscribeOnce(firstTokenMs, () => {
      stream.onFirstToken(tokenIntervalMs, isHit)
      active.set(stream, timers.subscribeOnce(tokenIntervalMs * (stream.tokenCount - 1), () => end(stream)))
    })
    active.set(stream, firstToken)
    recordLoad()
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
    recordLoad()
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
      if (queued.length >= maxQueuedPerSlot * slotCount) return false
      queued.push(stream)
      recordLoad()
      return true
    },
    cancel (stream) {
      active.get(stream)?.cancel()
      active.delete(stream)
      queued = queued.filter(candidate => candidate !== stream)
      startQueued()
    },
    getLoad (lagMs) {
      const reportedAtMs = timers.nowMs() - lagMs
      return loads.findLast(load => load.atMs <= reportedAtMs) ??
        { atMs: 0, activeStreamCount: 0, queuedStreamCount: 0, tokenIntervalMs: idleTokenIntervalMs * group.slowdown }
    }
  }
  return group
}
