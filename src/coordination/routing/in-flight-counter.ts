import type { TimerService } from '../../shared/timer-service.js'

interface CountSample {
  readonly atMs: number
  readonly streamCount: number
}

interface GroupCounts {
  readonly countByPartner: Map<string, number>
  streamCount: number
  /** Total after each change within the history window, oldest first; the first one may precede the window. */
  samples: CountSample[]
}

/** Counts the streams that this node has in flight, by group and partner. */
export interface InFlightCounter {
  /** Adds or removes one stream. */
  add (groupId: string, partner: string, change: 1 | -1): void
  getCount (groupId: string, partner: string): number
  getTotal (groupId: string): number
  /** Total at an earlier monotonic time within `historyMs`; 0 if no change is known up to that time. */
  getTotalAt (groupId: string, atMs: number): number
  getPartners (groupId: string): readonly string[]
}

/** Creates an empty counter that keeps its earlier totals for `historyMs`. */
export function createInFlightCounter (timers: TimerService, historyMs: number): InFlightCounter {
  const groups = new Map<string, GroupCounts>()

  function removeIdleGroups (): void {
    const oldestMs = timers.nowMs() - historyMs
    for (const [groupId, counts] of groups) {
      const lastChangeMs = counts.samples.at(-1)?.atMs ?? 0
      if (counts.streamCount === 0 && lastChangeMs < oldestMs) groups.delete(groupId)
    }
  }

  function getOrCreate (groupId: string): GroupCounts {
    const existing = groups.get(groupId)
    if (existing !== undefined) return existing
    removeIdleGroups()
    const created: GroupCounts = { countByPartner: new Map(), streamCount: 0, samples: [] }
    groups.set(groupId, created)
    return created
  }

  function recordSample (counts: GroupCounts): void {
    const nowMs = timers.nowMs()
    const oldestMs = nowMs - historyMs
    const firstKept = counts.samples.findIndex(sample => sample.atMs >= oldestMs)
    if (firstKept > 1) counts.samples = counts.samples.slice(firstKept - 1)
    if (firstKept === -1) counts.samples = counts.samples.slice(-1)
    counts.samples.push({ atMs: nowMs, streamCount: counts.streamCount })
  }

  return {
    add (groupId, partner, change) {
      const counts = getOrCreate(groupId)
      const count = (counts.countByPartner.get(partner) ?? 0) + change
      if (count > 0) counts.countByPartner.set(partner, count)
      else counts.countByPartner.delete(partner)
      counts.streamCount += change
      recordSample(counts)
    },
    getCount: (groupId, partner) => groups.get(groupId)?.countByPartner.get(partner) ?? 0,
    getTotal: groupId => groups.get(groupId)?.streamCount ?? 0,
    getTotalAt (groupId, atMs) {
      const samples = groups.get(groupId)?.samples ?? []
      const earlier = samples.findLast(sample => sample.atMs <= atMs)
      return earlier?.streamCount ?? 0
    },
    getPartners: groupId => [...groups.get(groupId)?.countByPartner.keys() ?? []]
  }
}
