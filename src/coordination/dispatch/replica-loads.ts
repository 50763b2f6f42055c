import type { TimerService } from '../../shared/timer-service.js'
import { mergePaceStatements, mergeTwoStatements, type PaceStatement, type PaceStatements } from '../pace/pace-statement.js'
import { collectDemand, createDemandCollection, type CollectedDemand, type DemandCollection } from '../demand/demand-collection.js'
import { addDemand, type DemandReport } from '../demand/demand-report.js'
import { sumModelUses, sumReportedUses, type ModelUses, type ReportedUses } from '../scarcity/class-uses.js'

/** What one gateway, or a relay for several gateways, reports on the replicas. */
export interface LoadReport {
  readonly nodeId: string
  /** Increases with each report of the node. */
  readonly sequence: number
  /** Streams in flight by replica ID; a relay adds up those of the gateways that it reports for. */
  readonly streamCounts: Readonly<Record<string, number>>
  /** Replicas that are marked as stalled at the reporting gateway. */
  readonly stalledIds: readonly string[]
  /** Replicas whose streams have paused for longer than a working replica, at any of the gateways. */
  readonly quietIds: readonly string[]
  /**
   * Servers that announced at the reporting gateway that they are leaving: the start times of their processes by server
   * ID. Sent to the planner only.
   */
  readonly leavingServers?: Readonly<Record<string, number>> | undefined
  /** Replicas below their full stream limit, or slow, by the gateways' own attempts; missing where pacing is off. */
  readonly pace?: PaceStatements | undefined
  /** Demand at the gateways that the report covers; missing from gateways of earlier releases and from relays' totals, which the planner does not use. */
  readonly demand?: DemandReport | undefined
  /** Slots that the classes of calls asked for; missing in reports of earlier releases. */
  readonly uses?: ReportedUses | undefined
}

/**
 * Streams in flight, events and stalls of the replicas: of this gateway, and of the others as last reported. A stream is
 * active from its first event on.
 */
export interface ReplicaLoads {
  beginStream (replicaId: string): void
  endStream (replicaId: string): void
  /** Whether this gateway has a stream or any gateway has reported one. */
  hasAnyStream (): boolean
  /** Streams of this gateway on the replica. */
  getLocalStreamCount (replicaId: string): number
  /** Streams of all gateways on the replica. */
  getStreamCount (replicaId: string): number
  /** Records an event of one of the replica's streams. */
  recordEvent (replicaId: string): void
  /** A stream of the replica delivered its first event; `endActiveStream` follows when that stream ends. */
  beginActiveStream (replicaId: string): void
  endActiveStream (replicaId: string): void
  /** Whether the replica's streams have paused for longer than a working replica: by this gateway's active streams if there are any, otherwise by recent reports. */
  isQuiet (replicaId: string): boolean
  /** Replicas that are quiet by this gateway's own streams. */
  listLocallyQuiet (): string[]
  /** Whether one of the replica's streams delivered an event within this time. */
  hasRecentEvent (replicaId: string, withinMs: number): boolean
  /** Marks a replica whose streams make no progress; it gets no new streams until the hold time passes or an event arrives. */
  markStalled (replicaId: string): void
  /** The same for a replica that another gateway has reported. Such a mark is not reported again, or marks would renew each other. */
  markReportedStalled (replicaId: string): void
  isStalled (replicaId: string): boolean
  /** The lowest recent statement of other gateways on the pace of the replica. */
  getPaceStatement (replicaId: string): PaceStatement | undefined
  /** Uses of the model's slots by the calls of all gateways, as last reported. */
  getModelUses (modelKey: string): ModelUses
  /** Reports this gateway's own streams, for the relay that serves it. */
  createOwnReport (nodeId: string): LoadReport
  /** Reports the streams of this gateway and of those that use it as their relay, for the other relays. */
  createReport (nodeId: string): LoadReport
  /** Reports the streams of all gateways except the asking one. */
  createTotalReport (askingNodeId: string): LoadReport
  applyReport (report: LoadReport): void
  /** Applies the report of a gateway that uses this one as its relay. */
  applyDependentReport (report: LoadReport): void
  /** Gateways that use this one as their relay, by their recent reports. */
  listDependentIds (): string[]
  /** Demand at this gateway and at those whose reports have arrived. */
  getDemand (): CollectedDemand
}

/** Reports older than this are left out of the counts. */
const reportMaxAgeMs = 2500
/** The uses of a model's slots are means over seconds; adding them up for each call would cost a relay more than the choice itself. */
const reportedUsesMaxAgeMs = 50
/** A replica with an event this recent is not stalled; one engine step takes about 10 ms. */
export const recentEventMs = 300
/** A working replica pauses for less than this between two events, even while it processes 12,000 prompt tokens. */
const quietAfterMs = 220
const quietReportMaxAgeMs = 600
/** Above this number of replicas, event times that no longer count are dropped: replicas that are gone are not removed one by one. */
const maxEventTimeCount = 500
/** Longer than any time within which an event is asked for, see `hasRecentEvent`. */
const eventTimeRetentionMs = 10_000
/** A stalled replica gets new streams again after this time: longer than a sound server's silence and than the planner takes to see a lost one. */
const stalledHoldMs = 2500

interface ReceivedReport {
  readonly report: LoadReport
  readonly receivedAtMs: number
}

/** Node ID under which a relay's total is stored; the next relay's total replaces it. */
export const totalNodeId = 'total'

/** What this gateway states in its reports besides its own streams. */
export interface OwnStatements {
  /** Pace of replicas, by its own attempts. */
  listPace? (): PaceStatements | undefined
  /** Its own demand. */
  createDemandReport? (): DemandReport
  /** Slots that the classes of its calls asked for. */
  createUses? (): ReportedUses
}

const noDemand: DemandReport = { gatewayCount: 1, services: {} }

/** Creates the record with no streams and no reports. */
export function createReplicaLoads (timers: TimerService, { listPace = () => undefined, createDemandReport = () => noDemand, createUses }: OwnStatements = {}): ReplicaLoads {
  const localCounts = new Map<string, number>()
  let reportedUses: { readonly uses: ReportedUses | undefined, readonly atMs: number } | undefined
  const peers = new Map<string, ReceivedReport>()
  const relayedReports = new Map<string, ReceivedReport>()
  // Kept apart from the reports, since a report that is sent to the planner at once has no demand.
  const peerDemand = createDemandCollection(timers)
  const relayedDemand = createDemandCollection(timers)
  const stalledUntilMs = new Map<string, number>()
  const reportedStalledUntilMs = new Map<string, number>()
  const lastEventAtMs = new Map<string, number>()
  const activeCounts = new Map<string, number>()
  let sequence = 0

  function isStalled (replicaId: string): boolean {
    return Math.max(stalledUntilMs.get(replicaId) ?? 0, reportedStalledUntilMs.get(replicaId) ?? 0) > timers.nowMs()
  }

  function hasRecentEvent (replicaId: string, withinMs: number): boolean {
    return timers.nowMs() - (lastEventAtMs.get(replicaId) ?? -Infinity) <= withinMs
  }

  function dropOldEventTimes (): void {
    for (const [replicaId, atMs] of lastEventAtMs) {
      if (timers.nowMs() - atMs > eventTimeRetentionMs) lastEventAtMs.delete(replicaId)
    }
  }

  function isLocallyQuiet (replicaId: string): boolean {
    return activeCounts.has(replicaId) && !hasRecentEvent(replicaId, quietAfterMs)
  }

  function listLocallyQuiet (): string[] {
    return [...activeCounts.keys()].filter(isLocallyQuiet)
  }

  function listStalled (): string[] {
    for (const marks of [stalledUntilMs, reportedStalledUntilMs]) {
      for (const [id, untilMs] of marks) {
        if (untilMs <= timers.nowMs()) marks.delete(id)
      }
    }
    return [...stalledUntilMs.keys()]
  }

  function changeActiveCount (replicaId: string, change: number): void {
    const count = (activeCounts.get(replicaId) ?? 0) + change
    if (count > 0) activeCounts.set(replicaId, count)
    else activeCounts.delete(replicaId)
  }

  function listRecent (reports: ReadonlyMap<string, ReceivedReport>, maxAgeMs: number): LoadReport[] {
    return [...reports.values()].filter(({ receivedAtMs }) => timers.nowMs() - receivedAtMs <= maxAgeMs).map(({ report }) => report)
  }

  function createOwnReport (nodeId: string): LoadReport {
    sequence += 1
    const pace = listPace()
    const report = { nodeId, sequence, streamCounts: Object.fromEntries(localCounts), stalledIds: listStalled(), quietIds: listLocallyQuiet(), demand: createDemandReport(), uses: createUses?.() }
    return pace === undefined ? report : { ...report, pace }
  }

  /** Adds the stream counts of `reports` and the quiet replicas of `recent` to a report. */
  function addReports (base: LoadReport, reports: readonly LoadReport[], recent: readonly LoadReport[]): LoadReport {
    const streamCounts: Record<string, number> = { ...base.streamCounts }
    for (const report of reports) {
      for (const [id, count] of Object.entries(report.streamCounts)) streamCounts[id] = (streamCounts[id] ?? 0) + count
    }
    const pace = mergePaceStatements([base.pace, ...reports.map(report => report.pace)])
    const uses = sumReportedUses([base, ...reports].map(report => report.uses))
    const merged = { ...base, streamCounts, quietIds: [...new Set([...base.quietIds, ...recent.flatMap(report => report.quietIds)])], uses }
    return pace === undefined ? merged : { ...merged, pace }
  }

  function storeReport (reports: Map<string, ReceivedReport>, demand: DemandCollection, report: LoadReport): void {
    const last = reports.get(report.nodeId)
    // A gateway that restarted begins again at 1. Its reports count once the last one before has expired.
    const isOutOfOrder = last !== undefined && report.sequence <= last.report.sequence && timers.nowMs() - last.receivedAtMs < reportMaxAgeMs
    if (isOutOfOrder) return
    reports.set(report.nodeId, { report, receivedAtMs: timers.nowMs() })
    if (report.demand !== undefined) demand.record(report.nodeId, report.demand)
  }

  return {
    beginActiveStream: replicaId => changeActiveCount(replicaId, 1),
    endActiveStream: replicaId => changeActiveCount(replicaId, -1),
    isQuiet (replicaId) {
      if (activeCounts.has(replicaId)) return isLocallyQuiet(replicaId)
      return [peers, relayedReports].some(reports => listRecent(reports, quietReportMaxAgeMs).some(report => report.quietIds.includes(replicaId)))
    },
    beginStream (replicaId) {
      localCounts.set(replicaId, (localCounts.get(replicaId) ?? 0) + 1)
    },
    endStream (replicaId) {
      const count = (localCounts.get(replicaId) ?? 0) - 1
      if (count > 0) {
        localCounts.set(replicaId, count)
        return
      }
      localCounts.delete(replicaId)
      if (lastEventAtMs.size > maxEventTimeCount) dropOldEventTimes()
    },
    hasAnyStream: () => localCounts.size > 0 || [peers, relayedReports].some(reports => [...reports.values()].some(({ report }) => Object.keys(report.streamCounts).length > 0)),
    getLocalStreamCount: replicaId => localCounts.get(replicaId) ?? 0,
    getStreamCount (replicaId) {
      let count = localCounts.get(replicaId) ?? 0
      // Asked for each replica at each choice, at relays over the reports of dozens of gateways.
      for (const reports of [peers, relayedReports]) {
        for (const { report, receivedAtMs } of reports.values()) {
          if (timers.nowMs() - receivedAtMs <= reportMaxAgeMs) count += report.streamCounts[replicaId] ?? 0
        }
      }
      return count
    },
    getModelUses (modelKey) {
      if (reportedUses === undefined || timers.nowMs() - reportedUses.atMs > reportedUsesMaxAgeMs) {
        const reports = [...listRecent(peers, reportMaxAgeMs), ...listRecent(relayedReports, reportMaxAgeMs)]
        reportedUses = { uses: sumReportedUses(reports.map(report => report.uses)), atMs: timers.nowMs() }
      }
      return sumModelUses([createUses?.(), reportedUses.uses], modelKey)
    },
    recordEvent (replicaId) {
      lastEventAtMs.set(replicaId, timers.nowMs())
      stalledUntilMs.delete(replicaId)
      reportedStalledUntilMs.delete(replicaId)
    },
    listLocallyQuiet,
    hasRecentEvent,
    markStalled (replicaId) {
      stalledUntilMs.set(replicaId, timers.nowMs() + stalledHoldMs)
    },
    markReportedStalled (replicaId) {
      reportedStalledUntilMs.set(replicaId, timers.nowMs() + stalledHoldMs)
    },
    isStalled,
    getPaceStatement (replicaId) {
      let lowest: PaceStatement | undefined
      // Asked for each replica at each choice.
      for (const reports of [peers, relayedReports]) {
        for (const { report, receivedAtMs } of reports.values()) {
          const statement = report.pace?.[replicaId]
          if (statement === undefined || timers.nowMs() - receivedAtMs > reportMaxAgeMs) continue
          lowest = lowest === undefined ? statement : mergeTwoStatements(lowest, statement)
        }
      }
      return lowest
    },
    createOwnReport,
    createReport (nodeId) {
      const own = createOwnReport(nodeId)
      const demand = addDemand([createDemandReport(), ...relayedDemand.listRecent()])
      return { ...addReports(own, listRecent(relayedReports, reportMaxAgeMs), listRecent(relayedReports, quietReportMaxAgeMs)), demand }
    },
    createTotalReport (askingNodeId) {
      const isOther = (report: LoadReport) => report.nodeId !== askingNodeId
      const list = (maxAgeMs: number) => [...listRecent(peers, maxAgeMs), ...listRecent(relayedReports, maxAgeMs)].filter(isOther)
      return { ...addReports(createOwnReport(totalNodeId), list(reportMaxAgeMs), list(quietReportMaxAgeMs)), demand: undefined }
    },
    applyReport: report => storeReport(peers, peerDemand, report),
    applyDependentReport: report => storeReport(relayedReports, relayedDemand, report),
    listDependentIds: () => listRecent(relayedReports, reportMaxAgeMs).map(({ nodeId }) => nodeId),
    getDemand: () => collectDemand(createDemandReport(), [peerDemand, relayedDemand])
  }
}
