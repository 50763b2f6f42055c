import { GossipMessage_Kind as MessageKind, type GossipMessage } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { GossipSender } from './gossip-sender.js'
import type { Member, MemberTable } from './member-table.js'
import { isLiveStatus, MemberStatus, type MemberUpdate } from './member-update.js'
import { scaleWithNodes, type MembershipSettings } from './membership-settings.js'

interface Probe {
  readonly nodeId: string
  readonly sequence: number
  readonly startedAtMs: number
  isIndirect: boolean
  isAcknowledged: boolean
}

/** An indirect probe that this node makes on behalf of another. */
interface IndirectProbe {
  readonly targetNodeId: string
  readonly requesterAddress: string
  readonly requesterSequence: number
  readonly endsAtMs: number
}

/** Probes one node per period, and marks nodes that do not respond as suspect and then as dead. */
export interface FailureDetector {
  onTick (nowMs: number): void
  /** Handles a ping request or an ack. */
  onProbeMessage (nowMs: number, message: GossipMessage, senderId: string, senderAddress: string): void
  /** Discards probes in flight after a pause of this process, since a missing ack during the pause proves nothing. */
  onResume (nowMs: number): void
}

export interface FailureDetectorOptions {
  readonly selfId: string
  readonly table: MemberTable
  readonly sender: GossipSender
  readonly random: RandomSource
  readonly settings: MembershipSettings
  nextSequence (): number
  /** Returns the address of a seed that is not a known live node; undefined when there is none. */
  pickUnknownSeed (): string | undefined
  /** Applies a status change found by the detector and spreads it. */
  report (update: MemberUpdate, nowMs: number): void
}

/** Creates the failure detector of one node. */
export function createFailureDetector ({ selfId, table, sender, random, settings, nextSequence, pickUnknownSeed, report }: FailureDetectorOptions): FailureDetector {
  const indirectProbes = new Map<number, IndirectProbe>()
  let round: string[] = []
  let probe: Probe | undefined
  let nextPeriodAtMs: number | undefined
  let periodCount = 0
  let resumedAtMs = -Infinity

  function getPeers (): Member[] {
    const peers: Member[] = []
    for (const node of table.getLiveNodes()) {
      const member = node.nodeId === selfId ? undefined : table.get(node.nodeId)
      if (member !== undefined) peers.push(member)
    }
    return peers
  }

  /** Each live node is probed once per round; the order is reshuffled for every round. */
  function takeNextTarget (): Member | undefined {
    if (round.length === 0) round = shuffle(table.getLiveNodes().map(node => node.nodeId), random)
    while (round.length > 0) {
      const member = table.get(round.pop() ?? '')
      if (member !== undefined && member.node.nodeId !== selfId && isLiveStatus(member.status)) return member
    }
    return undefined
  }

  function startProbe (nowMs: number): void {
    const target = takeNextTarget()
    if (target === undefined) return
    probe = { nodeId: target.node.nodeId, sequence: nextSequence(), startedAtMs: nowMs, isIndirect: false, isAcknowledged: false }
    sender.send(MessageKind.KIND_PING, target.node.gossipAddress, probe.sequence, { targetNodeId: target.node.nodeId })
  }

  function requestIndirectProbes (current: Probe): void {
    current.isIndirect = true
    const helpers = pickSome(getPeers().filter(peer => peer.node.nodeId !== current.nodeId), settings.indirectProbeCount, random)
    for (const helper of helpers) {
      sender.send(MessageKind.KIND_PING_REQUEST, helper.node.gossipAddress, current.sequence, { targetNodeId: current.nodeId })
    }
  }

  function endPeriod (nowMs: number): void {
    const target = probe === undefined || probe.isAcknowledged ? undefined : table.get(probe.nodeId)
    if (target?.status === MemberStatus.Alive) report({ ...target, status: MemberStatus.Suspect }, nowMs)
    probe = undefined
    periodCount += 1
    if (periodCount % settings.reconnectPeriodCount === 0) reconnect()
  }

  /** Probes a dead node and an unknown seed, so that the two sides of a healed network partition find each other. */
  function reconnect (): void {
    const dead = random.pick(table.getDead())
    if (dead !== undefined) sender.send(MessageKind.KIND_PING, dead.node.gossipAddress, nextSequence(), { targetNodeId: dead.node.nodeId })
    const seed = pickUnknownSeed()
    if (seed !== undefined && seed !== dead?.node.gossipAddress) sender.send(MessageKind.KIND_PING, seed, nextSequence())
  }

  function expireSuspects (nowMs: number): void {
    const suspicionMs = settings.periodMs * scaleWithNodes(settings.suspicionPeriodCount, table.getLiveNodes().length)
    for (const suspect of table.getSuspects()) {
      const sinceMs = Math.max(suspect.sinceMs, resumedAtMs)
      if (nowMs - sinceMs >= suspicionMs) report({ ...suspect, status: MemberStatus.Dead }, nowMs)
    }
  }

  function dropExpiredIndirectProbes (nowMs: number): void {
    for (const [sequence, indirectProbe] of indirectProbes) {
      if (indirectProbe.endsAtMs <= nowMs) indirectProbes.delete(sequence)
    }
  }

  function probeOnBehalf (nowMs: number, message: GossipMessage, requesterAddress: string): void {
    const target = table.get(message.targetNodeId)
    if (target === undefined) return
    const sequence = nextSequence()
    indirectProbes.set(sequence, {
      targetNodeId: message.targetNodeId,
      requesterAddress,
      requesterSequence: message.sequence,
      endsAtMs: nowMs + settings.periodMs
    })
    sender.send(MessageKind.KIND_PING, target.node.gossipAddress, sequence, { targetNodeId: message.targetNodeId })
  }

  function handleAck (message: GossipMessage, senderId: string): void {
    const indirectProbe = indirectProbes.get(message.sequence)
    if (indirectProbe !== undefined && indirectProbe.targetNodeId === senderId) {
      indirectProbes.delete(message.sequence)
      sender.send(MessageKind.KIND_ACK, indirectProbe.requesterAddress, indirectProbe.requesterSequence, { targetNodeId: senderId })
      return
    }
    if (probe === undefined || probe.sequence !== message.sequence) return
    const isFromTarget = senderId === probe.nodeId || (probe.isIndirect && message.targetNodeId === probe.nodeId)
    if (isFromTarget) probe.isAcknowledged = true
  }

  return {
    onTick (nowMs) {
      nextPeriodAtMs ??= nowMs + random.nextFloat() * settings.periodMs
      expireSuspects(nowMs)
      dropExpiredIndirectProbes(nowMs)
      const isUnacknowledged = probe !== undefined && !probe.isAcknowledged && nowMs - probe.startedAtMs >= settings.ackTimeoutMs
      if (probe !== undefined && isUnacknowledged && !probe.isIndirect) requestIndirectProbes(probe)
      if (nowMs < nextPeriodAtMs) return
      endPeriod(nowMs)
      startProbe(nowMs)
      // After a late tick the next period still lasts at least half a period.
      nextPeriodAtMs = Math.max(nextPeriodAtMs + settings.periodMs, nowMs + settings.periodMs / 2)
    },
    onProbeMessage (nowMs, message, senderId, senderAddress) {
      if (message.kind === MessageKind.KIND_PING_REQUEST) probeOnBehalf(nowMs, message, senderAddress)
      if (message.kind === MessageKind.KIND_ACK) handleAck(message, senderId)
    },
    onResume (nowMs) {
      probe = undefined
      indirectProbes.clear()
      resumedAtMs = nowMs
      nextPeriodAtMs = nowMs
    }
  }
}

function shuffle (items: string[], random: RandomSource): string[] {
  for (let index = items.length - 1; index > 0; index -= 1) {
    const other = random.nextInt(index + 1)
    const moved = items[index] as string
    items[index] = items[other] as string
    items[other] = moved
  }
  return items
}

function pickSome (members: Member[], count: number, random: RandomSource): Member[] {
  const left = [...members]
  const picked: Member[] = []
  while (picked.length < count && left.length > 0) {
    picked.push(...left.splice(random.nextInt(left.length), 1))
  }
  return picked
}
