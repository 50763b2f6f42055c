import type { EntrySettings } from '../settings/entry-settings.js'
import { delay } from '../shared/timer-service.js'
import { createEntryComponents } from './entry-components.js'
import { createEntryServers } from './entry-servers.js'
import { startEventLog } from './event-log.js'

/** Time for which a node that left the membership still responds to its peers, until they use the new owners of its fabric domains. */
const handoverMs = 1000

/** One entry node. It routes the requests of its clients and manages the groups of the fabric domains that it owns. */
export interface EntryNode {
  /** Resolves with the ports once all servers listen; rejects when one of them cannot listen. */
  start (): Promise<EntryPorts>
  /**
   * Shuts down gracefully: reports not ready, waits `balancerNoticeMs`, drains the requests in flight for at most `maxDrainMs`,
   * leaves the membership and closes.
   */
  stop (): Promise<void>
  /** Aborts the requests that are still in flight. */
  abort (): void
}

/** The ports on which the servers listen. */
export interface EntryPorts {
  readonly clientPort: number
  readonly operatorPort: number
  readonly peerPort: number
}

/** Creates an entry node; rejects when a file named in the settings cannot be read or the gossip address cannot be bound. */
export async function createEntryNode (settings: EntrySettings): Promise<EntryNode> {
  const components = await createEntryComponents(settings)
  const { timers, clients, membership, keeper, vms, ownerComponents, routerComponents, orders } = components
  const { self } = membership.view
  const log = components.createLogger('entry')
  let isStopping = false
  const { apiServer, peerServer, operatorServer } = createEntryServers(settings, components, () => isStopping)
  startEventLog({ ...components, groupEvents: ownerComponents.coordinator.events, orderEvents: orders.events })

  async function start (): Promise<EntryPorts> {
    const peerPort = await peerServer.listen()
    void membership.peerConfigStatuses.messages.observe(({ node, status }) => keeper.observePeerStatus(node.nodeId, status))
    membership.start()
    keeper.start()
    await vms.start()
    ownerComponents.coordinator.start()
    routerComponents.poller.start()
    const operatorPort = await operatorServer.listen()
    const clientPort = await apiServer.listen()
    log.info('The node is listening.', { nodeId: self.nodeId, callerPort: clientPort, peerPort, operatorPort })
    return { clientPort, peerPort, operatorPort }
  }

  async function stop (): Promise<void> {
    isStopping = true
    log.info('The node is shutting down.', { inFlightCount: apiServer.getInFlightCount() })
    await delay(timers, settings.shutdown.balancerNoticeMs)
    const drainTimer = settings.shutdown.maxDrainMs > 0
      ? timers.subscribeOnce(settings.shutdown.maxDrainMs, () => apiServer.destroy())
      : undefined
    await apiServer.drain()
    drainTimer?.cancel()
    routerComponents.admission.close()
    await orders.drain()
    await keeper.leave()
    membership.leave()
    await delay(timers, handoverMs)
    await closeComponents()
    log.info('The node has stopped.')
  }

  async function closeComponents (): Promise<void> {
    routerComponents.poller.stop()
    routerComponents.evidenceCache.stop()
    ownerComponents.coordinator.stop()
    keeper.stop()
    vms.stop()
    await components.socket.close()
    operatorServer.close()
    peerServer.close()
    components.peerClient.close()
    await clients.close()
    await components.traces.shutdown()
  }

  return { start, stop, abort: () => apiServer.destroy() }
}
