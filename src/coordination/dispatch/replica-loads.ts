import type { TimerService } from '../../shared/timer-service.js'

/** One gateway's streams in progress by group, and the groups that it sees stalled. */
export interface LoadReport {
  readonly nodeId: string
  readonly sequence: number
  readonly streamCounts: Readonly<Record<string, number>>
  readonly stalledIds: readonly string[]
  /** Groups that have given this gateway no event for longer than usual. */
  readonly quietIds: readonly string[]
}

/** Streams in progress on each group, of this gateway and of the others as last reported. */
export interface ReplicaLoads {
  begin (replicaId: string): void
  end (replicaId: string): void
  /** Whether any gateway has reported a stream. */
  hasAny (): boolean
  /** Streams of this gateway. */
  getOwnCount (replicaId: string): number
  /** Streams of all gateways. */
  getCount (replicaId: string): number
  /** An event of one of the group's streams arrived. */
  noteProgress (replicaId: string): void
  /** One of the group's streams has begun to give events, or has ended after that. */
  beginFlow (replicaId: string): void
  endFlow (replicaId: string): void
  /** Whether the group's streams, here or at another gateway, give no events for longer than a working group's. */
  isQuiet (replicaId: string): boolean
  /** Groups whose streams here give no events for longer than a working group's. */
  listQuietHere (): string[]
  /** Whether one of the group's streams gave an event within this time. */
  hasProgressed (replicaId: string, withinMs: number): boolean
  /** Marks a group whose streams stand still; it gets no new ones for a while. */
  markStalled (replicaId: string): void
  isStalled (replicaId: string): boolean
  createReport (nodeId: string): LoadReport
  takeReport (report: LoadReport): void
}

/** A gateway that was not heard of for this long has no streams in the sum. */
const reportMaxAgeMs = 2500
/** A group that gave an event this recently is not stalled; its steps take some ten milliseconds. */
export const aliveMs = 300
/** Pauses of a working group stay below this; it reads up to 12,000 prompt tokens between two events. */
const quietMs = 220
const quietReportMaxAgeMs = 600
/** Groups of the past whose progress is remembered. */
const maxRememberedCount = 500
/** A stalled group is tried again after this time unless it was replaced. */
const stalledMs = 5500

/** Creates an empty record. */
export function createReplicaLoads (timers: TimerService): ReplicaLoads {
  const own = new Map<string, number>()
  const peers = new Map<string, { report: LoadReport, arrivedAtMs: number }>()
  const stalledUntilMs = new Map<string, number>()
  const progressedAtMs = new Map<string, number>()
  const flowCounts = new Map<string, number>()
  let sequence = 0

  function isStalled (replicaId: string): boolean {
    return (stalledUntilMs.get(replicaId) ?? 0) > timers.nowMs()
  }

  function hasProgressed (replicaId: string, withinMs: number): boolean {
    return timers.nowMs() - (progressedAtMs.get(replicaId) ?? -Infinity) <= withinMs
  }

  function isQuietHere (replicaId: string): boolean {
    return flowCounts.has(replicaId) && !hasProgressed(replicaId, quietMs)
  }

  function addFlow (replicaId: string, change: number): void {
    const count = (flowCounts.get(replicaId) ?? 0) + change
    if (count > 0) flowCounts.set(replicaId, count)
    else flowCounts.delete(replicaId)
  }

  return {
    beginFlow: replicaId => addFlow(replicaId, 1),
    endFlow: replicaId => addFlow(replicaId, -1),
    isQuiet (replicaId) {
      if (flowCounts.has(replicaId)) return isQuietHere(replicaId)
      return [...peers.values()].some(({ report, arrivedAtMs }) =>
        timers.nowMs() - arrivedAtMs <= quietReportMaxAgeMs && report.quietIds.includes(replicaId))
    },
    begin (replicaId) {
      own.set(replicaId, (own.get(replicaId) ?? 0) + 1)
    },
    end (replicaId) {
      const count = (own.get(replicaId) ?? 0) - 1
      if (count > 0) {
        own.set(replicaId, count)
        return
      }
      own.delete(replicaId)
      if (progressedAtMs.size > maxRememberedCount) progressedAtMs.clear()
    },
    hasAny: () => own.size > 0 || [...peers.values()].some(peer => Object.keys(peer.report.streamCounts).length > 0),
    getOwnCount: replicaId => own.get(replicaId) ?? 0,
    getCount (replicaId) {
      let count = own.get(replicaId) ?? 0
      for (const { report, arrivedAtMs } of peers.values()) {
        if (timers.nowMs() - arrivedAtMs <= reportMaxAgeMs) count += report.streamCounts[replicaId] ?? 0
      }
      return count
    },
    noteProgress (replicaId) {
      progressedAtMs.set(replicaId, timers.nowMs())
      stalledUntilMs.delete(replicaId)
    },
    listQuietHere: () => [...flowCounts.keys()].filter(isQuietHere),
    hasProgressed,
    markStalled (replicaId) {
      stalledUntilMs.set(replicaId, timers.nowMs() + stalledMs)
    },
    isStalled,
    createReport (nodeId) {
      sequence += 1
      for (const id of [...stalledUntilMs.keys()]) {
        if (!isStalled(id)) stalledUntilMs.delete(id)
      }
      return { nodeId, sequence, streamCounts: Object.fromEntries(own), stalledIds: [...stalledUntilMs.keys()], quietIds: [...flowCounts.keys()].filter(isQuietHere) }
    },
    takeReport (report) {
      const last = peers.get(report.nodeId)
      const isOld = last !== undefined && report.sequence <= last.report.sequence && timers.nowMs() - last.arrivedAtMs < reportMaxAgeMs
      if (!isOld) peers.set(report.nodeId, { report, arrivedAtMs: timers.nowMs() })
    }
  }
}
