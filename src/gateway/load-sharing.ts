import { aliveMs, type ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { Logger } from '../observability/log.js'
import type { NetworkAddress } from '../shared/network-address.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'
import { createLoadDatagrams } from '../transport/load-datagrams.js'
import type { GatewaySettings } from './gateway-settings.js'
import type { Presence } from './presence.js'

export interface LoadSharingOptions {
  readonly settings: GatewaySettings
  readonly timers: TimerService
  readonly logger: Logger
  readonly loads: ReplicaLoads
  readonly presence: Presence
  /** The gateway that plans the groups; undefined when it is this one or none is known. */
  findPlanner (): NetworkAddress | undefined
  /** The streams of a group give no events, here or at another gateway. */
  onQuiet (replicaId: string): void
}

/** Time between two reports to the same peers for each gateway in the list, so that traffic stays linear in it. */
const intervalPerGatewayMs = 15
const minIntervalMs = 100
/** How often the own streams are looked at; a group that falls quiet is told to the planner at once. */
const quietCheckIntervalMs = 60
/** A report that says the same as the last one is sent only this often. */
const repeatIntervalMs = 1000

/** Creates the exchange of load reports with the other gateways. */
export function createLoadSharing ({ settings, timers, logger, loads, presence, findPlanner, onQuiet }: LoadSharingOptions) {
  let timer: TimerSubscription | undefined
  let quietTimer: TimerSubscription | undefined
  let toldQuiet = new Set<string>()
  let lastContent = ''
  let lastSentAtMs = -Infinity
  const datagrams = createLoadDatagrams({
    address: settings.peerAddress,
    onReport (report) {
      loads.takeReport(report)
      for (const replicaId of report.stalledIds) {
        if (loads.hasProgressed(replicaId, aliveMs)) continue
        if (!loads.isStalled(replicaId)) loads.markStalled(replicaId)
        onQuiet(replicaId)
      }
      report.quietIds.forEach(onQuiet)
    },
    onError: reason => logger.debug('A load report was not usable.', { reason })
  })

  function send (): void {
    const report = loads.createReport(settings.nodeId)
    const content = JSON.stringify([report.streamCounts, report.stalledIds, report.quietIds])
    const nowMs = timers.nowMs()
    if (content !== lastContent || nowMs - lastSentAtMs >= repeatIntervalMs) {
      lastContent = content
      lastSentAtMs = nowMs
      datagrams.send(report, presence.listPeers())
    }
    schedule()
  }

  function checkQuiet (): void {
    const quietIds = loads.listQuietHere()
    const isNew = quietIds.some(replicaId => !toldQuiet.has(replicaId))
    toldQuiet = new Set(quietIds)
    quietIds.forEach(onQuiet)
    const planner = isNew ? findPlanner() : undefined
    if (planner !== undefined) datagrams.send(loads.createReport(settings.nodeId), [planner])
  }

  function schedule (): void {
    timer = timers.subscribeOnce(Math.max(minIntervalMs, presence.countGateways() * intervalPerGatewayMs), send)
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
