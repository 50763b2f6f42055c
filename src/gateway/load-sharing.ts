import { aliveMs, type ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { Logger } from '../observability/log.js'
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
  /** Another gateway sees the streams of a group stand still. */
  onStall (replicaId: string): void
}

/** Time between two reports to the same peers for each gateway in the list, so that traffic stays linear in it. */
const intervalPerGatewayMs = 15
const minIntervalMs = 100
/** A report that says the same as the last one is sent only this often. */
const repeatIntervalMs = 1000

/** Creates the exchange of load reports with the other gateways. */
export function createLoadSharing ({ settings, timers, logger, loads, presence, onStall }: LoadSharingOptions) {
  let timer: TimerSubscription | undefined
  let lastContent = ''
  let lastSentAtMs = -Infinity
  const datagrams = createLoadDatagrams({
    address: settings.peerAddress,
    onReport (report) {
      loads.takeReport(report)
      for (const replicaId of report.stalledIds) {
        if (loads.hasProgressed(replicaId, aliveMs)) continue
        if (!loads.isStalled(replicaId)) loads.markStalled(replicaId)
        onStall(replicaId)
      }
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

  function schedule (): void {
    timer = timers.subscribeOnce(Math.max(minIntervalMs, presence.countGateways() * intervalPerGatewayMs), send)
  }

  return {
    async start (): Promise<void> {
      await datagrams.start()
      schedule()
    },
    stop (): void {
      timer?.cancel()
      datagrams.stop()
    }
  }
}
