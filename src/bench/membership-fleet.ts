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

/** What the whole fleet sent since the last reset. */
export interface FleetTraffic {
  messageCount: number
  byteCount: number
  /** Deaths of running nodes that some node believed. */
  falseDeathCount: number
}

/** Many membership cores in one process, with codec and signature but without sockets. */
export interface MembershipFleet {
  readonly nodes: readonly FleetNode[]
  readonly traffic: FleetTraffic
  /** Part of the messages that are lost, in [0, 1]. */
  lossRatio: number
  getNowMs (): number
  resetTraffic (): void
  run (spanMs: number): void
  /** Runs until the condition holds; undefined when it does not within the span. */
  runUntil (isReached: () => boolean, maxSpanMs: number): number | undefined
  kill (index: number): void
  /** Tells whether every running node takes the given nodes for dead. */
  isKnownDead (indexes: readonly number[]): boolean
}

const secret = 'benchmark'
const maxLatencyMs = 10
/** Covers the longest time between an event and its effect: one tick. */
const bucketCount = 128

const zoneNames = ['praha-dilna', 'horice-lom', 'kolin-sklad']

/** Creates the node with an index in a fleet. */
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

/** Creates a fleet whose nodes know each other. */
export function createMembershipFleet (nodeCount: number, seed: number): MembershipFleet {
  const random = createRandomSource(seed)
  const selves = Array.from({ length: nodeCount }, (_unused, index) => createFleetNode(index))
  const nodes: FleetNode[] = selves.map(self => ({ core: createFilledCore(self, selves, random.nextInt(2 ** 31)), self, isRunning: true }))
  const indexByAddress = new Map(selves.map((self, index) => [self.gossipAddress, index]))
  const buckets: Array<Array<() => void>> = Array.from({ length: bucketCount }, () => [])
  const traffic: FleetTraffic = { messageCount: 0, byteCount: 0, falseDeathCount: 0 }
  let nowMs = 0

  function schedule (inMs: number, act: () => void): void {
    buckets[(nowMs + inMs) % bucketCount]?.push(act)
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
    const due = buckets[nowMs % bucketCount]
    if (due === undefined || due.length === 0) return
    buckets[nowMs % bucketCount] = []
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
    run (spanMs) {
      for (const endMs = nowMs + spanMs; nowMs < endMs;) advance()
    },
    runUntil (isReached, maxSpanMs) {
      for (let spanMs = 0; spanMs < maxSpanMs; spanMs += defaultMembershipSettings.tickMs) {
        if (isReached()) return spanMs
        fleet.run(defaultMembershipSettings.tickMs)
      }
      return undefined
    },
    kill (index) {
      const node = nodes[index]
      if (node !== undefined) node.isRunning = false
    },
    isKnownDead (indexes) {
      const ids = indexes.map(index => selves[index]?.nodeId ?? '')
      return nodes.every(({ core, isRunning }) => !isRunning || ids.every(id => core.table.get(id)?.status === MemberStatus.Dead))
    }
  }
  return fleet
}

/** Creates the core of a node that knows all others. */
export function createFilledCore (self: EntryNodeInfo, others: readonly EntryNodeInfo[], seed: number): MembershipCore {
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
