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
import { createGatedTimers, createProcessGate, type ProcessGate } from './process-gate.js'

export const membershipNodeCount = 5

/** Replaces the parts that a node is made of, for a deliberately broken variant. */
export type MembershipBreaker = (options: MembershipOptions) => MembershipOptions

interface SimulatedNode {
  readonly self: EntryNodeInfo
  readonly membership: Membership
  readonly gate: ProcessGate
  pausedAtMs?: number
}

/** Several entry nodes that find and watch each other, in virtual time, with the rules that bind them. */
export interface MembershipWorld {
  readonly timers: VirtualTimerService
  readonly network: MembershipNetwork
  readonly store: FakeKeyValueStore
  readonly violations: string[]
  /** Starts a node, in place of its running process if there is one. */
  start (index: number): void
  kill (index: number): void
  leave (index: number): void
  pause (index: number): void
  resume (index: number): Promise<void>
  /** Cuts one direction between two nodes. */
  cut (from: number, to: number): void
  heal (from: number, to: number): void
  /** Cuts all that a node sends, or all that it should receive. */
  isolate (index: number, isSending: boolean): void
  setLoss (lossRatio: number): void
  assertHolds (): void
  /** Ends all faults and checks that the nodes agree within a bounded time. */
  settle (): Promise<void>
}

const settleMs = 150_000
const bufferedMessageCount = 100
const maxMessagesPerSecond = 15
const maxBytesPerSecond = 9_000
const millisecondsPerSecond = 1_000

/** Creates a world without running nodes. */
export function createMembershipWorld (seed: number, breakParts: MembershipBreaker = options => options): MembershipWorld {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const network = createMembershipNetwork(timers, random)
  const store = createFakeKeyValueStore(timers, random)
  const nodes = new Map<number, SimulatedNode>()
  const violations: string[] = []
  let incarnation = 0
  let wasDisturbed = false
  let wasKilled = false
  let wasCut = false

  const getId = (index: number) => `entry-${index}`
  const getAddress = (index: number) => `10.0.0.${index}:7000`

  function createSelf (index: number): EntryNodeInfo {
    incarnation += 1
    return {
      nodeId: getId(index),
      incarnation: timers.wallClockMs() + incarnation,
      peerAddress: `10.0.0.${index}:7001`,
      gossipAddress: getAddress(index),
      availabilityZone: `zone-${index % 2}`,
      partner: 'vrany'
    }
  }

  function attach (node: SimulatedNode, receive: (message: GossipMessage) => void): void {
    let bufferedCount = 0
    network.attach(node.self.gossipAddress, message => {
      if (bufferedCount >= bufferedMessageCount) return
      bufferedCount += 1
      void node.gate.pass().then(() => {
        bufferedCount -= 1
        receive(message)
      })
    })
  }

  function createNode (index: number): SimulatedNode {
    const gate = createProcessGate()
    const self = createSelf(index)
    const received = createChannel<GossipMessage>()
    const nodeTimers = createGatedTimers(timers, gate)
    const nodeRandom = createRandomSource(random.nextInt(2 ** 31))
    const membership = createMembership(breakParts({
      self,
      timers: nodeTimers,
      random: nodeRandom,
      link: { send: (address, message) => { if (gate.isOpen) network.send(self.gossipAddress, address, message) }, received },
      getConfigStatus: () => ({ version: 1, confirmedAgeMs: 0, hasConfig: true, isStoreUnreachable: false, versionInUse: 1, canAttest: true }),
      seeds: [getAddress(0)],
      directory: createNodeDirectory(store.createClient().store, nodeTimers, nodeRandom),
      settings: defaultMembershipSettings
    }))
    const node = { self, membership, gate }
    attach(node, received.send)
    void membership.view.liveNodeChanges.observe(liveNodes => checkLosses(node, liveNodes))
    return node
  }

  /** While no fault could hide a node, nobody may take a running node for dead. */
  function checkLosses (watcher: SimulatedNode, liveNodes: readonly EntryNodeInfo[]): void {
    const mayLose = wasDisturbed || (wasCut && wasKilled)
    if (mayLose) return
    const seen = new Set(liveNodes.map(node => node.nodeId))
    const known = new Set(watcher.membership.view.getKnownNodes().map(node => node.nodeId))
    for (const { self } of nodes.values()) {
      if (known.has(self.nodeId) && !seen.has(self.nodeId)) violations.push(`${watcher.self.nodeId} took ${self.nodeId} for dead without a reason`)
    }
  }

  function kill (index: number): void {
    const node = nodes.get(index)
    if (node === undefined) return
    wasKilled = true
    node.gate.destroy()
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
      if (node === undefined || !node.gate.isOpen) return
      node.membership.leave()
      network.attach(node.self.gossipAddress, undefined)
      nodes.delete(index)
    },
    pause (index) {
      const node = nodes.get(index)
      if (node === undefined || !node.gate.isOpen) return
      wasDisturbed = true
      node.pausedAtMs = timers.nowMs()
      node.gate.close()
    },
    async resume (index) {
      const node = nodes.get(index)
      if (node === undefined || node.pausedAtMs === undefined) return
      const pausedMs = timers.nowMs() - node.pausedAtMs
      node.pausedAtMs = undefined
      node.gate.open()
      node.gate.release()
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
      wasDisturbed = true
      network.lossRatio = lossRatio
    },
    assertHolds,
    async settle () {
      network.healAll()
      network.lossRatio = 0
      store.faults.isOut = false
      for (const index of [...nodes.keys()]) await world.resume(index)
      await timers.advanceAsync(settleMs)
      checkAgreement()
      assertHolds()
    }
  }
  return world
}
