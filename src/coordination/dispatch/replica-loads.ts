import type { TimerService } from '../../shared/timer-service.js'

/** One gateway's streams in progress by group, and the groups that it sees stalled. */
export interface LoadReport {
  readonly nodeId: string
  readonly sequence: number
  readonly streamCounts: Readonly<Record<string, number>>
  readonly stalledIds: readonly string[]
}

/** Streams in progress on each group, of this gateway and of the others as last reported. */
export interface ReplicaLoads {
  begin (replicaId: string): void
  end (replicaId: string): void
  /** Whether any gateway has reported a stream. */
  hasAny (): boolean
  /** Streams of all gateways. */
  getCount (replicaId: string): number
  /** An event of one of the group's streams arrived. */
  noteProgress (replicaId: string): void
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
  let sequence = 0

  function isStalled (replicaId: string): boolean {
    return (stalledUntilMs.get(replicaId) ?? 0) > timers.nowMs()
  }

  return {
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
    hasProgressed: (replicaId, withinMs) => timers.nowMs() - (progressedAtMs.get(replicaId) ?? -Infinity) <= withinMs,
    markStalled (replicaId) {
      stalledUntilMs.set(replicaId, timers.nowMs() + stalledMs)
    },
    isStalled,
    createReport (nodeId) {
      sequence += 1
      for (const id of [...stalledUntilMs.keys()]) {
        if (!isStalled(id)) stalledUntilMs.delete(id)
      }
      return { nodeId, sequence, streamCounts: Object.fromEntries(own), stalledIds: [...stalledUntilMs.keys()] }
    },
    takeReport (report) {
      const last = peers.get(report.nodeId)
      const isOld = last !== undefined && report.sequence <= last.report.sequence && timers.nowMs() - last.arrivedAtMs < reportMaxAgeMs
      if (!isOld) peers.set(report.nodeId, { report, arrivedAtMs: timers.nowMs() })
    }
  }
}
