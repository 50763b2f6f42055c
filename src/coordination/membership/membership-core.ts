import { GossipMessage_Kind as MessageKind, type ConfigStatus, type GossipMessage } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'
import { createFailureDetector } from './failure-detector.js'
import { createGossipSender } from './gossip-sender.js'
import { createMemberTable, type MemberTable } from './member-table.js'
import { fromWireUpdate, isLiveStatus, MemberStatus, type MemberUpdate } from './member-update.js'
import { MembershipActionKind, MembershipEventKind, type MembershipAction, type MembershipEvent } from './membership-event.js'
import type { MembershipSettings } from './membership-settings.js'
import { createTableSync } from './table-sync.js'
import { createUpdateQueue } from './update-queue.js'

/** The SWIM membership protocol of one node, without I/O: probing, suspicion and refutation, with piggybacked updates. */
export interface MembershipCore {
  /** Handles an event and returns the actions to perform. */
  step (nowMs: number, event: MembershipEvent): readonly MembershipAction[]
  readonly table: MemberTable
  /** This node. Its incarnation is raised above any higher one that peers report for it. */
  getSelf (): EntryNodeInfo
  /** False after a start or a long pause until a peer's whole table has been received, or the node is confirmed to be alone. */
  isViewTrusted (): boolean
}

export interface MembershipCoreOptions {
  readonly self: EntryNodeInfo
  readonly startMs: number
  readonly random: RandomSource
  readonly settings: MembershipSettings
  getConfigStatus (): ConfigStatus
}

const pruneIntervalMs = 60_000

/** Creates the membership protocol of one node. */
export function createMembershipCore ({ self: startSelf, startMs, random, settings, getConfigStatus }: MembershipCoreOptions): MembershipCore {
  const selfId = startSelf.nodeId
  const table = createMemberTable(startSelf, startMs, settings)
  const queue = createUpdateQueue()
  let actions: MembershipAction[] = []
  let seeds: readonly string[] = []
  let sequence = 0
  let lastTickMs: number | undefined
  let nextPruneMs = startMs + pruneIntervalMs
  let nextGossipMs = startMs
  let isTrusted = false
  let hasLeft = false
  let reportedLiveNodes = table.getLiveNodes()

  const sender = createGossipSender({
    selfId,
    table,
    queue,
    settings,
    getConfigStatus,
    emit: (address, message) => actions.push({ kind: MembershipActionKind.Send, address, message })
  })
  const nextSequence = () => {
    sequence = (sequence + 1) >>> 0
    return sequence
  }
  const detector = createFailureDetector({ selfId, table, sender, random, settings, nextSequence, pickUnknownSeed, report: applyUpdate })
  const sync = createTableSync({ selfId, table, sender, random, settings, nextSequence, getSeeds: () => seeds, onComplete: () => setTrusted(true) })

  const getSelf = (): EntryNodeInfo => table.get(selfId)?.node ?? startSelf

  function pickUnknownSeed (): string | undefined {
    const unknown = seeds.filter(address => address !== getSelf().gossipAddress && table.findLiveByAddress(address) === undefined)
    return random.pick(unknown)
  }

  function setTrusted (next: boolean): void {
    if (next === isTrusted) return
    isTrusted = next
    actions.push({ kind: MembershipActionKind.TrustChanged, isTrusted })
  }

  function applyUpdate (update: MemberUpdate, nowMs: number): void {
    if (table.apply(update, nowMs)) queue.add(update)
  }

  /** Handles an update about this node: refutes a suspicion, or raises this node's incarnation above a reported higher one. */
  function handleUpdateAboutSelf (update: MemberUpdate, nowMs: number): void {
    const current = table.get(selfId)
    if (current === undefined || hasLeft) return
    if (update.node.incarnation > current.node.incarnation) {
      applyUpdate({ node: { ...current.node, incarnation: update.node.incarnation + 1 }, refutation: 0, status: MemberStatus.Alive }, nowMs)
      return
    }
    const isRefutable = update.node.incarnation === current.node.incarnation && update.refutation >= current.refutation
    if (isRefutable && update.status !== MemberStatus.Alive) {
      applyUpdate({ ...current, refutation: update.refutation + 1 }, nowMs)
    }
  }

  /** Marks an older node with the sender's address as dead: the sender has replaced it. */
  function markPredecessorDead (node: EntryNodeInfo, nowMs: number): void {
    const predecessor = table.findLiveByAddress(node.gossipAddress)
    const isReplaced = predecessor !== undefined && predecessor.node.nodeId !== node.nodeId && predecessor.node.nodeId !== selfId
    if (isReplaced && predecessor.node.incarnation < node.incarnation) applyUpdate({ ...predecessor, status: MemberStatus.Dead }, nowMs)
  }

  function handleMessage (message: GossipMessage, nowMs: number): void {
    const senderUpdate = message.sender === undefined ? undefined : fromWireUpdate(message.sender, undefined)
    if (senderUpdate === undefined || senderUpdate.node.nodeId === selfId) return
    markPredecessorDead(senderUpdate.node, nowMs)
    applyUpdate(senderUpdate, nowMs)
    const known = table.get(senderUpdate.node.nodeId)
    applyUpdates(message, known !== undefined && isLiveStatus(known.status), nowMs)
    if (message.config !== undefined) actions.push({ kind: MembershipActionKind.PeerConfig, node: senderUpdate.node, status: message.config })
    if (senderUpdate.status !== MemberStatus.Left) dispatch(message, senderUpdate.node, nowMs)
  }

  /**
   * Applies the updates of a message. Updates about others are ignored when the sender counts as dead, because
   * they may be outdated. Updates about this node are always handled; otherwise two nodes that consider each
   * other dead could never refute it.
   */
  function applyUpdates (message: GossipMessage, isSenderLive: boolean, nowMs: number): void {
    for (const wire of message.updates) {
      const update = fromWireUpdate(wire, table.get(wire.nodeId)?.node)
      if (update === undefined) continue
      if (update.node.nodeId === selfId) {
        handleUpdateAboutSelf(update, nowMs)
      } else if (isSenderLive) {
        applyUpdate(update, nowMs)
      }
    }
  }

  function dispatch (message: GossipMessage, from: EntryNodeInfo, nowMs: number): void {
    switch (message.kind) {
      case MessageKind.KIND_PING:
        sender.send(MessageKind.KIND_ACK, from.gossipAddress, message.sequence)
        break
      case MessageKind.KIND_ACK:
      case MessageKind.KIND_PING_REQUEST:
        detector.onProbeMessage(nowMs, message, from.nodeId, from.gossipAddress)
        break
      case MessageKind.KIND_PAGE_REQUEST:
        sync.onPageRequest(message, from.gossipAddress)
        break
      case MessageKind.KIND_PAGE:
        sync.onPage(nowMs, message)
        break
    }
    sync.onDigest(nowMs, message.liveDigest, from.gossipAddress)
  }

  function tick (nowMs: number): void {
    const gapMs = nowMs - (lastTickMs ?? nowMs)
    lastTickMs = nowMs
    if (gapMs > settings.maxTickGapMs) resume(nowMs)
    detector.onTick(nowMs)
    sync.onTick(nowMs)
    gossipUpdates(nowMs)
    if (nowMs < nextPruneMs) return
    nextPruneMs = nowMs + pruneIntervalMs
    table.prune(nowMs)
  }

  /** Spreads queued updates faster than probes would; sends nothing while there are none. */
  function gossipUpdates (nowMs: number): void {
    if (nowMs < nextGossipMs || queue.isEmpty()) return
    nextGossipMs = nowMs + settings.gossipIntervalMs
    const peer = random.pick(table.getLiveNodes())
    if (peer !== undefined && peer.nodeId !== selfId) sender.send(MessageKind.KIND_NEWS, peer.gossipAddress, nextSequence())
  }

  function resume (nowMs: number): void {
    setTrusted(false)
    detector.onResume(nowMs)
    sync.start()
  }

  function join (addresses: readonly string[]): void {
    seeds = [...new Set([...seeds, ...addresses])]
    if (!isTrusted) sync.start()
  }

  function leave (nowMs: number): void {
    const current = table.get(selfId)
    if (current === undefined) return
    hasLeft = true
    applyUpdate({ ...current, status: MemberStatus.Left }, nowMs)
    const peers = table.getLiveNodes().filter(node => node.nodeId !== selfId)
    for (let count = 0; count < settings.leaveFanOutCount && peers.length > 0; count += 1) {
      const [peer] = peers.splice(random.nextInt(peers.length), 1)
      // The sender field of the ping carries the status Left.
      if (peer !== undefined) sender.send(MessageKind.KIND_PING, peer.gossipAddress, nextSequence())
    }
  }

  function handle (nowMs: number, event: MembershipEvent): void {
    switch (event.kind) {
      case MembershipEventKind.Tick:
        if (!hasLeft) tick(nowMs)
        break
      case MembershipEventKind.Received:
        if (!hasLeft) handleMessage(event.message, nowMs)
        break
      case MembershipEventKind.SeedsFound:
        join(event.addresses)
        break
      case MembershipEventKind.AloneConfirmed:
        if (table.getLiveNodes().length === 1) setTrusted(true)
        break
      case MembershipEventKind.Leave:
        leave(nowMs)
        break
    }
  }

  return {
    step (nowMs, event) {
      actions = []
      handle(nowMs, event)
      const liveNodes = table.getLiveNodes()
      if (liveNodes !== reportedLiveNodes) {
        reportedLiveNodes = liveNodes
        actions.push({ kind: MembershipActionKind.ViewChanged, liveNodes })
      }
      return actions
    },
    table,
    getSelf,
    isViewTrusted: () => isTrusted
  }
}
