import { createMembershipCore, type MembershipCore } from '../coordination/membership/membership-core.js'
import { MembershipActionKind, MembershipEventKind, type MembershipAction } from '../coordination/membership/membership-event.js'
import { MemberStatus } from '../coordination/membership/member-update.js'
import { defaultMembershipSettings } from '../coordination/membership/membership-settings.js'
import type { EntryNodeInfo } from '../coordination/ports/membership-view.js'
import type { GossipMessage } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createRandomSource } from '../shared/random-source.js'
import { decodeDatagram, encodeDatagram } from '../transport/gossip-udp.js'

interface FleetNode {
  readonly core: MembershipCore
  readonly self: EntryNodeInfo
  isRunning: boolean
}

/** Counts for the whole fleet since the last reset. */
export interface FleetTraffic {
  messageCount: number
  byteCount: number
  /** View changes after which a node knows fewer live nodes than are running; one false death may count several times. */
  falseDeathCount: number
}

/** Membership cores in one process that exchange encoded and signed datagrams without sockets, in virtual time. */
export interface MembershipFleet {
  readonly nodes: readonly FleetNode[]
  readonly traffic: FleetTraffic
  /** Fraction of the datagrams that are lost, 0 to 1. */
  lossRatio: number
  getNowMs (): number
  resetTraffic (): void
  run (durationMs: number): void
  /** Runs until the condition holds and returns the time in ms that took; undefined if it does not hold within `maxDurationMs`. */
  runUntil (isMet: () => boolean, maxDurationMs: number): number | undefined
  /** Stops a node without notice to the others. */
  kill (index: number): void
  /** Whether every running node has recorded the given nodes as dead. */
  isKnownDead (nodeIndexes: readonly number[]): boolean
}

const secret = 'benchmark'
const maxLatencyMs = 10
/** One bucket per millisecond. Must exceed the longest delay that is scheduled: one tick. */
const timerBucketCount = 128

const zoneNames = ['praha-dilna', 'horice-lom', 'kolin-sklad']

/** Creates the description of the node with this index, from 0. */
export function createFleetNode (index: number): EntryNodeInfo {
  const host = `10.${index >> 16}.${(index >> 8) % 256}.${index % 256}`
  return {
    nodeId: `entry-${String(index).padStart(4, '0')}`,
    incarnation: 1_764_800_000_000 + index,
    peerAddress: `${host}:7001`,
    gossipAddress: `${host}:7000`,
    availabilityZone: zoneNames[index % zoneNames.length] as string,
    partner: 'vrany'
  }
}

/** Creates a fleet in which every node knows all others. */
export function createMembershipFleet (nodeCount: number, seed: number): MembershipFleet {
  const random = createRandomSource(seed)
  const nodeInfos = Array.from({ length: nodeCount }, (_unused, index) => createFleetNode(index))
  const nodes: FleetNode[] = nodeInfos.map(self => ({ core: createSynchronizedCore(self, nodeInfos, random.nextInt(2 ** 31)), self, isRunning: true }))
  const indexByAddress = new Map(nodeInfos.map((self, index) => [self.gossipAddress, index]))
  const timerBuckets: Array<Array<() => void>> = Array.from({ length: timerBucketCount }, () => [])
  const traffic: FleetTraffic = { messageCount: 0, byteCount: 0, falseDeathCount: 0 }
  let nowMs = 0

  function schedule (inMs: number, act: () => void): void {
    timerBuckets[(nowMs + inMs) % timerBucketCount]?.push(act)
  }

  function perform (actions: readonly MembershipAction[]): void {
    for (const action of actions) {
      if (action.kind === MembershipActionKind.Send) send(action.address, action.message)
      if (action.kind === MembershipActionKind.ViewChanged) countFalseDeaths(action.liveNodes.length)
    }
  }

  function countFalseDeaths (liveNodeCount: number): void {
    const runningCount = nodes.filter(node => node.isRunning).length
    if (liveNodeCount < runningCount) traffic.falseDeathCount += 1
  }

  function send (address: string, message: GossipMessage): void {
    const datagram = encodeDatagram(message, secret)
    traffic.messageCount += 1
    traffic.byteCount += datagram.length
    const target = nodes[indexByAddress.get(address) ?? -1]
    if (target === undefined || random.nextFloat() < fleet.lossRatio) return
    schedule(1 + random.nextInt(maxLatencyMs), () => {
      if (!target.isRunning) return
      const received = decodeDatagram(datagram, secret)
      if (received !== undefined) perform(target.core.step(nowMs, { kind: MembershipEventKind.Received, message: received }))
    })
  }

  function tick (node: FleetNode): void {
    if (!node.isRunning) return
    perform(node.core.step(nowMs, { kind: MembershipEventKind.Tick }))
    schedule(defaultMembershipSettings.tickMs, () => tick(node))
  }

  function advance (): void {
    nowMs += 1
    const due = timerBuckets[nowMs % timerBucketCount]
    if (due === undefined || due.length === 0) return
    timerBuckets[nowMs % timerBucketCount] = []
    for (const act of due) act()
  }

  for (const node of nodes) schedule(1 + random.nextInt(defaultMembershipSettings.tickMs), () => tick(node))

  const fleet: MembershipFleet = {
    nodes,
    traffic,
    lossRatio: 0,
    getNowMs: () => nowMs,
    resetTraffic () {
      Object.assign(traffic, { messageCount: 0, byteCount: 0, falseDeathCount: 0 })
    },
    run (durationMs) {
      for (const endMs = nowMs + durationMs; nowMs < endMs;) advance()
    },
    runUntil (isMet, maxDurationMs) {
      for (let durationMs = 0; durationMs < maxDurationMs; durationMs += defaultMembershipSettings.tickMs) {
        if (isMet()) return durationMs
        fleet.run(defaultMembershipSettings.tickMs)
      }
      return undefined
    },
    kill (index) {
      const node = nodes[index]
      if (node !== undefined) node.isRunning = false
    },
    isKnownDead (nodeIndexes) {
      const nodeIds = nodeIndexes.map(index => nodeInfos[index]?.nodeId ?? '')
      return nodes.every(({ core, isRunning }) => !isRunning || nodeIds.every(id => core.table.get(id)?.status === MemberStatus.Dead))
    }
  }
  return fleet
}

/** Creates the membership core of a node that knows all others as alive. */
export function createSynchronizedCore (self: EntryNodeInfo, others: readonly EntryNodeInfo[], seed: number): MembershipCore {
  const core = createMembershipCore({
    self,
    startMs: 0,
    random: createRandomSource(seed),
    settings: defaultMembershipSettings,
    getConfigStatus: () => ({ version: 4_000, confirmedAgeMs: 900, hasConfig: true, isStoreUnreachable: false, versionInUse: 4_000, canAttest: true })
  })
  for (const node of others) {
    if (node.nodeId !== self.nodeId) core.table.apply({ node, refutation: 0, status: MemberStatus.Alive }, 0)
  }
  return core
}
