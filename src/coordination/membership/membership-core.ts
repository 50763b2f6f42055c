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

/** The membership decisions of one node: SWIM probing, suspicion and refutation, with updates piggybacked. */
export interface MembershipCore {
  /** Takes an event in and returns what has to be done. */
  step (nowMs: number, event: MembershipEvent): readonly MembershipAction[]
  readonly table: MemberTable
  /** The node itself; its incarnation is raised when a higher one of its own is heard of. */
  getSelf (): EntryNodeInfo
  /** False from a start or a long pause until the whole table of a peer has been heard, or no peer is left. */
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

/** Creates the membership decisions of one node. */
export function createMembershipCore ({ self: startSelf, startMs, random, settings, getConfigStatus }: MembershipCoreOptions): MembershipCore {
  const selfId = startSelf.nodeId
  const table = createMemberTable(startSelf, startMs, settings)
  const queue = createUpdateQueue()
  let actions: MembershipAction[] = []
  let seeds: readonly string[] = []
  let sequence = 0
  let lastTickMs: number | undefined
  let nextPruneMs = startMs + pruneIntervalMs
  let nextNewsMs = startMs
  let isTrusted = false
  let hasLeft = false
  let shownLiveNodes = table.getLiveNodes()

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
  const detector = createFailureDetector({ selfId, table, sender, random, settings, nextSequence, pickUnknownSeed, report: takeIn })
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

  function takeIn (update: MemberUpdate, nowMs: number): void {
    if (table.apply(update, nowMs)) queue.add(update)
  }

  /** Answers what others say about this node: a suspicion is refuted, a newer incarnation is outbid. */
  function answerAboutSelf (update: MemberUpdate, nowMs: number): void {
    const current = table.get(selfId)
    if (current === undefined || hasLeft) return
    if (update.node.incarnation > current.node.incarnation) {
      takeIn({ node: { ...current.node, incarnation: update.node.incarnation + 1 }, refutation: 0, status: MemberStatus.Alive }, nowMs)
      return
    }
    const isRefutable = update.node.incarnation === current.node.incarnation && update.refutation >= current.refutation
    if (isRefutable && update.status !== MemberStatus.Alive) {
      takeIn({ ...current, refutation: update.refutation + 1 }, nowMs)
    }
  }

  /** A node that sends from the address of an older one has taken its place. */
  function buryPredecessor (node: EntryNodeInfo, nowMs: number): void {
    const predecessor = table.findLiveByAddress(node.gossipAddress)
    const isReplaced = predecessor !== undefined && predecessor.node.nodeId !== node.nodeId && predecessor.node.nodeId !== selfId
    if (isReplaced && predecessor.node.incarnation < node.incarnation) takeIn({ ...predecessor, status: MemberStatus.Dead }, nowMs)
  }

  function takeMessage (message: GossipMessage, nowMs: number): void {
    const about = message.sender === undefined ? undefined : fromWireUpdate(message.sender, undefined)
    if (about === undefined || about.node.nodeId === selfId) return
    buryPredecessor(about.node, nowMs)
    takeIn(about, nowMs)
    const known = table.get(about.node.nodeId)
    takeUpdates(message, known !== undefined && isLiveStatus(known.status), nowMs)
    if (message.config !== undefined) actions.push({ kind: MembershipActionKind.PeerConfig, node: about.node, status: message.config })
    if (about.status !== MemberStatus.Left) answer(message, about.node, nowMs)
  }

  /**
   * Takes in the updates of a message. What a node that counts as dead says of others may be as
   * old as its silence; what it says of this node is heard, or two that take each other for dead
   * would never refute it.
   */
  function takeUpdates (message: GossipMessage, isSenderLive: boolean, nowMs: number): void {
    for (const wire of message.updates) {
      const update = fromWireUpdate(wire, table.get(wire.nodeId)?.node)
      if (update === undefined) continue
      if (update.node.nodeId === selfId) {
        answerAboutSelf(update, nowMs)
      } else if (isSenderLive) {
        takeIn(update, nowMs)
      }
    }
  }

  function answer (message: GossipMessage, from: EntryNodeInfo, nowMs: number): void {
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
    if (gapMs > settings.maxTickGapMs) wake(nowMs)
    detector.onTick(nowMs)
    sync.onTick(nowMs)
    spreadNews(nowMs)
    if (nowMs < nextPruneMs) return
    nextPruneMs = nowMs + pruneIntervalMs
    table.prune(nowMs)
  }

  /** Passes changes on faster than probes do; costs nothing while there are none. */
  function spreadNews (nowMs: number): void {
    if (nowMs < nextNewsMs || queue.isEmpty()) return
    nextNewsMs = nowMs + settings.gossipIntervalMs
    const peer = random.pick(table.getLiveNodes())
    if (peer !== undefined && peer.nodeId !== selfId) sender.send(MessageKind.KIND_NEWS, peer.gossipAddress, nextSequence())
  }

  function wake (nowMs: number): void {
    setTrusted(false)
    detector.onWake(nowMs)
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
    takeIn({ ...current, status: MemberStatus.Left }, nowMs)
    const peers = table.getLiveNodes().filter(node => node.nodeId !== selfId)
    for (let count = 0; count < settings.leaveFanOutCount && peers.length > 0; count += 1) {
      const [peer] = peers.splice(random.nextInt(peers.length), 1)
      if (peer !== undefined) sender.send(MessageKind.KIND_PING, peer.gossipAddress, nextSequence())
    }
  }

  function handle (nowMs: number, event: MembershipEvent): void {
    switch (event.kind) {
      case MembershipEventKind.Tick:
        if (!hasLeft) tick(nowMs)
        break
      case MembershipEventKind.Received:
        if (!hasLeft) takeMessage(event.message, nowMs)
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
      if (liveNodes !== shownLiveNodes) {
        shownLiveNodes = liveNodes
        actions.push({ kind: MembershipActionKind.ViewChanged, liveNodes })
      }
      return actions
    },
    table,
    getSelf,
    isViewTrusted: () => isTrusted
  }
}
