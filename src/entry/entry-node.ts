import { readFileSync } from 'node:fs'

import { createCallerServer, type Readiness } from '../callers/caller-server.js'
import { createModelHandler } from '../callers/model-handler.js'
import { createServiceHandler } from '../callers/service-handler.js'
import { createConfigKeeper } from '../coordination/config/config-keeper.js'
import type { PeerConfigPort } from '../coordination/config/peer-config.js'
import { defaultGroupSettings } from '../coordination/groups/group-settings.js'
import { createFleetGroupsSource, describeOwnDomains } from '../coordination/operators/fleet-groups.js'
import { createOrderLedger } from '../coordination/orders/order-ledger.js'
import { defaultOrderSettings } from '../coordination/orders/order-settings.js'
import type { PeerLink } from '../coordination/ports/peer-link.js'
import { createVmDirectory } from '../coordination/vms/vm-directory.js'
import { createLoggerFactory } from '../observability/log.js'
import { createMetrics, MetricGauge } from '../observability/metrics.js'
import { createTraces } from '../observability/traces.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import { createProcessSeed, createRandomSource } from '../shared/random-source.js'
import { failure } from '../shared/result.js'
import { createSystemTimerService, delay } from '../shared/timer-service.js'
import { createPeerRpcClient } from '../transport/peer-rpc-client.js'
import { createPeerRpcServer } from '../transport/peer-rpc-server.js'
import { startEventLog } from './event-log.js'
import { openMembershipPart } from './membership-part.js'
import { createOperatorPart } from './operator-part.js'
import { createOwnerPart } from './owner-part.js'
import { createPlatformClients } from './platform-clients.js'
import { createRouterPart } from './router-part.js'

const peerCallTimeoutMs = 1000
const millisecondsPerHour = 3_600_000

/** Time for which a leaving node still answers its peers, so that they turn to the other owners. */
const handOverMs = 1000

/** One entry node: the router for its callers and an owner among its peers. */
export interface EntryNode {
  /** Resolves with the ports once all servers listen. */
  start (): Promise<EntryPorts>
  /** Ends gracefully: turns unready, waits for what is in flight, hands over, then closes. */
  stop (): Promise<void>
  /** Cuts off what is still in flight. */
  abort (): void
}

export interface EntryPorts {
  readonly callerPort: number
  readonly operatorPort: number
  readonly peerPort: number
}

/** Creates an entry node from its settings; rejects when its membership address is taken. */
export async function createEntryNode (settings: EntrySettings): Promise<EntryNode> {
  const timers = createSystemTimerService()
  const random = createRandomSource(createProcessSeed())
  const createLogger = createLoggerFactory(settings.log)
  const log = createLogger('entry')
  const metrics = createMetrics()
  const traces = createTraces(settings.traces, settings.nodeId)
  const clients = createPlatformClients(settings.platform, timers)
  const sharedSecret = readSharedSecret(settings)
  const peerClient = createPeerRpcClient({ timers, callTimeoutMs: peerCallTimeoutMs, ...sharedSecret })
  const groupSettings = {
    ...defaultGroupSettings,
    probeIntervalMs: settings.groups.probeIntervalMs,
    evidenceMaxAgeMs: settings.groups.evidenceMaxAgeMs,
    orderLifeMs: settings.groups.engineOrderLifeMs
  }
  const { membership, socket } = await openMembershipPart({
    settings,
    sharedSecret: sharedSecret.sharedSecret,
    store: clients.store,
    timers,
    random,
    getConfigStatus: () => keeper.getStatus()
  })
  const { self } = membership.view
  const keeper = createConfigKeeper({
    store: clients.store,
    timers,
    random,
    membership: membership.view,
    peerConfig: createPeerConfigPort(peerClient),
    settings: { configLeaseMs: settings.configuration.leaseMs, pollIntervalMs: settings.configuration.refreshMs }
  })
  const vms = createVmDirectory({
    vmList: clients.vmList,
    timers,
    random,
    availabilityZone: settings.availabilityZone,
    refreshMs: settings.platform.vmListRefreshMs
  })
  const shared = { clients, vms, timers, random, membership: membership.view, keeper, groupSettings }
  const ownerPart = createOwnerPart(shared)
  const routerPart = createRouterPart({ ...shared, peerLink: peerClient, settings, answerPoll: ownerPart.answerPoll })
  const orders = createOrderLedger({
    store: clients.store,
    serviceCaller: clients.serviceCaller,
    timers,
    random,
    claimant: `${self.nodeId}:${self.incarnation}`,
    settings: {
      ...defaultOrderSettings,
      retentionMs: settings.orders.retentionHours * millisecondsPerHour,
      maxStoredAnswerBytes: settings.orders.maxStoredAnswerBytes
    }
  })
  const describeSelf = () => describeOwnDomains(ownerPart.coordinator, self.nodeId)
  let isStopping = false

  function getReadiness (): Readiness {
    const config = keeper.getConfig()
    const freshness = keeper.getFreshness()
    if (config === undefined || !freshness.canServe) return { isReady: false, reason: `configuration is not confirmed: ${freshness.reason}` }
    return { isReady: true, config }
  }

  function getBalancerReadiness (): Readiness {
    return isStopping ? { isReady: false, reason: 'the node is shutting down' } : getReadiness()
  }

  function updateGauges (): void {
    const deployments = keeper.getConfig()?.deployments ?? []
    const completeCount = deployments.reduce((count, { name }) => count + routerPart.evidenceCache.getFreshGroups(name, timers.nowMs()).length, 0)
    metrics.setGauge(MetricGauge.CompleteGroupCount, completeCount)
    metrics.setGauge(MetricGauge.IsReady, Number(getBalancerReadiness().isReady))
    metrics.setGauge(MetricGauge.InFlightCount, callerServer.getInFlightCount())
  }

  const callerServer = createCallerServer({
    settings: settings.callers,
    modelHandler: createModelHandler({
      streams: routerPart.streams, timers, metrics, slowReaderTimeoutMs: settings.callers.slowReaderTimeoutMs
    }),
    serviceHandler: createServiceHandler({
      orders,
      serviceCaller: clients.serviceCaller,
      timers,
      metrics,
      pickBackend: serviceName => vms.pickBackend(serviceName, new Set(keeper.getConfig()?.drainingVmIds))
    }),
    metrics,
    traces,
    log: createLogger('callers'),
    getReadiness,
    getBalancerReadiness,
    updateGauges
  })
  const peerServer = createPeerRpcServer({
    host: settings.peers.host,
    port: settings.peers.port,
    ...sharedSecret,
    handlers: {
      pollGroups (request) {
        if (request.config !== undefined) keeper.observePeerStatus(request.nodeId, request.config)
        return ownerPart.answerPoll(request)
      },
      fetchConfig: keeper.getSnapshot,
      pushConfig: keeper.acceptSnapshot,
      describeDomains: describeSelf
    }
  })
  const operatorServer = createOperatorPart({
    settings: settings.operators,
    keeper,
    timers,
    membership: membership.view,
    coordinator: ownerPart.coordinator,
    statusSource: createFleetGroupsSource(membership.view, peerClient, describeSelf)
  })
  startEventLog({ createLogger, metrics, groupEvents: ownerPart.coordinator.events, orderEvents: orders.events, keeper, membership })

  async function start (): Promise<EntryPorts> {
    const peerPort = await peerServer.listen()
    void membership.peerConfigStatuses.messages.observe(({ node, status }) => keeper.observePeerStatus(node.nodeId, status))
    membership.start()
    keeper.start()
    await vms.start()
    ownerPart.coordinator.start()
    routerPart.poller.start()
    const operatorPort = await operatorServer.listen()
    const callerPort = await callerServer.listen()
    log.info('The node listens.', { nodeId: self.nodeId, callerPort, peerPort, operatorPort })
    return { callerPort, peerPort, operatorPort }
  }

  async function stop (): Promise<void> {
    isStopping = true
    log.info('The node shuts down.', { inFlightCount: callerServer.getInFlightCount() })
    await delay(timers, settings.shutdown.balancerNoticeMs)
    const cutOff = settings.shutdown.maxDrainMs > 0
      ? timers.subscribeOnce(settings.shutdown.maxDrainMs, () => callerServer.destroy())
      : undefined
    await callerServer.drain()
    cutOff?.cancel()
    routerPart.admission.close()
    await orders.drain()
    await keeper.leave()
    membership.leave()
    await delay(timers, handOverMs)
    await closeParts()
    log.info('The node has ended.')
  }

  async function closeParts (): Promise<void> {
    routerPart.poller.stop()
    routerPart.evidenceCache.stop()
    ownerPart.coordinator.stop()
    keeper.stop()
    vms.stop()
    await socket.close()
    operatorServer.close()
    peerServer.close()
    peerClient.close()
    await clients.close()
    await traces.shutdown()
  }

  return { start, stop, abort: () => callerServer.destroy() }
}

function readSharedSecret (settings: EntrySettings): { sharedSecret?: string } {
  const file = settings.peers.sharedSecretFile
  return file === undefined ? {} : { sharedSecret: readFileSync(file, 'utf8').trim() }
}

function createPeerConfigPort (link: PeerLink): PeerConfigPort {
  return {
    async fetch (node, knownVersion) {
      const answer = await link.fetchConfig(node.peerAddress, knownVersion)
      return answer.isOk ? answer : failure({ kind: 'unreachable', reason: answer.error.reason })
    },
    async push (node, snapshot) {
      const answer = await link.pushConfig(node.peerAddress, snapshot)
      return answer.isOk ? answer : failure({ kind: 'unreachable', reason: answer.error.reason })
    }
  }
}
