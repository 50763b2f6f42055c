/** Wires up a gateway: the view of the fleet, the planner, the exchange with other gateways and the servers. */
import { recentEventMs, createReplicaLoads, totalNodeId, type LoadReport } from '../coordination/dispatch/replica-loads.js'
import { createModelTimings } from '../coordination/dispatch/model-timings.js'
import { computeConnectionLimit } from '../coordination/dispatch/connection-limit.js'
import { createDemandMeter } from '../coordination/demand/demand-meter.js'
import { toServiceDemand } from '../coordination/demand/service-demand.js'
import { createServiceRetryBudget, type ServiceRetryBudget } from '../coordination/dispatch/service-retry-budget.js'
import { createServerScores } from '../coordination/dispatch/server-scores.js'
import { PaceReason } from '../coordination/pace/replica-pace.js'
import type { RevisionedStore } from '../coordination/ports/revisioned-store.js'
import type { ServerControl } from '../coordination/ports/server-control.js'
import type { RelayLink } from '../coordination/ports/relay-link.js'
import { createPromptGuard } from '../coordination/quarantine/prompt-guard.js'
import { createQuarantineStore } from '../coordination/quarantine/quarantine-store.js'
import { createRelayPlans, directPlan, listReportPeers, maxDirectCount } from '../coordination/relay/relay-plan.js'
import { createRelayedSource } from '../coordination/relay/relayed-source.js'
import { createStoreMirror } from '../coordination/relay/store-mirror.js'
import { createDeliveryInquiries } from '../coordination/replicas/delivery-inquiries.js'
import { createPlannerLease, readPlannerNode } from '../coordination/replicas/planner-lease.js'
import { createPlannerTask } from '../coordination/replicas/planner-task.js'
import { createClassUses } from '../coordination/scarcity/class-uses.js'
import { createRateLimitedLogger } from '../observability/rate-limited-logger.js'
import type { LoggerFactory } from '../observability/log.js'
import { createMetrics, MetricEvent, MetricGauge, ServiceGauge } from '../observability/metrics.js'
import { createLoopMonitor } from '../observability/supervised-loop.js'
import { observeEach } from '../shared/channel.js'
import type { NetworkAddress } from '../shared/network-address.js'
import { createProcessSeed, createRandomSource } from '../shared/random-source.js'
import { createSharedTicker } from '../shared/shared-ticker.js'
import type { TimerService } from '../shared/timer-service.js'
import type { BackendServer } from '../state/backend-server.js'
import type { Service } from '../state/serving-config.js'
import { limitPartList, PromptMessageKind } from '../protocol/prompt-messages.js'
import { createBackendConnectionPool, type BackendRequest } from '../transport/backend-connection-pool.js'
import { createListeningCheck } from '../transport/listening-check.js'
import { createServerEndWatch } from '../transport/server-end-watch.js'
import { isServerReady, type CallDependencies } from './call-context.js'
import { createCallIntake } from './call-intake.js'
import { ConnectionEnd, type IncompleteResponse } from './client-connection.js'
import { createClientServer, maxParsedHeaderBytes } from './client-server.js'
import { createDrain } from './drain.js'
import { createFleetView, FleetEvent, type StoreLayout } from './fleet-view.js'
import type { GatewayBounds, GatewaySettings } from './gateway-settings.js'
import { createGatewayList } from './gateway-list.js'
import { createLoadSharing } from './load-sharing.js'
import { setModelGauges } from './model-gauges.js'
import { createPresence } from './presence.js'
import type { ProcessBuffers } from '../transport/process-buffers.js'
import { createRelayHandler } from './relay-handler.js'
import { createReadiness } from './readiness.js'
import { createMetricsServer, createReadinessServer, createRelayServer } from './internal-servers.js'
import { createServerCoordination } from './server-coordination.js'
import { streamCheckIntervalMs } from './stream-forwarding.js'
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
  readonly buffers: ProcessBuffers
}

/** One process that forwards requests of clients to backend servers. */
export interface Gateway {
  start (): Promise<void>
  /** Applies changed bounds to the running gateway. */
  applyBounds (bounds: GatewayBounds): void
  /** Fails the readiness check, drains the requests in flight and stops, within the shutdown limit. */
  stop (): Promise<void>
}

/** Duration of the planner's lease: another gateway can replace a lost planner after this time. */
const plannerLeaseMs = 2000
const plannerKey = 'planner'
/** Prefix of the gateways' own entries, below the prefix of all their keys. */
export const gatewayKeyPrefix = 'gateways/'
/** Subtracted from the revocation bound for the time that a request needs to reach its server. */
const revocationMarginMs = 300
/** Idle connections kept for each server. Requests in flight have their own limit, from what the server accepts in all. */
const maxIdleConnectionsPerServer = 8
const millisecondsPerSecond = 1000
/** Limits the log volume under load; lines above it are counted and dropped. */
const requestLogLinesPerSecond = 60
/** The same for the lines of responses that were not completed, which the lines of other requests cannot displace. */
const incompleteLogLinesPerSecond = 20
/** The same for the lines on prompts, of which a server that ends causes one for each suspicious request. */
const quarantineLogLinesPerSecond = 20
const incompleteEvents = {
  [ConnectionEnd.Gateway]: MetricEvent.IncompleteByGateway,
  [ConnectionEnd.Client]: MetricEvent.IncompleteByClient,
  [ConnectionEnd.HttpServer]: MetricEvent.IncompleteByHttpServer
}

/** Creates a gateway; it serves after `start`. */
export function createGateway (options: GatewayOptions): Gateway {
  const { settings, timers, store, layout, codec, createLogger, buffers } = options
  const log = createLogger('gateway')
  const random = createRandomSource(createProcessSeed())
  const startedAtMs = timers.nowMs()
  let { bounds } = settings
  let totalReportSequence = 0
  /** Of the last total that had them: datagrams leave them out. */
  let totalUses: LoadReport['uses']
  const metrics = createMetrics({ includesProcessMetrics: false })
  // The parts below refer to each other in closures, which run only after all parts have been created.
  const isPlanner = () => plannerLease.getFencingToken() !== undefined
  const loopMonitor = createLoopMonitor(() => metrics.countEvent(MetricEvent.LoopFailure))
  const mirror = createStoreMirror({ toComparable: layout.toComparable })
  const source = createRelayedSource({
    store,
    link: options.relayLink,
    timers,
    // The planner always reads the store itself, without the delay of a relay.
    getPlan: () => isPlanner() ? directPlan : relayPlans.getPlan(),
    createLoadReport: () => loads.createOwnReport(settings.nodeId),
    applyLoads: applyTotalReport,
    getStoreViewAgeMs: () => fleet.getViewAgeMs()
  })
  const fleet = createFleetView({ source, mirror, timers, layout, logger: createLogger('fleet'), isReconfiguring: () => planner.isReconfiguring(), onServerEntry: (server, isFirstRead) => cold.recordEntry(server, isFirstRead), loopMonitor })
  const demand = createDemandMeter(timers, serviceName => fleet.getConfig()?.services.find(service => service.name === serviceName)?.engine)
  const classUses = createClassUses(timers)
  const loads = createReplicaLoads(timers, { listPace: () => pace?.listStatements(), createDemandReport: demand.createReport, createUses: classUses.createReport })
  const presence = createPresence({
    store,
    timers,
    logger: createLogger('presence'),
    nodeId: settings.nodeId,
    address: settings.peerAddress,
    zone: settings.zone,
    storePrefix: layout.gatewayPrefix + gatewayKeyPrefix,
    entryPrefix: gatewayKeyPrefix,
    listEntries: fleet.listGatewayEntries,
    getStoreEra: fleet.getEra,
    loopMonitor
  })
  const relayPlans = createRelayPlans(presence.listGateways, settings.nodeId)
  const plannerLease = createPlannerLease({
    store,
    timers,
    random,
    logger: createLogger('planner'),
    nodeId: settings.nodeId,
    key: layout.gatewayPrefix + plannerKey,
    leaseMs: Math.max(settings.minLeaseMs, plannerLeaseMs),
    getRecord: () => fleet.listGatewayEntries().get(plannerKey),
    getRank: presence.getRank,
    isStoreViewCurrent: () => fleet.isStoreReachable() && fleet.isEraSettled() && fleet.getConfig() !== undefined,
    getStoreEra: fleet.getEra,
    onAcquired: () => planner.start(),
    loopMonitor
  })
  const inquiries = createDeliveryInquiries({ timers, hasRecentEvent: loads.hasRecentEvent, sendInquiries: list => loadSharing.sendInquiries(list) })
  const planner = createPlannerTask({
    timers,
    logger: createLogger('planner'),
    lease: plannerLease,
    serverControl: options.serverControl,
    inquiries,
    getStallLimitMs: () => bounds.stallLimitMs,
    isHeld: server => holds.getRemainingMs(server) > 0,
    isZoneEvacuated: fleet.evacuatedZones.has,
    hasTraffic,
    listServices: fleet.listReplicatedServices,
    getDemand: serviceName => toServiceDemand(loads.getDemand(), serviceName, presence.countGateways()),
    getStreamCount: loads.getStreamCount
  })
  const quarantineLogger = createRateLimitedLogger(createLogger('quarantine'), timers, quarantineLogLinesPerSecond)
  const isListening = createListeningCheck(timers)
  const promptGuard = createPromptGuard({
    timers,
    logger: quarantineLogger,
    metrics,
    isListening,
    watchEnd: createServerEndWatch({ timers, isListening }),
    isEndUnplanned: server => isServerReady(fleet, server),
    sendMessage: message => loadSharing.sendPromptMessage(message),
    onEntry: entry => quarantineStore.publish(entry),
    onRefuted: (entry, isServedHere) => quarantineStore.release(entry, isServedHere)
  })
  const quarantineStore = createQuarantineStore({
    store,
    timers,
    random,
    logger: quarantineLogger,
    gatewayPrefix: layout.gatewayPrefix,
    guard: promptGuard,
    listStored: fleet.listGatewayEntries,
    isPlanner,
    getViewAgeMs: fleet.getViewAgeMs,
    countGateways: presence.countGateways,
    announce ({ partIds, probeCount }) {
      // With fewer parts it would be another entry; the others read one that is too long for a message from the store.
      if (limitPartList(partIds).length === partIds.length) loadSharing.sendPromptMessage({ kind: PromptMessageKind.Quarantine, partIds: [...partIds], probeCount })
    }
  })
  const gatewayList = createGatewayList({ nodeId: settings.nodeId, listGateways: presence.listGateways, countGateways: presence.countGateways })
  const { toAddresses } = gatewayList
  const serverCoordination = createServerCoordination({
    settings,
    timers,
    random,
    createLogger,
    fleet,
    loads,
    getBounds: () => bounds,
    hasTraffic,
    hasOwnTraffic: () => clientServer.hasReceivedRequest(),
    listGatewayIds: gatewayList.listIds,
    countGateways: presence.countGateways,
    send: (message, nodeId) => loadSharing.sendLimitMessage(message, nodeId)
  })
  const { holds, limits, cold, permits, admission, overruns, pace } = serverCoordination
  const retryBudgets = new Map<string, ServiceRetryBudget>()
  const dependencies: CallDependencies = {
    zone: settings.zone,
    timers,
    // A replica can become quiet only while streams are in progress.
    streamTicker: createSharedTicker(timers, streamCheckIntervalMs, () => loadSharing.checkQuiet()),
    random,
    fleet,
    codec,
    connections: createBackendConnectionPool({ timers, maxIdleConnectionsPerServer, onListenerError: recordListenerError }),
    requestBuffers: buffers.requests,
    responseBuffers: buffers.responses,
    scores: createServerScores(timers),
    holds,
    overruns,
    limits,
    permits,
    admission,
    demand,
    loads,
    pace,
    timings: createModelTimings(),
    classUses,
    promptGuard,
    metrics,
    logger: createRateLimitedLogger(createLogger('calls'), timers, requestLogLinesPerSecond),
    countGateways: presence.countGateways,
    hasRelays: () => presence.countGateways() > maxDirectCount,
    getConnectionLimit,
    getRetryBudget,
    noteLeaving,
    reportStall (replicaId) {
      if (loads.hasRecentEvent(replicaId, recentEventMs)) return
      loads.markStalled(replicaId)
      pace?.restart(replicaId, PaceReason.Stalled)
      planner.checkReplica(replicaId)
    }
  }
  const loadSharing = createLoadSharing({
    settings,
    timers,
    logger: createLogger('loads'),
    loads,
    random,
    listPeers: listLoadPeers,
    findRelay: () => isPlanner() ? undefined : toAddresses(relayPlans.getPlan().relays.slice(0, 1))[0],
    applyTotal: applyTotalReport,
    listGatewayAddresses: () => toAddresses(presence.listGateways()),
    findAddress: presence.findPeer,
    findPlannerAddress: () => presence.findPeer(readPlannerNode(fleet.listGatewayEntries().get(plannerKey)?.value ?? '')),
    listRecentlyLeaving: fleet.listRecentlyLeaving,
    onLeavingServer: (serverId, startedAtMs) => { fleet.markLeaving(serverId, startedAtMs) },
    onDeliveryAnswer: inquiries.applyAnswer,
    onPromptMessage: promptGuard.applyMessage,
    onLimitMessage: permits.applyMessage,
    onSuspectReplica: replicaId => planner.checkReplica(replicaId)
  })
  const incompleteLogger = createRateLimitedLogger(createLogger('connections'), timers, incompleteLogLinesPerSecond)
  const callIntake = createCallIntake({ dependencies, claimProbe: quarantineStore.claimProbe, getMaxConfigAgeMs, getLatestEndMs: () => drain.getLatestEndMs() })
  const clientServer = createClientServer({
    address: settings.clientAddress,
    maxHeaderBytes: maxParsedHeaderBytes,
    maxConnectionCount: buffers.maxConnectionCount,
    requestBudget: buffers.requests,
    timers,
    handle: callIntake.handle,
    onIncomplete: recordIncomplete,
    onDropped: () => metrics.countEvent(MetricEvent.ConnectionDropped)
  })
  const readiness = createReadiness({ fleet, logger: log, hasDrainBegun: () => drain.hasBegun(), getMaxConfigAgeMs })
  const readinessServer = createReadinessServer(settings.readinessAddress, buffers.requests, readiness.check)
  const metricsServer = createMetricsServer(settings.metricsAddress, buffers.requests, metrics, refreshGauges)
  const relayServer = createRelayServer(settings.peerAddress, createRelayHandler({ timers, fleet, mirror, source, loads }), buffers.requests, log)
  const drain = createDrain({ timers, logger: log, clientServer, getShutdownLimitMs: () => bounds.shutdownLimitMs })

  function noteLeaving (server: BackendServer): void {
    if (!fleet.markLeaving(server.id, server.startedAtMs)) return
    metrics.countEvent(MetricEvent.ServerLeaving)
    loadSharing.reportLeaving()
  }

  function recordIncomplete ({ request, response, endedBy, reason }: IncompleteResponse): void {
    metrics.countEvent(incompleteEvents[endedBy])
    incompleteLogger.warn('A response was not completed.', {
      requestId: codec.readClientRequest(request.headers).requestId ?? '',
      endedBy,
      reason,
      isRequestWhole: request.complete,
      isHeadSent: response.headersSent,
      configVersion: fleet.getConfig()?.version ?? 0
    })
  }

  function recordListenerError (error: Error, { requestId, host, port }: BackendRequest): void {
    metrics.countEvent(MetricEvent.ExchangeError)
    incompleteLogger.warn('An unexpected error occurred while a response was handled; it counts as lost.', { requestId: requestId ?? '', server: `${host}:${port}`, reason: error.stack ?? error.message })
  }

  function refreshGauges (): void {
    metrics.setGauge(MetricGauge.IsReady, Number(readiness.isReady()))
    metrics.setGauge(MetricGauge.ConfigVersion, fleet.getConfig()?.version ?? 0)
    metrics.setGauge(MetricGauge.ViewAgeSeconds, fleet.getViewAgeMs() / millisecondsPerSecond)
    metrics.setGauge(MetricGauge.ConfigAgeSeconds, fleet.getConfigAgeMs() / millisecondsPerSecond)
    metrics.setGauge(MetricGauge.FailingLoopCount, loopMonitor.listFailing().length)
    metrics.setGauge(MetricGauge.LiveNodeCount, presence.listGateways().length)
    metrics.setGauge(MetricGauge.CompleteGroupCount, countServingReplicas())
    metrics.setGauge(MetricGauge.QuarantineEntryCount, promptGuard.listEntries().length)
    metrics.setGauge(MetricGauge.SuspectPartCount, promptGuard.countSuspects())
    metrics.setGauge(MetricGauge.RetryBudgetAvailable, [...retryBudgets.values()].reduce((sum, budget) => sum + budget.getAvailableCount(), 0))
    metrics.setGauge(MetricGauge.HeldRequestBytes, buffers.requests.getHeldByteCount())
    metrics.setGauge(MetricGauge.HeldResponseBytes, buffers.responses.getHeldByteCount())
    metrics.setGauge(MetricGauge.IssuedLimitPerSecond, permits.getIssuedPerSecond())
    metrics.setGauge(MetricGauge.LimitedServerCount, limits.countLimited())
    metrics.setGauge(MetricGauge.ColdServerCount, cold.countCold())
    metrics.setGauge(MetricGauge.EvacuatedZoneCount, fleet.evacuatedZones.list().length)
    metrics.setGauge(MetricGauge.InFlightCount, clientServer.countInFlight())
    setModelGauges(metrics, planner.listModelSupply())
    if (pace === undefined) return
    for (const { name } of fleet.listReplicatedServices()) metrics.setServiceGauge(ServiceGauge.PacedReplicaCount, name, pace.countPaced(name))
  }

  function countServingReplicas (): number {
    return fleet.listReplicatedServices().flatMap(service => service.replicas).filter(replica => replica.isOpen && replica.isComplete).length
  }

  function hasTraffic (): boolean {
    return clientServer.hasReceivedRequest() || loads.hasAnyStream()
  }

  function findService (serviceName: string): Service | undefined {
    return fleet.getConfig()?.services.find(candidate => candidate.name === serviceName)
  }

  function getConnectionLimit (serviceName: string): number {
    const service = findService(serviceName)
    return service === undefined ? Infinity : computeConnectionLimit(service.maxConnectionCount, presence.countGateways())
  }

  /**
   * Applies the load total that a relay has sent. The sequences of different relays are not comparable: totals are
   * renumbered on arrival, or they could be dropped as outdated after a change of relay.
   */
  function applyTotalReport (total: LoadReport): void {
    totalReportSequence += 1
    totalUses = total.uses ?? totalUses
    loads.applyReport({ ...total, uses: totalUses, nodeId: totalNodeId, sequence: totalReportSequence })
  }

  function listLoadPeers (): NetworkAddress[] {
    return toAddresses(listReportPeers({
      gateways: presence.listGateways(),
      relays: relayPlans.listRelays(),
      plannerId: readPlannerNode(fleet.listGatewayEntries().get(plannerKey)?.value ?? ''),
      isPlanner: isPlanner(),
      readsStoreDirectly: relayPlans.getPlan().readsStoreDirectly
    }))
  }

  function getRetryBudget (serviceName: string): ServiceRetryBudget {
    const existing = retryBudgets.get(serviceName)
    if (existing !== undefined) return existing
    const created = createServiceRetryBudget(timers, () => ({
      ratio: bounds.retryRatio, slackCount: bounds.retrySlackCount, windowMs: bounds.retryWindowMs
    }), presence.countGateways, startedAtMs)
    retryBudgets.set(serviceName, created)
    return created
  }

  /** Age of the configuration above which its API keys are no longer accepted. */
  function getMaxConfigAgeMs (): number {
    return (bounds.keyRevocationLimitMs ?? Infinity) - revocationMarginMs
  }

  function logObserverError (error: Error): void {
    log.error('An event could not be handled; later ones are.', { reason: error.stack ?? error.message })
  }

  function observeFleet (): void {
    buffers.observeEvictions(() => metrics.countEvent(MetricEvent.BufferEvicted))
    observeEach(options.serverControl.leavingServers.messages, noteLeaving, logObserverError)
    observeEach(options.serverControl.coldStatements.messages, statement => cold.recordStatement(statement), logObserverError)
    observeEach(fleet.events.messages, event => {
      if (event === FleetEvent.Config) {
        const limits = fleet.getConfig()?.limits
        if (limits !== undefined) clientServer.applyLimits(limits)
      }
      if (event === FleetEvent.Servers || event === FleetEvent.Config) serverCoordination.observeReplicas()
      if (event === FleetEvent.Config) serverCoordination.observeConfig()
      if (event === FleetEvent.Evacuations) serverCoordination.observeEvacuations()
      if (event === FleetEvent.Era) quarantineStore.forgetView()
      if (event === FleetEvent.Gateways) quarantineStore.applyView()
      if (event !== FleetEvent.Servers) plannerLease.checkNow()
      if (event === FleetEvent.Era) metrics.countEvent(MetricEvent.StoreEraChange)
      planner.planNow()
    }, logObserverError)
  }

  /** Nothing waits for it, since the store may not respond. */
  async function releaseLeases (): Promise<void> {
    try {
      await Promise.all([plannerLease.stop(), presence.stop()])
    } catch (error) {
      log.warn('The leases could not be released.', { reason: (error as Error).message })
    }
  }

  return {
    async start () {
      observeFleet()
      fleet.start()
      await Promise.all([clientServer.start(), readinessServer.start(), metricsServer.start(), relayServer.start(), loadSharing.start()])
      presence.start()
      plannerLease.start()
      quarantineStore.start()
      planner.start()
      log.info('The gateway has started.', { node: settings.nodeId, zone: settings.zone })
    },
    applyBounds (newBounds) {
      bounds = newBounds
    },
    async stop () {
      log.info('The gateway is stopping.', { inProgressCount: clientServer.countInFlight() })
      planner.stop()
      void releaseLeases()
      await drain.run()
      fleet.stop()
      quarantineStore.stop()
      loadSharing.stop()
      log.info('The gateway has stopped.', { inProgressCount: clientServer.countInFlight() })
    }
  }
}
