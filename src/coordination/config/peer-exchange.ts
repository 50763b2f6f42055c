import type { ConfigSnapshot, ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { TimerService } from '../../shared/timer-service.js'
import { parseFleetConfigJson } from '../../state/fleet-config-schema.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'
import type { ConfigHolding } from './config-holding.js'
import type { PeerConfigPort } from './peer-config.js'

export interface PeerExchangeOptions {
  readonly timers: TimerService
  readonly membership: MembershipView
  readonly peers: PeerConfigPort
  readonly holding: ConfigHolding
}

export type PeerExchange = ReturnType<typeof createPeerExchange>

/** Exchanges statuses and configurations with single peers and takes what it learns into the holding. */
export function createPeerExchange ({ timers, membership, peers, holding }: PeerExchangeOptions) {
  const statuses = new Map<string, ConfigStatus>()
  const runningFetches = new Set<string>()

  function forgetUnknownNodes (): void {
    const known = new Set(membership.getKnownNodes().map(node => node.nodeId))
    for (const nodeId of statuses.keys()) {
      if (!known.has(nodeId)) statuses.delete(nodeId)
    }
  }

  function note (nodeId: string, status: ConfigStatus, askedAtMs?: number): void {
    statuses.set(nodeId, status)
    if (statuses.size > membership.getKnownNodes().length) forgetUnknownNodes()
    holding.noteSettled(status.versionInUse)
    if (askedAtMs === undefined || status.versionInUse === 0) return
    // The stated age was true when the peer answered, which was after the question was sent.
    holding.confirm(status.versionInUse, askedAtMs - status.confirmedAgeMs)
  }

  function takeSnapshot (snapshot: ConfigSnapshot): void {
    if (snapshot.configJson === '') return
    const parsed = parseFleetConfigJson(snapshot.configJson)
    if (parsed.isOk) holding.hold(parsed.value)
  }

  async function ask (node: EntryNodeInfo): Promise<ConfigStatus | undefined> {
    const askedAtMs = timers.nowMs()
    const answer = await peers.fetch(node, holding.getHeld()?.version ?? 0)
    if (!answer.isOk) return undefined
    takeSnapshot(answer.value)
    if (answer.value.status !== undefined) note(node.nodeId, answer.value.status, askedAtMs)
    return answer.value.status
  }

  function createSnapshot (knownVersion: number): ConfigSnapshot {
    const held = holding.getHeld()
    const isNewer = held !== undefined && held.version > knownVersion
    return { status: holding.getStatus(), configJson: isNewer ? JSON.stringify(held) : '' }
  }

  return {
    ask,
    createSnapshot,
    findNode: (nodeId: string) => membership.getKnownNodes().find(node => node.nodeId === nodeId),
    getStatusOf: (nodeId: string) => statuses.get(nodeId),
    /** Pushes the version held; returns the peer's status after it took it in. */
    async push (node: EntryNodeInfo): Promise<ConfigStatus | undefined> {
      const askedAtMs = timers.nowMs()
      const answer = await peers.push(node, createSnapshot(0))
      if (!answer.isOk) return undefined
      note(node.nodeId, answer.value, askedAtMs)
      return answer.value
    },
    /** Takes in what a peer pushed; returns the own status afterwards. */
    acceptSnapshot (snapshot: ConfigSnapshot): ConfigStatus {
      takeSnapshot(snapshot)
      if (snapshot.status !== undefined) holding.noteSettled(snapshot.status.versionInUse)
      return holding.getStatus()
    },
    /** Takes in a status; fetches from the peer when it holds a newer version. */
    observe (nodeId: string, status: ConfigStatus, askedAtMs?: number): void {
      note(nodeId, status, askedAtMs)
      if (status.version <= (holding.getHeld()?.version ?? 0) || runningFetches.has(nodeId)) return
      const node = membership.getKnownNodes().find(candidate => candidate.nodeId === nodeId)
      if (node === undefined) return
      runningFetches.add(nodeId)
      void ask(node).finally(() => runningFetches.delete(nodeId))
    }
  }
}
