import { createMembership, type Membership, type MembershipOptions } from '../coordination/membership/membership.js'
import { createNodeDirectory } from '../coordination/membership/node-directory.js'
import { defaultMembershipSettings } from '../coordination/membership/membership-settings.js'
import type { EntryNodeInfo } from '../coordination/ports/membership-view.js'
import type { GossipMessage } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createChannel } from '../shared/channel.js'
import { createRandomSource } from '../shared/random-source.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeKeyValueStore, type FakeKeyValueStore } from '../testing/fake-key-value-store.js'
import { createMembershipNetwork, trafficWindowMs, type MembershipNetwork } from './membership-network.js'
import { createProcessTimers, createSimulatedProcess, type SimulatedProcess } from './simulated-process.js'

export const membershipNodeCount = 5

/** Changes the options of a node, to create a deliberately broken variant. */
export type MembershipMutator = (options: MembershipOptions) => MembershipOptions

interface SimulatedNode {
  readonly self: EntryNodeInfo
  readonly membership: Membership
  readonly process: SimulatedProcess
  pausedAtMs?: number
}

/** Simulated entry nodes that discover and probe each other in virtual time, and the checks on them. */
export interface MembershipWorld {
  readonly timers: VirtualTimerService
  readonly network: MembershipNetwork
  readonly store: FakeKeyValueStore
  /** Messages of all violations so far. */
  readonly violations: string[]
  /** Starts a node; kills its running process first, if there is one. */
  start (index: number): void
  kill (index: number): void
  leave (index: number): void
  pause (index: number): void
  resume (index: number): Promise<void>
  /** Drops all messages in one direction between two nodes. */
  cut (from: number, to: number): void
  heal (from: number, to: number): void
  /** Drops all messages that a node sends, or all that it should receive. */
  isolate (index: number, isSending: boolean): void
  setLoss (lossRatio: number): void
  /** Throws if a violation was found. */
  assertHolds (): void
  /** Ends all faults and checks that the nodes agree after `settlingBoundMs`. */
  settle (): Promise<void>
}

const settlingBoundMs = 150_000
/** Messages that may wait for a paused node; further ones are dropped, as in a full socket buffer. */
const maxBufferedMessageCount = 100
// Limits for what one node sends, averaged over `trafficWindowMs`.
const maxMessagesPerSecond = 15
const maxBytesPerSecond = 9_000
const millisecondsPerSecond = 1_000

/** Creates a world without running nodes. */
export function createMembershipWorld (seed: number, mutateOptions: MembershipMutator = options => options): MembershipWorld {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const network = createMembershipNetwork(timers, random)
  const store = createFakeKeyValueStore(timers, random)
  const nodes = new Map<number, SimulatedNode>()
  const violations: string[] = []
  /** Makes incarnations differ when two nodes start in the same millisecond. */
  let startCount = 0
  /** Whether a fault occurred that may make a running node look dead: a pause, message loss, an isolation or cuts between several pairs. */
  let wasDisturbed = false
  let wasKilled = false
  let wasCut = false

  const getId = (index: number) => `entry-${index}`
  const getAddress = (index: number) => `10.0.0.${index}:7000`

  function createSelf (index: number): EntryNodeInfo {
    startCount += 1
    return {
      nodeId: getId(index),
      incarnation: timers.wallClockMs() + startCount,
      peerAddress: `10.0.0.${index}:7001`,
      gossipAddress: getAddress(index),
      availabilityZone: `zone-${index % 2}`,
      partner: 'vrany'
    }
  }

  function attach (node: SimulatedNode, receive: (message: GossipMessage) => void): void {
    let bufferedCount = 0
    network.attach(node.self.gossipAddress, message => {
      if (bufferedCount >= maxBufferedMessageCount) return
      bufferedCount += 1
      void node.process.waitUntilRunning().then(() => {
        bufferedCount -= 1
        receive(message)
      })
    })
  }

  function createNode (index: number): SimulatedNode {
    const nodeProcess = createSimulatedProcess()
    const self = createSelf(index)
    const received = createChannel<GossipMessage>()
    const nodeTimers = createProcessTimers(timers, nodeProcess)
    const nodeRandom = createRandomSource(random.nextInt(2 ** 31))
    const membership = createMembership(mutateOptions({
      self,
      timers: nodeTimers,
      random: nodeRandom,
      link: { send: (address, message) => { if (nodeProcess.isRunning) network.send(self.gossipAddress, address, message) }, received },
      getConfigStatus: () => ({ version: 1, confirmedAgeMs: 0, hasConfig: true, isStoreUnreachable: false, versionInUse: 1, canAttest: true }),
      seeds: [getAddress(0)],
      directory: createNodeDirectory(store.createClient().store, nodeTimers, nodeRandom),
      settings: defaultMembershipSettings
    }))
    const node = { self, membership, process: nodeProcess }
    attach(node, received.send)
    void membership.view.liveNodeChanges.observe(liveNodes => checkDeathReports(node, liveNodes))
    return node
  }

  /** Records a violation if the watcher sees a running node as dead although no fault can explain it. */
  function checkDeathReports (watcher: SimulatedNode, liveNodes: readonly EntryNodeInfo[]): void {
    // Indirect probes bridge a cut between a single pair of nodes, as long as no other node was killed.
    const mayMissNodes = wasDisturbed || (wasCut && wasKilled)
    if (mayMissNodes) return
    const seen = new Set(liveNodes.map(node => node.nodeId))
    const known = new Set(watcher.membership.view.getKnownNodes().map(node => node.nodeId))
    for (const { self } of nodes.values()) {
      if (known.has(self.nodeId) && !seen.has(self.nodeId)) violations.push(`${watcher.self.nodeId} saw ${self.nodeId} as dead although no fault explains it`)
    }
  }

  function kill (index: number): void {
    const node = nodes.get(index)
    if (node === undefined) return
    wasKilled = true
    node.process.kill()
    network.attach(node.self.gossipAddress, undefined)
    nodes.delete(index)
  }

  function checkTraffic (): void {
    const peak = network.getPeak()
    const seconds = trafficWindowMs / millisecondsPerSecond
    if (peak.messageCount > maxMessagesPerSecond * seconds) violations.push(`a node sent ${peak.messageCount} messages in ${seconds} s`)
    if (peak.byteCount > maxBytesPerSecond * seconds) violations.push(`a node sent ${peak.byteCount} bytes in ${seconds} s`)
  }

  function checkAgreement (): void {
    const running = [...nodes.values()].map(node => `${node.self.nodeId}/${node.self.incarnation}`).sort().join(' ')
    for (const { self, membership } of nodes.values()) {
      const live = membership.view.getLiveNodes().map(node => `${node.nodeId}/${node.incarnation}`).join(' ')
      if (live !== running) violations.push(`${self.nodeId} sees [${live}] instead of [${running}]`)
      if (!membership.isViewTrusted()) violations.push(`${self.nodeId} still distrusts its view`)
    }
  }

  function assertHolds (): void {
    checkTraffic()
    if (violations.length > 0) throw new Error(violations.join('; '))
  }

  const world: MembershipWorld = {
    timers,
    network,
    store,
    violations,
    start (index) {
      kill(index)
      const node = createNode(index)
      nodes.set(index, node)
      node.membership.start()
    },
    kill,
    leave (index) {
      const node = nodes.get(index)
      if (node === undefined || !node.process.isRunning) return
      node.membership.leave()
      network.attach(node.self.gossipAddress, undefined)
      nodes.delete(index)
    },
    pause (index) {
      const node = nodes.get(index)
      if (node === undefined || !node.process.isRunning) return
      wasDisturbed = true
      node.pausedAtMs = timers.nowMs()
      node.process.suspend()
    },
    async resume (index) {
      const node = nodes.get(index)
      if (node === undefined || node.pausedAtMs === undefined) return
      const pausedMs = timers.nowMs() - node.pausedAtMs
      node.pausedAtMs = undefined
      node.process.resume()
      node.process.runPending()
      await timers.advanceAsync(0)
      const knowsOthers = node.membership.view.getKnownNodes().length > 1
      const isLong = pausedMs > defaultMembershipSettings.periodMs * defaultMembershipSettings.suspicionPeriodCount
      if (isLong && knowsOthers && node.membership.isViewTrusted()) violations.push(`${node.self.nodeId} trusts its view after ${pausedMs} ms of pause`)
    },
    cut (from, to) {
      wasCut = true
      network.cut(getAddress(from), getAddress(to))
      const pairs = new Set([...network.getCuts()].map(cut => cut.split('>').sort().join()))
      if (pairs.size > 1) wasDisturbed = true
    },
    heal (from, to) {
      network.heal(getAddress(from), getAddress(to))
    },
    isolate (index, isSending) {
      wasDisturbed = true
      for (let other = 0; other < membershipNodeCount; other += 1) {
        const [from, to] = isSending ? [index, other] : [other, index]
        if (other !== index) network.cut(getAddress(from), getAddress(to))
      }
    },
    setLoss (lossRatio) {
      // A loss of zero excuses nothing that happens after it.
      if (lossRatio > 0) wasDisturbed = true
      network.lossRatio = lossRatio
    },
    assertHolds,
    async settle () {
      network.healAll()
      network.lossRatio = 0
      store.faults.isOut = false
      for (const index of [...nodes.keys()]) await world.resume(index)
      await timers.advanceAsync(settlingBoundMs)
      checkAgreement()
      assertHolds()
    }
  }
  return world
}
