import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

import { GossipMessage_Kind as MessageKind, type GossipMessage } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { openGossipSocket } from '../transport/gossip-udp.js'
import type { BenchmarkContext } from './benchmark.js'
import { createSynchronizedCore, createFleetNode } from './membership-fleet.js'

const memoryCoreCount = 10
const memoryNodeCount = 2_200
const datagramCount = 10_000
const datagramsInFlight = 50

/** Returns the heap in use after a garbage collection. */
function getHeapBytes (): number {
  setFlagsFromString('--expose_gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/** Prints the heap that the membership core uses for each known node. */
export function measureMemory (context: BenchmarkContext): void {
  const bytesAtStart = getHeapBytes()
  const cores = Array.from({ length: memoryCoreCount }, () => {
    const nodes = Array.from({ length: memoryNodeCount }, (_unused, index) => createFleetNode(index))
    return createSynchronizedCore(createFleetNode(0), nodes, context.seed)
  })
  const bytes = (getHeapBytes() - bytesAtStart) / memoryCoreCount
  const knownCount = cores.reduce((count, core) => count + core.table.getLiveNodes().length, 0) / memoryCoreCount
  context.print(`memory: ${(bytes / knownCount).toFixed(0)} bytes a known node, ${(bytes / 1e6).toFixed(2)} MB at ${knownCount} nodes`)
}

/** Prints the processor time of sending and receiving one signed datagram over loopback. */
export async function measureSocket (context: BenchmarkContext): Promise<void> {
  const first = await openGossipSocket({ host: '127.0.0.1', port: 0, secret: 'benchmark' })
  const second = await openGossipSocket({ host: '127.0.0.1', port: 0, secret: 'benchmark' })
  if (!first.isOk || !second.isOk) return
  const self = { ...createFleetNode(1), refutation: 0, status: 1 }
  const message: GossipMessage = {
    kind: MessageKind.KIND_PING, sequence: 1, sender: self, targetNodeId: self.nodeId, updates: [], config: undefined, pageAfter: '', isLastPage: false, liveDigest: 7
  }
  let receivedCount = 0
  const cpuAtStart = process.cpuUsage()
  await new Promise<void>(resolve => {
    void second.value.link.received.messages.observe(() => {
      receivedCount += 1
      if (receivedCount === datagramCount) resolve()
      if (receivedCount + datagramsInFlight <= datagramCount) first.value.link.send(second.value.address, message)
    })
    setImmediate(() => {
      for (let count = 0; count < datagramsInFlight; count += 1) first.value.link.send(second.value.address, message)
    })
  })
  const used = process.cpuUsage(cpuAtStart)
  context.print(`socket: ${((used.user + used.system) / datagramCount).toFixed(0)} us of processor time for one datagram, sent and received`)
  await first.value.close()
  await second.value.close()
}
