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
import { createHopTracing } from './hop-tracing.js'
import { openMembershipPart } from './membership-part.js'
import { createOwnerPart } from './owner-part.js'
import { createPeerConfigPort } from './peer-config-port.js'
import { createPlatformClients } from './platform-clients.js'
import { createRouterPart } from './router-part.js'

const peerCallTimeoutMs = 1000
const millisecondsPerHour = 3_600_000

/** The parts of one entry node, before any of them has started. */
export type EntryParts = Awaited<ReturnType<typeof createEntryParts>>

/** Creates the parts from the settings; rejects when the membership address is taken. */
export async function createEntryParts (settings: EntrySettings) {
  const timers = createSystemTimerService()
  const random = createRandomSource(createProcessSeed())
  const createLogger = createLoggerFactory(settings.log)
  const metrics = createMetrics()
  const traces = createTraces(settings.traces, settings.nodeId)
  const clients = createPlatformClients(settings.platform, timers)
  const sharedSecret = readSharedSecret(settings)
  const peerClient = createPeerRpcClient({ timers, callTimeoutMs: peerCallTimeoutMs, ...sharedSecret })
  const groupSettings = {
    ...defaultGroupSettings,
    probeIntervalMs: settings.groups.probeIntervalMs,
    evidenceMaxAgeMs: settings.groups.evidenceMaxAgeMs,
    commandLifetimeMs: settings.groups.engineOrderLifeMs
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
  const hopTracing = createHopTracing({ traces, metrics, timers })
  const serviceClient = createWatchfulServiceClient(hopTracing.traceServiceClient(clients.serviceClient), vms)
  const engineStreams = hopTracing.traceEngineStreams(clients.engineStreams)
  const shared = { clients, vms, timers, random, membership: membership.view, keeper, groupSettings }
  const ownerPart = createOwnerPart(shared)
  const routerPart = createRouterPart({ ...shared, engineStreams, peerLink: peerClient, settings, answerPoll: ownerPart.answerPoll })
  const orders = createOrderExecutor({
    store: clients.store,
    serviceClient,
    timers,
    random,
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
    clients,
    sharedSecret,
    peerClient,
    membership,
    socket,
    keeper,
    vms,
    serviceCaller: serviceClient,
    ownerPart,
    routerPart,
    orders
  }
}

function readSharedSecret (settings: EntrySettings): { sharedSecret?: string } {
  const file = settings.peers.sharedSecretFile
  return file === undefined ? {} : { sharedSecret: readFileSync(file, 'utf8').trim() }
}

/** Tells the directory which backend servers refused a call, so that others are chosen for a while. */
function createWatchfulServiceClient (client: ServiceClient, vms: VmDirectory): ServiceClient {
  return {
    async call (address, request) {
      const answer = await client.call(address, request)
      if (!answer.isOk && answer.error.kind === ServiceErrorKind.NotSent) vms.reportConnectionRefused(address)
      return answer
    }
  }
}
