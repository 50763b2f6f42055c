import type { EntrySettings } from '../settings/entry-settings.js'
import { delay } from '../shared/timer-service.js'
import { createEntryParts } from './entry-parts.js'
import { createEntryServers } from './entry-servers.js'
import { startEventLog } from './event-log.js'

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
  readonly clientPort: number
  readonly operatorPort: number
  readonly peerPort: number
}

/** Creates an entry node from its settings; rejects when its membership address is taken. */
export async function createEntryNode (settings: EntrySettings): Promise<EntryNode> {
  const parts = await createEntryParts(settings)
  const { timers, clients, membership, keeper, vms, ownerPart, routerPart, orders } = parts
  const { self } = membership.view
  const log = parts.createLogger('entry')
  let isStopping = false
  const { callerServer: apiServer, peerServer, operatorServer } = createEntryServers(settings, parts, () => isStopping)
  startEventLog({ ...parts, groupEvents: ownerPart.coordinator.events, orderEvents: orders.events })

  async function start (): Promise<EntryPorts> {
    const peerPort = await peerServer.listen()
    void membership.peerConfigStatuses.messages.observe(({ node, status }) => keeper.observePeerStatus(node.nodeId, status))
    membership.start()
    keeper.start()
    await vms.start()
    ownerPart.coordinator.start()
    routerPart.poller.start()
    const operatorPort = await operatorServer.listen()
    const clientPort = await apiServer.listen()
    log.info('The node listens.', { nodeId: self.nodeId, callerPort: clientPort, peerPort, operatorPort })
    return { clientPort, peerPort, operatorPort }
  }

  async function stop (): Promise<void> {
    isStopping = true
    log.info('The node shuts down.', { inFlightCount: apiServer.getInFlightCount() })
    await delay(timers, settings.shutdown.balancerNoticeMs)
    const cutOff = settings.shutdown.maxDrainMs > 0
      ? timers.subscribeOnce(settings.shutdown.maxDrainMs, () => apiServer.destroy())
      : undefined
    await apiServer.drain()
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
    await parts.socket.close()
    operatorServer.close()
    peerServer.close()
    parts.peerClient.close()
    await clients.close()
    await parts.traces.shutdown()
  }

  return { start, stop, abort: () => apiServer.destroy() }
}
