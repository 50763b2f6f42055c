import { recentEventMs, type ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { Logger } from '../observability/log.js'
import type { NetworkAddress } from '../shared/network-address.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'
import { createLoadReportSocket } from '../transport/load-report-socket.js'
import type { GatewaySettings } from './gateway-settings.js'

export interface LoadSharingOptions {
  readonly settings: GatewaySettings
  readonly timers: TimerService
  readonly logger: Logger
  readonly loads: ReplicaLoads
  /** Gateways that get this one's reports by datagram. */
  listPeers (): readonly NetworkAddress[]
  /** The gateway that plans the groups; undefined when it is this one or none is known. */
  findPlanner (): NetworkAddress | undefined
  /** The streams of a group give no events, here or at another gateway. */
  onQuiet (replicaId: string): void
}

/** Time between two reports for each gateway that gets them, so that traffic stays linear in their number. */
const intervalPerPeerMs = 15
const minIntervalMs = 100
/** How often the own streams are looked at; a group that falls quiet is told to the planner at once. */
const quietCheckIntervalMs = 60
/** A report that says the same as the last one is sent only this often. */
const repeatIntervalMs = 1000

/** Creates the exchange of load reports with the other gateways. */
export function createLoadSharing ({ settings, timers, logger, loads, listPeers, findPlanner, onQuiet }: LoadSharingOptions) {
  let timer: TimerSubscription | undefined
  let quietTimer: TimerSubscription | undefined
  let toldQuiet = new Set<string>()
  let lastContent = ''
  let lastSentAtMs = -Infinity
  const datagrams = createLoadReportSocket({
    address: settings.peerAddress,
    onReport (report) {
      loads.applyReport(report)
      for (const replicaId of report.stalledIds) {
        if (loads.hasRecentEvent(replicaId, recentEventMs)) continue
        if (!loads.isStalled(replicaId)) loads.markStalled(replicaId)
        onQuiet(replicaId)
      }
      report.quietIds.forEach(onQuiet)
    },
    onError: reason => logger.debug('A load report was not usable.', { reason })
  })

  function send (): void {
    schedule()
    const peers = listPeers()
    if (peers.length === 0) return
    const report = loads.createReport(settings.nodeId)
    const content = JSON.stringify([report.streamCounts, report.stalledIds, report.quietIds])
    const nowMs = timers.nowMs()
    if (content !== lastContent || nowMs - lastSentAtMs >= repeatIntervalMs) {
      lastContent = content
      lastSentAtMs = nowMs
      datagrams.send(report, peers)
    }
  }

  function checkQuiet (): void {
    const quietIds = loads.listLocallyQuiet()
    const isNew = quietIds.some(replicaId => !toldQuiet.has(replicaId))
    toldQuiet = new Set(quietIds)
    quietIds.forEach(onQuiet)
    const planner = isNew ? findPlanner() : undefined
    // The counts reach the planner on their usual way.
    if (planner !== undefined) datagrams.send({ ...loads.createOwnReport(settings.nodeId), streamCounts: {} }, [planner])
  }

  function schedule (): void {
    timer = timers.subscribeOnce(Math.max(minIntervalMs, listPeers().length * intervalPerPeerMs), send)
  }

  return {
    async start (): Promise<void> {
      await datagrams.start()
      schedule()
      quietTimer = timers.subscribeEvery(quietCheckIntervalMs, checkQuiet)
    },
    stop (): void {
      timer?.cancel()
      quietTimer?.cancel()
      datagrams.stop()
    }
  }
}
