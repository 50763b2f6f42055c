/**
 * Exchanges load reports with other gateways by UDP: streams per replica, the replicas that are quiet or stalled, and the demand. Answers the planner's
 * inquiries about the events of replicas.
 */
import { recentEventMs, type LoadReport, type ReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import type { DeliveryAnswer, DeliveryInquiry } from '../coordination/replicas/delivery-inquiries.js'
import type { Logger } from '../observability/log.js'
import { DeliveryMessageKind, type DeliveryMessage } from '../protocol/delivery-messages.js'
import type { LimitMessage } from '../protocol/limit-messages.js'
import type { PromptMessage } from '../protocol/prompt-messages.js'
import type { NetworkAddress } from '../shared/network-address.js'
import type { RandomSource } from '../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../shared/timer-service.js'
import { createLoadReportSocket } from '../transport/load-report-socket.js'
import type { GatewaySettings } from './gateway-settings.js'
import { createRelayedLoads } from './relayed-loads.js'

export interface LoadSharingOptions {
  readonly settings: GatewaySettings
  readonly timers: TimerService
  readonly logger: Logger
  readonly loads: ReplicaLoads
  readonly random: RandomSource
  /** Gateways that this one sends its reports to. */
  listPeers (): readonly NetworkAddress[]
  /** Address of the planner; undefined when it is this gateway or unknown. */
  findPlannerAddress (): NetworkAddress | undefined
  /** The relay that this gateway uses; undefined while it reads the store itself. */
  findRelay (): NetworkAddress | undefined
  /** Applies the load total that a relay has sent. */
  applyTotal (total: LoadReport): void
  /** All other gateways. */
  listGatewayAddresses (): readonly NetworkAddress[]
  /** Address of another gateway; undefined when it is unknown. */
  findAddress (nodeId: string): NetworkAddress | undefined
  /** Servers that announced to this gateway within the time that they are leaving: start times of their processes by ID. */
  listRecentlyLeaving (withinMs: number): Record<string, number>
  /** Called when another gateway reports a server that is leaving. */
  onLeavingServer (serverId: string, startedAtMs: number): void
  /** Called when another gateway answers an inquiry. */
  onDeliveryAnswer (answer: DeliveryAnswer): void
  /** Called when another gateway tells something of the parts of prompts. */
  onPromptMessage (message: PromptMessage): void
  /** Called when another gateway tells something of the limits of servers, or asks for permits. */
  onLimitMessage (message: LimitMessage): void
  /** Called when a replica is quiet here, or when another gateway reports it as quiet or stalled. */
  onSuspectReplica (replicaId: string): void
}

/** The report interval grows by this for each peer: the reports per second in the deployment grow linearly with the gateways. */
const intervalPerPeerMs = 15
const minIntervalMs = 100
/** A report with the same content as the last one is sent only this often. */
const repeatIntervalMs = 1000
/** Each server that is leaving is reported to the planner several times, since datagrams are lost occasionally. */
const leavingReportIntervalMs = 300
const leavingReportTimeMs = 1500
/**
 * Limits the datagrams of an inquiry in a large deployment, where each inquiry goes to other gateways. A replica with streams of thirty among
 * 2,200 gateways is missed by one inquiry in forty.
 */
const maxAskedGatewayCount = 256

/** Picks items at even distances from the first on, so that each run of neighbours gets its share: gateways of one availability zone have similar names. */
export function pickEvenly<T> (items: readonly T[], count: number, firstIndex: number): T[] {
  return Array.from({ length: count }, (_, index) => items[(firstIndex + Math.floor(index * items.length / count)) % items.length] as T)
}

/** Creates the exchange of load reports with the other gateways. */
export function createLoadSharing (options: LoadSharingOptions) {
  const { settings, timers, logger, loads, listPeers, findPlannerAddress, listRecentlyLeaving, onLeavingServer, onSuspectReplica } = options
  let timer: TimerSubscription | undefined
  let leavingTimer: TimerSubscription | undefined
  let reportedQuietIds = new Set<string>()
  let lastContent = ''
  let lastSentAtMs = -Infinity
  const reportSocket = createLoadReportSocket({
    address: settings.peerAddress,
    onReport (report) {
      loads.applyReport(report)
      for (const replicaId of report.stalledIds) {
        if (loads.hasRecentEvent(replicaId, recentEventMs)) continue
        if (!loads.isStalled(replicaId)) loads.markReportedStalled(replicaId)
        onSuspectReplica(replicaId)
      }
      report.quietIds.forEach(onSuspectReplica)
      for (const [serverId, startedAtMs] of Object.entries(report.leavingServers ?? {})) onLeavingServer(serverId, startedAtMs)
    },
    onDeliveryMessage: handleDeliveryMessage,
    onPromptMessage: options.onPromptMessage,
    onLimitMessage: options.onLimitMessage,
    onRelayedLoad: message => relayedLoads.handle(message),
    onError: reason => logger.debug('A load report could not be sent or decoded.', { reason })
  })

  const relayedLoads = createRelayedLoads({
    nodeId: settings.nodeId,
    timers,
    loads,
    findRelay: options.findRelay,
    findAddress: options.findAddress,
    applyTotal: options.applyTotal,
    send: (message, address) => reportSocket.sendRelayedLoad(message, [address])
  })

  function handleDeliveryMessage (message: DeliveryMessage): void {
    if (message.kind === DeliveryMessageKind.Answer) {
      options.onDeliveryAnswer(message)
      return
    }
    const delivered = message.inquiries.filter(({ replicaId, sinceMs }) => loads.hasRecentEvent(replicaId, sinceMs))
    const address = delivered.length === 0 ? undefined : options.findAddress(message.nodeId)
    if (address === undefined) return
    for (const { inquiryId, replicaId } of delivered) reportSocket.sendDeliveryMessage({ kind: DeliveryMessageKind.Answer, inquiryId, replicaId }, [address])
  }

  function listAskedGateways (): readonly NetworkAddress[] {
    const addresses = options.listGatewayAddresses()
    return addresses.length <= maxAskedGatewayCount ? addresses : pickEvenly(addresses, maxAskedGatewayCount, options.random.nextInt(addresses.length))
  }

  function sendReport (): void {
    schedule()
    const peers = listPeers()
    if (peers.length === 0) return
    const report = loads.createReport(settings.nodeId)
    const content = JSON.stringify([report.streamCounts, report.stalledIds, report.quietIds])
    const nowMs = timers.nowMs()
    if (content !== lastContent || nowMs - lastSentAtMs >= repeatIntervalMs) {
      lastContent = content
      lastSentAtMs = nowMs
      reportSocket.send(report, peers)
    }
  }

  function checkQuiet (): void {
    const quietIds = loads.listLocallyQuiet()
    const hasNewQuiet = quietIds.some(replicaId => !reportedQuietIds.has(replicaId))
    reportedQuietIds = new Set(quietIds)
    quietIds.forEach(onSuspectReplica)
    const planner = hasNewQuiet ? findPlannerAddress() : undefined
    // The planner needs only this gateway's quiet and stalled replicas; it gets stream counts with the regular reports, which
    // include the gateways that depend on this one.
    if (planner !== undefined) sendToPlanner(planner, {})
  }

  function reportLeaving (): void {
    leavingTimer?.cancel()
    const leavingServers = listRecentlyLeaving(leavingReportTimeMs)
    if (Object.keys(leavingServers).length === 0) return
    const planner = findPlannerAddress()
    if (planner !== undefined) sendToPlanner(planner, { leavingServers })
    leavingTimer = timers.subscribeOnce(leavingReportIntervalMs, reportLeaving)
  }

  function sendToPlanner (planner: NetworkAddress, extra: Pick<LoadReport, 'leavingServers'>): void {
    // Without demand, which reaches the planner with the regular reports and would count twice.
    reportSocket.send({ ...loads.createOwnReport(settings.nodeId), streamCounts: {}, demand: undefined, ...extra }, [planner])
  }

  function schedule (): void {
    const peerCount = listPeers().length
    // Without peers nothing is sent; the list is looked at again, since this gateway may become a relay.
    timer = timers.subscribeOnce(peerCount === 0 ? repeatIntervalMs : Math.max(minIntervalMs, peerCount * intervalPerPeerMs), sendReport)
  }

  return {
    /** Looks for replicas that have become quiet; the planner gets a report at once when there is one. */
    checkQuiet,
    /** Tells the planner of servers that are leaving, now and several times more. */
    reportLeaving,
    /** Asks other gateways whether replicas deliver events to them. */
    sendInquiries (inquiries: readonly DeliveryInquiry[]): void {
      reportSocket.sendDeliveryMessage({ kind: DeliveryMessageKind.Inquiry, nodeId: settings.nodeId, inquiries }, listAskedGateways())
    },
    /** Tells one other gateway something of the limits of servers. */
    sendLimitMessage (message: LimitMessage, nodeId: string): void {
      const address = options.findAddress(nodeId)
      if (address !== undefined) reportSocket.sendLimitMessage(message, [address])
    },
    /** Tells all other gateways something of the parts of prompts. */
    sendPromptMessage (message: PromptMessage): void {
      reportSocket.sendPromptMessage(message, options.listGatewayAddresses())
    },
    async start (): Promise<void> {
      await reportSocket.start()
      schedule()
      relayedLoads.start()
    },
    stop (): void {
      timer?.cancel()
      leavingTimer?.cancel()
      relayedLoads.stop()
      reportSocket.stop()
    }
  }
}
