import { recentEventMs, createReplicaLoads, totalNodeId, type LoadReport } from '../coordination/dispatch/replica-loads.js'
import { computeConnectionLimit } from '../coordination/dispatch/connection-limit.js'
import { createServiceRetryBudget, type ServiceRetryBudget } from '../coordination/dispatch/service-retry-budget.js'
import { createServerScores } from '../coordination/dispatch/server-scores.js'
import type { RevisionedStore } from '../coordination/ports/revisioned-store.js'
import type { ServerControl } from '../coordination/ports/server-control.js'
import type { RelayLink } from '../coordination/ports/relay-link.js'
import { directPlan, listRelays, planRelays } from '../coordination/relay/relay-plan.js'
import { createRelayedSource } from '../coordination/relay/relayed-source.js'
import { createStoreMirror } from '../coordination/relay/store-mirror.js'
import { createPlannerLease, readPlannerNode } from '../coordination/replicas/planner-lease.js'
import { createPlannerTask } from '../coordination/replicas/planner-task.js'
import { createBoundedLogger } from '../observability/bounded-logger.js'
import type { LoggerFactory } from '../observability/log.js'
import { createMetrics } from '../observability/metrics.js'
import { parseAddress, type NetworkAddress } from '../shared/network-address.js'
import { createProcessSeed, createRandomSource } from '../shared/random-source.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool } from '../transport/backend-connection-pool.js'
import type { CallServices } from './call-context.js'
import { createCallIntake } from './call-intake.js'
import { createClientServer } from './client-server.js'
import { createFleetView, FleetEvent, type StoreLayout } from './fleet-view.js'
import type { GatewayBounds, GatewaySettings } from './gateway-settings.js'
import { createLoadSharing } from './load-sharing.js'
import { createPresence } from './presence.js'
import { createRelayHandler } from './relay-handler.js'
import { createMetricsServer, createReadinessServer, createRelayServer } from './side-servers.js'
import type { WireCodec } from './wire-codec.js'

export interface GatewayOptions {
  readonly settings: GatewaySettings
  readonly timers: TimerService
  readonly store: RevisionedStore
  readonly relayLink: RelayLink
  readonly serverControl: ServerControl
  readonly layout: StoreLayout
  readonly codec: WireCodec
  readonly createLogger: LoggerFactory
}

/** One process between callers and backend servers. */
export interface Gateway {
  start (): Promise<void>
  /** Bounds that hold from now on. */
  applyBounds (bounds: GatewayBounds): void
  /** Leaves the balancer, ends what is in progress, and stops. */
  stop (): Promise<void>
}

/** A planner that was lost is replaced after this time. */
const plannerLeaseMs = 2000
const plannerItem = 'planner'
const gatewayItemPrefix = 'gateways/'
/** The balancer asks every second and takes two misses; new connections arrive until then. */
const balancerNoticeMs = 2500
/** Left at the end of a shutdown for the last bytes and the exit. */
const exitMarginMs = 700
const drainPollMs = 50
/** Kept from the revocation bound for the way of a request to its server. */
const revocationMarginMs = 300
/** Idle connections that are kept for one server; requests are bounded by what the server accepts from all gateways. */
const maxIdleConnectionsPerServer = 8
const maxHeaderBytes = 16_384
const requestLinesPerSecond = 60

/** Creates a gateway; it serves after `start`. */
export function createGateway (options: GatewayOptions): Gateway {
  const { settings, timers, store, layout, codec, createLogger } = options
  const log = createLogger('gateway')
  const random = createRandomSource(createProcessSeed())
  let { bounds } = settings
  let totalCount = 0
  const metrics = createMetrics({ hasProcessMetrics: false })
  const isPlanner = () => lease.getGeneration() !== undefined
  const mirror = createStoreMirror({ toComparable: layout.toComparable })
  const source = createRelayedSource({
    store,
    link: options.relayLink,
    timers,
    getPlan: () => isPlanner() ? directPlan : planRelays(presence.listGateways(), settings.nodeId),
    createLoadReport: () => loads.createOwnReport(settings.nodeId),
    applyLoads: takeTotal,
    getConfigAgeMs: () => fleet.getConfigAgeMs()
  })
  const fleet = createFleetView({ source, mirror, timers, layout, logger: createLogger('fleet'), isReconfiguring: () => planner.isReconfiguring() })
  const loads = createReplicaLoads(timers)
  const presence = createPresence({
    store,
    timers,
    logger: createLogger('presence'),
    nodeId: settings.nodeId,
    address: settings.peerAddress,
    zone: settings.zone,
    storePrefix: layout.gatewayPrefix + gatewayItemPrefix,
    itemPrefix: gatewayItemPrefix,
    listItems: fleet.listGatewayItems
  })
  const lease = createPlannerLease({
    store,
    timers,
    random,
    logger: createLogger('planner'),
    nodeId: settings.nodeId,
    key: layout.gatewayPrefix + plannerItem,
    leaseMs: Math.max(settings.minLeaseMs, plannerLeaseMs),
    getRecord: () => fleet.listGatewayItems().get(plannerItem),
    getRank: presence.getRank,
    isStoreViewCurrent: () => fleet.isStoreReachable() && fleet.getConfig() !== undefined
  })
  const planner = createPlannerTask({
    timers,
    logger: createLogger('planner'),
    lease,
    serverControl: options.serverControl,
    getStallLimitMs: () => bounds.stallLimitMs,
    hasTraffic: () => clients.hasServed() || loads.hasAnyStream(),
    listServices: fleet.listReplicatedServices
  })
  const retryShares = new Map<string, ServiceRetryBudget>()
  const services: CallServices = {
    zone: settings.zone,
    timers,
    random,
    fleet,
    codec,
    connections: createBackendConnectionPool({ timers, maxIdleConnectionsPerServer }),
    scores: createServerScores(timers),
    loads,
    metrics,
    logger: createBoundedLogger(createLogger('calls'), timers, requestLinesPerSecond),
    countGateways: presence.countGateways,
    getConnectionLimit,
    getRetryShare,
    reportStall (replicaId) {
      if (loads.hasRecentEvent(replicaId, recentEventMs)) return
      loads.markStalled(replicaId)
      planner.checkReplica(replicaId)
    }
  }
  const sharing = createLoadSharing({
    settings,
    timers,
    logger: createLogger('loads'),
    loads,
    listPeers: listRelayPeers,
    findPlanner: () => presence.findPeer(readPlannerNode(fleet.listGatewayItems().get(plannerItem)?.value ?? '')),
    onQuiet: replicaId => planner.checkReplica(replicaId)
  })
  const intake = createCallIntake({ services, getMaxConfigAgeMs })
  const clients = createClientServer({ address: settings.clientAddress, maxHeaderBytes, handle: intake.handle })
  const readiness = createReadinessServer(settings.readinessAddress, isReady)
  const metricsServer = createMetricsServer(settings.metricsAddress, metrics)
  const relayServer = createRelayServer(settings.peerAddress, createRelayHandler({ timers, fleet, mirror, source, loads }), log)
  let isStopping = false

  function getConnectionLimit (serviceName: string): number {
    const service = fleet.getConfig()?.services.find(candidate => candidate.name === serviceName)
    return service === undefined ? Infinity : computeConnectionLimit(service.maxConnectionCount, presence.countGateways())
  }

  /** Takes the streams of all other gateways; the relay counts its own answers. */
  function takeTotal (total: LoadReport): void {
    totalCount += 1
    loads.applyReport({ ...total, nodeId: totalNodeId, sequence: totalCount })
  }

  /** Gateways that rely on relays report with their questions, and the relays tell each other. */
  function listRelayPeers (): NetworkAddress[] {
    const gateways = presence.listGateways()
    if (!planRelays(gateways, settings.nodeId).isRelay) return []
    return listRelays(gateways).filter(gateway => gateway.nodeId !== settings.nodeId).flatMap(gateway => parseAddress(gateway.address) ?? [])
  }

  function getRetryShare (serviceName: string): ServiceRetryBudget {
    const existing = retryShares.get(serviceName)
    if (existing !== undefined) return existing
    const created = createServiceRetryBudget(timers, () => ({
      ratio: bounds.retryRatio, slackCount: bounds.retrySlackCount, windowMs: bounds.retryWindowMs
    }), presence.countGateways)
    retryShares.set(serviceName, created)
    return created
  }

  /** Age above which the configuration's keys are not trusted any more. */
  function getMaxConfigAgeMs (): number {
    return (bounds.keyRevocationLimitMs ?? Infinity) - revocationMarginMs
  }

  function isReady (): boolean {
    return !isStopping && fleet.getConfig() !== undefined && fleet.getConfigAgeMs() <= getMaxConfigAgeMs()
  }

  function observeFleet (): void {
    void fleet.events.messages.observe(event => {
      if (event === FleetEvent.Config) {
        const limits = fleet.getConfig()?.limits
        if (limits !== undefined) clients.applyLimits(limits)
      }
      planner.planNow()
    })
  }

  async function waitForCalls (untilMs: number): Promise<void> {
    while (clients.countInProgress() > 0 && timers.nowMs() < untilMs) await delay(timers, drainPollMs)
  }

  return {
    async start () {
      observeFleet()
      fleet.start()
      await Promise.all([clients.start(), readiness.start(), metricsServer.start(), relayServer.start(), sharing.start()])
      presence.start()
      lease.start()
      planner.start()
      log.info('The gateway has started.', { node: settings.nodeId, zone: settings.zone })
    },
    applyBounds (newBounds) {
      bounds = newBounds
    },
    async stop () {
      const stopsAtMs = timers.nowMs() + bounds.shutdownLimitMs - exitMarginMs
      isStopping = true
      log.info('The gateway is stopping.', { inProgressCount: clients.countInProgress() })
      planner.stop()
      clients.beginDrain()
      await Promise.race([Promise.all([lease.stop(), presence.stop()]), delay(timers, balancerNoticeMs)])
      await delay(timers, balancerNoticeMs)
      void clients.stop()
      await waitForCalls(stopsAtMs)
      fleet.stop()
      sharing.stop()
      log.info('The gateway has stopped.', { inProgressCount: clients.countInProgress() })
    }
  }
}
