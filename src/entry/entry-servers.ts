import { createApiServer, type Readiness } from '../client-api/api-server.js'
import { createModelHandler } from '../client-api/model-handler.js'
import { createServiceHandler } from '../client-api/service-handler.js'
import { createFleetGroupsSource, describeOwnDomains } from '../coordination/operators/fleet-groups.js'
import { MetricGauge } from '../observability/metrics.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import { createPeerRpcServer } from '../transport/peer-rpc-server.js'
import type { EntryComponents } from './entry-components.js'
import { createOperatorServer } from './operator-server.js'

/** The servers of one entry node. */
export type EntryServers = ReturnType<typeof createEntryServers>

/** Creates the servers for clients, peers and operators; none listens yet. */
export function createEntryServers (settings: EntrySettings, components: EntryComponents, isStopping: () => boolean) {
  const { timers, createLogger, metrics, traces, buffers, sharedSecret, peerClient, membership, keeper, vms, serviceClient, ownerComponents, routerComponents, orders } = components
  const describeSelf = () => describeOwnDomains(ownerComponents.coordinator, membership.view.self.nodeId)

  function getReadiness (): Readiness {
    const config = keeper.getConfig()
    const freshness = keeper.getFreshness()
    if (config === undefined || !freshness.canServe) return { isReady: false, reason: `configuration is not confirmed: ${freshness.reason}` }
    return { isReady: true, config }
  }

  function getBalancerReadiness (): Readiness {
    return isStopping() ? { isReady: false, reason: 'the node is shutting down' } : getReadiness()
  }

  function updateGauges (): void {
    const deployments = keeper.getConfig()?.deployments ?? []
    const completeCount = deployments.reduce((count, { name }) => count + routerComponents.evidenceCache.getFreshGroups(name, timers.nowMs()).length, 0)
    metrics.setGauge(MetricGauge.CompleteGroupCount, completeCount)
    metrics.setGauge(MetricGauge.IsReady, Number(getBalancerReadiness().isReady))
    metrics.setGauge(MetricGauge.InFlightCount, apiServer.getInFlightCount())
  }

  const apiServer = createApiServer({
    settings: settings.callers,
    buffers,
    timers,
    modelHandler: createModelHandler({
      streams: routerComponents.streams, timers, metrics, slowReaderTimeoutMs: settings.callers.slowReaderTimeoutMs
    }),
    serviceHandler: createServiceHandler({
      orders,
      serviceClient,
      timers,
      responseBudget: buffers.responses,
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
    limits: { timers, budget: buffers.messages, maxConnectionCount: settings.peers.maxConnectionCount },
    ...sharedSecret,
    handlers: {
      pollGroups (request) {
        if (request.config !== undefined) keeper.observePeerStatus(request.nodeId, request.config)
        return ownerComponents.handlePoll(request)
      },
      fetchConfig: keeper.getSnapshot,
      pushConfig: keeper.acceptSnapshot,
      describeDomains: describeSelf
    }
  })
  const operatorServer = createOperatorServer({
    settings: settings.operators,
    keeper,
    timers,
    messageBudget: buffers.messages,
    membership: membership.view,
    coordinator: ownerComponents.coordinator,
    statusSource: createFleetGroupsSource(membership.view, peerClient, describeSelf)
  })
  return { apiServer, peerServer, operatorServer }
}
