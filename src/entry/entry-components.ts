import { readFileSync } from 'node:fs'

import { createConfigKeeper } from '../coordination/config/config-keeper.js'
import { defaultGroupSettings } from '../coordination/groups/group-settings.js'
import { createOrderExecutor } from '../coordination/orders/order-executor.js'
import { defaultOrderSettings } from '../coordination/orders/order-settings.js'
import { ServiceErrorKind, type ServiceClient } from '../coordination/ports/service-client.js'
import { createVmDirectory, type VmDirectory } from '../coordination/vms/vm-directory.js'
import { createLoggerFactory } from '../observability/log.js'
import { createMetrics } from '../observability/metrics.js'
import { createTraces } from '../observability/traces.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import { createProcessSeed, createRandomSource } from '../shared/random-source.js'
import { createSystemTimerService } from '../shared/timer-service.js'
import { createPeerRpcClient } from '../transport/peer-rpc-client.js'
import { createProcessBuffers } from '../transport/process-buffers.js'
import { createHopTracing } from './hop-tracing.js'
import { openMembership } from './membership-components.js'
import { createOwnerComponents } from './owner-components.js'
import { createPeerConfigPort } from './peer-config-port.js'
import { createOutgoingClients } from './outgoing-clients.js'
import { createRouterComponents } from './router-components.js'

const peerCallTimeoutMs = 1000
const bytesPerMegabyte = 1_000_000
const millisecondsPerHour = 3_600_000

/** The components of one entry node, of which none is started yet. */
export type EntryComponents = Awaited<ReturnType<typeof createEntryComponents>>

/** Creates the components; rejects when the secret file cannot be read or the gossip address cannot be bound. */
export async function createEntryComponents (settings: EntrySettings) {
  const timers = createSystemTimerService()
  const random = createRandomSource(createProcessSeed())
  const createLogger = createLoggerFactory(settings.log)
  const metrics = createMetrics()
  const traces = createTraces(settings.traces, settings.nodeId)
  const buffers = createProcessBuffers({
    memoryBytes: settings.limits.memoryMb * bytesPerMegabyte, maxHeaderBytes: settings.callers.maxHeaderBytes, timers, createLogger
  })
  const clients = createOutgoingClients(settings.platform, timers, buffers.responses)
  const sharedSecret = readSharedSecret(settings)
  const peerClient = createPeerRpcClient({ timers, callTimeoutMs: peerCallTimeoutMs, ...sharedSecret })
  const groupSettings = {
    ...defaultGroupSettings,
    probeIntervalMs: settings.groups.probeIntervalMs,
    evidenceMaxAgeMs: settings.groups.evidenceMaxAgeMs,
    commandLifetimeMs: settings.groups.engineOrderLifeMs
  }
  const { membership, socket } = await openMembership({
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
  const hopTracing = createHopTracing({ traces, metrics, timers })
  const serviceClient = reportRefusedConnections(hopTracing.traceServiceClient(clients.serviceClient), vms)
  const engineStreams = hopTracing.traceEngineStreams(clients.engineStreams)
  const commonOptions = { clients, vms, timers, random, membership: membership.view, keeper, groupSettings }
  const ownerComponents = createOwnerComponents(commonOptions)
  const routerComponents = createRouterComponents({ ...commonOptions, engineStreams, peerLink: peerClient, settings, handlePoll: ownerComponents.handlePoll })
  const orders = createOrderExecutor({
    store: clients.store,
    serviceClient,
    timers,
    random,
    // The incarnation tells the claims of this process from those of earlier runs of the node.
    claimant: `${self.nodeId}:${self.incarnation}`,
    settings: {
      ...defaultOrderSettings,
      retentionMs: settings.orders.retentionHours * millisecondsPerHour,
      maxStoredAnswerBytes: settings.orders.maxStoredAnswerBytes
    }
  })
  return {
    timers,
    createLogger,
    metrics,
    traces,
    buffers,
    clients,
    sharedSecret,
    peerClient,
    membership,
    socket,
    keeper,
    vms,
    serviceClient,
    ownerComponents,
    routerComponents,
    orders
  }
}

function readSharedSecret (settings: EntrySettings): { sharedSecret?: string } {
  const file = settings.peers.sharedSecretFile
  return file === undefined ? {} : { sharedSecret: readFileSync(file, 'utf8').trim() }
}

/** Wraps the client so that it reports a backend server that a call could not be sent to; the directory then avoids it for a short time. */
function reportRefusedConnections (client: ServiceClient, vms: VmDirectory): ServiceClient {
  return {
    async call (address, request) {
      const result = await client.call(address, request)
      if (!result.isOk && result.error.kind === ServiceErrorKind.NotSent) vms.reportConnectionRefused(address)
      return result
    }
  }
}
