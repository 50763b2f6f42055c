import type { TimerService } from '../../shared/timer-service.js'

/** Streams in progress by group, and the groups that are seen stalled: of one gateway, or of several by way of one. */
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
  beginStream (replicaId: string): void
  endStream (replicaId: string): void
  /** Whether any gateway has reported a stream. */
  hasAnyStream (): boolean
  /** Streams of this gateway. */
  getLocalStreamCount (replicaId: string): number
  /** Streams of all gateways. */
  getStreamCount (replicaId: string): number
  /** An event of one of the group's streams arrived. */
  recordEvent (replicaId: string): void
  /** One of the group's streams has begun to give events, or has ended after that. */
  beginActiveStream (replicaId: string): void
  endActiveStream (replicaId: string): void
  /** Whether the group's streams, here or at another gateway, give no events for longer than a working group's. */
  isQuiet (replicaId: string): boolean
  /** Groups whose streams here give no events for longer than a working group's. */
  listLocallyQuiet (): string[]
  /** Whether one of the group's streams gave an event within this time. */
  hasRecentEvent (replicaId: string, withinMs: number): boolean
  /** Marks a group whose streams stand still; it gets no new ones for a while. */
  markStalled (replicaId: string): void
  isStalled (replicaId: string): boolean
  /** This gateway's own part, for the relay that it asks. */
  createOwnReport (nodeId: string): LoadReport
  /** This gateway's part and that of the gateways that rely on it, for the others. */
  createReport (nodeId: string): LoadReport
  /** All that is known but the part of the gateway that asks. */
  createTotalReport (askingNodeId: string): LoadReport
  applyReport (report: LoadReport): void
  /** Takes the report of a gateway that relies on this one. */
  applyDependentReport (report: LoadReport): void
}

/** A gateway that was not heard of for this long has no streams in the sum. */
const reportMaxAgeMs = 2500
/** A group that gave an event this recently is not stalled; its steps take some ten milliseconds. */
export const recentEventMs = 300
/** Pauses of a working group stay below this; it reads up to 12,000 prompt tokens between two events. */
const quietMs = 220
const quietReportMaxAgeMs = 600
/** Groups of the past whose progress is remembered. */
const maxRememberedCount = 500
/** A stalled group is tried again after this time unless it was replaced. */
const stalledMs = 5500

interface ArrivedReport {
  readonly report: LoadReport
  readonly arrivedAtMs: number
}

/** Name under which a relay's total is kept; the next relay's takes its place. */
export const totalNodeId = 'total'

/** Creates an empty record. */
export function createReplicaLoads (timers: TimerService): ReplicaLoads {
  const own = new Map<string, number>()
  const peers = new Map<string, ArrivedReport>()
  const dependents = new Map<string, ArrivedReport>()
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

  function listQuietHere (): string[] {
    return [...flowCounts.keys()].filter(isQuietHere)
  }

  function listStalled (): string[] {
    for (const id of [...stalledUntilMs.keys()]) {
      if (!isStalled(id)) stalledUntilMs.delete(id)
    }
    return [...stalledUntilMs.keys()]
  }

  function addFlow (replicaId: string, change: number): void {
    const count = (flowCounts.get(replicaId) ?? 0) + change
    if (count > 0) flowCounts.set(replicaId, count)
    else flowCounts.delete(replicaId)
  }

  function listRecent (reports: ReadonlyMap<string, ArrivedReport>, maxAgeMs: number): LoadReport[] {
    return [...reports.values()].filter(({ arrivedAtMs }) => timers.nowMs() - arrivedAtMs <= maxAgeMs).map(({ report }) => report)
  }

  function createOwnReport (nodeId: string): LoadReport {
    sequence += 1
    return { nodeId, sequence, streamCounts: Object.fromEntries(own), stalledIds: listStalled(), quietIds: listQuietHere() }
  }

  /** Adds the counts of the reports, and the quiet groups of those that are recent enough. */
  function addReports (base: LoadReport, reports: readonly LoadReport[], recent: readonly LoadReport[]): LoadReport {
    const streamCounts: Record<string, number> = { ...base.streamCounts }
    for (const report of reports) {
      for (const [id, count] of Object.entries(report.streamCounts)) streamCounts[id] = (streamCounts[id] ?? 0) + count
    }
    return { ...base, streamCounts, quietIds: [...new Set([...base.quietIds, ...recent.flatMap(report => report.quietIds)])] }
  }

  function take (reports: Map<string, ArrivedReport>, report: LoadReport): void {
    const last = reports.get(report.nodeId)
    const isOld = last !== undefined && report.sequence <= last.report.sequence && timers.nowMs() - last.arrivedAtMs < reportMaxAgeMs
    if (!isOld) reports.set(report.nodeId, { report, arrivedAtMs: timers.nowMs() })
  }

  return {
    beginActiveStream: replicaId => addFlow(replicaId, 1),
    endActiveStream: replicaId => addFlow(replicaId, -1),
    isQuiet (replicaId) {
      if (flowCounts.has(replicaId)) return isQuietHere(replicaId)
      return [peers, dependents].some(reports => listRecent(reports, quietReportMaxAgeMs).some(report => report.quietIds.includes(replicaId)))
    },
    beginStream (replicaId) {
      own.set(replicaId, (own.get(replicaId) ?? 0) + 1)
    },
    endStream (replicaId) {
      const count = (own.get(replicaId) ?? 0) - 1
      if (count > 0) {
        own.set(replicaId, count)
        return
      }
      own.delete(replicaId)
      if (progressedAtMs.size > maxRememberedCount) progressedAtMs.clear()
    },
    hasAnyStream: () => own.size > 0 || [peers, dependents].some(reports => [...reports.values()].some(({ report }) => Object.keys(report.streamCounts).length > 0)),
    getLocalStreamCount: replicaId => own.get(replicaId) ?? 0,
    getStreamCount (replicaId) {
      const reports = [...listRecent(peers, reportMaxAgeMs), ...listRecent(dependents, reportMaxAgeMs)]
      return reports.reduce((sum, report) => sum + (report.streamCounts[replicaId] ?? 0), own.get(replicaId) ?? 0)
    },
    recordEvent (replicaId) {
      progressedAtMs.set(replicaId, timers.nowMs())
      stalledUntilMs.delete(replicaId)
    },
    listLocallyQuiet: listQuietHere,
    hasRecentEvent: hasProgressed,
    markStalled (replicaId) {
      stalledUntilMs.set(replicaId, timers.nowMs() + stalledMs)
    },
    isStalled,
    createOwnReport,
    createReport: nodeId =>
      addReports(createOwnReport(nodeId), listRecent(dependents, reportMaxAgeMs), listRecent(dependents, quietReportMaxAgeMs)),
    createTotalReport (askingNodeId) {
      const isOther = (report: LoadReport) => report.nodeId !== askingNodeId
      const list = (maxAgeMs: number) => [...listRecent(peers, maxAgeMs), ...listRecent(dependents, maxAgeMs)].filter(isOther)
      return addReports(createOwnReport(totalNodeId), list(reportMaxAgeMs), list(quietReportMaxAgeMs))
    },
    applyReport: report => take(peers, report),
    applyDependentReport: report => take(dependents, report)
  }
}
