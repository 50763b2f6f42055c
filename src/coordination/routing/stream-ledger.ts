import type { TimerService } from '../../shared/timer-service.js'

interface CountSample {
  readonly atMs: number
  readonly streamCount: number
}

interface GroupStreams {
  readonly countByPartner: Map<string, number>
  streamCount: number
  /** Total after each change within the kept history, oldest first. */
  samples: CountSample[]
}

/** Counts the streams that this node has in flight, by group and partner. */
export interface StreamLedger {
  add (groupId: string, partner: string, change: 1 | -1): void
  getCount (groupId: string, partner: string): number
  getTotal (groupId: string): number
  /** Total at an earlier time; the oldest known one when the time lies before the history. */
  getTotalAt (groupId: string, atMs: number): number
  getPartners (groupId: string): readonly string[]
}

/** Creates an empty ledger that remembers its totals for the given time. */
export function createStreamLedger (timers: TimerService, historyMs: number): StreamLedger {
  const groups = new Map<string, GroupStreams>()

  function removeIdle (): void {
    const oldestMs = timers.nowMs() - historyMs
    for (const [groupId, streams] of groups) {
      const lastChangeMs = streams.samples.at(-1)?.atMs ?? 0
      if (streams.streamCount === 0 && lastChangeMs < oldestMs) groups.delete(groupId)
    }
  }

  function getOrCreate (groupId: string): GroupStreams {
    const existing = groups.get(groupId)
    if (existing !== undefined) return existing
    removeIdle()
    const created: GroupStreams = { countByPartner: new Map(), streamCount: 0, samples: [] }
    groups.set(groupId, created)
    return created
  }

  function record (streams: GroupStreams): void {
    const nowMs = timers.nowMs()
    const oldestMs = nowMs - historyMs
    const firstKept = streams.samples.findIndex(sample => sample.atMs >= oldestMs)
    if (firstKept > 1) streams.samples = streams.samples.slice(firstKept - 1)
    if (firstKept === -1) streams.samples = streams.samples.slice(-1)
    streams.samples.push({ atMs: nowMs, streamCount: streams.streamCount })
  }

  return {
    add (groupId, partner, change) {
      const streams = getOrCreate(groupId)
      const count = (streams.countByPartner.get(partner) ?? 0) + change
      if (count > 0) streams.countByPartner.set(partner, count)
      else streams.countByPartner.delete(partner)
      streams.streamCount += change
      record(streams)
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
