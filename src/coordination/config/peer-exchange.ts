import type { ConfigSnapshot, ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { TimerService } from '../../shared/timer-service.js'
import { parseFleetConfigJson } from '../../state/fleet-config-schema.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'
import type { ConfigState } from './config-state.js'
import type { PeerConfigClient } from './peer-config.js'

export interface PeerExchangeOptions {
  readonly timers: TimerService
  readonly membership: MembershipView
  readonly peers: PeerConfigClient
  readonly configState: ConfigState
}

export type PeerExchange = ReturnType<typeof createPeerExchange>

/** Exchanges statuses and configurations with individual peers and records the results in the configuration state. */
export function createPeerExchange ({ timers, membership, peers, configState }: PeerExchangeOptions) {
  const statuses = new Map<string, ConfigStatus>()
  const runningFetches = new Set<string>()

  function forgetUnknownNodes (): void {
    const known = new Set(membership.getKnownNodes().map(node => node.nodeId))
    for (const nodeId of statuses.keys()) {
      if (!known.has(nodeId)) statuses.delete(nodeId)
    }
  }

  function recordStatus (nodeId: string, status: ConfigStatus, requestedAtMs?: number): void {
    statuses.set(nodeId, status)
    if (statuses.size > membership.getKnownNodes().length) forgetUnknownNodes()
    // A node uses settled versions only.
    configState.recordSettled(status.versionInUse)
    if (requestedAtMs === undefined || status.versionInUse === 0) return
    // The peer computed the age after the request was sent, so subtracting it from the send time never overstates freshness.
    configState.recordConfirmation(status.versionInUse, requestedAtMs - status.confirmedAgeMs)
  }

  function applySnapshot (snapshot: ConfigSnapshot): void {
    if (snapshot.configJson === '') return
    const parsed = parseFleetConfigJson(snapshot.configJson)
    if (parsed.isOk) configState.update(parsed.value)
  }

  async function fetch (node: EntryNodeInfo): Promise<ConfigStatus | undefined> {
    const requestedAtMs = timers.nowMs()
    const response = await peers.fetch(node, configState.getNewest()?.version ?? 0)
    if (!response.isOk) return undefined
    applySnapshot(response.value)
    if (response.value.status !== undefined) recordStatus(node.nodeId, response.value.status, requestedAtMs)
    return response.value.status
  }

  function createSnapshot (knownVersion: number): ConfigSnapshot {
    const newest = configState.getNewest()
    const isNewer = newest !== undefined && newest.version > knownVersion
    return { status: configState.getStatus(), configJson: isNewer ? JSON.stringify(newest) : '' }
  }

  return {
    fetch,
    createSnapshot,
    findNode: (nodeId: string) => membership.getKnownNodes().find(node => node.nodeId === nodeId),
    getStatusOf: (nodeId: string) => statuses.get(nodeId),
    /** Pushes the newest configuration; returns the peer's status after it has applied it. */
    async push (node: EntryNodeInfo): Promise<ConfigStatus | undefined> {
      const requestedAtMs = timers.nowMs()
      const response = await peers.push(node, createSnapshot(0))
      if (!response.isOk) return undefined
      recordStatus(node.nodeId, response.value, requestedAtMs)
      return response.value
    },
    /** Applies a snapshot that a peer pushed; returns this node's status afterwards. */
    acceptSnapshot (snapshot: ConfigSnapshot): ConfigStatus {
      applySnapshot(snapshot)
      if (snapshot.status !== undefined) configState.recordSettled(snapshot.status.versionInUse)
      return configState.getStatus()
    },
    /** Records a peer's status; fetches its configuration when that is newer. */
    observeStatus (nodeId: string, status: ConfigStatus, requestedAtMs?: number): void {
      recordStatus(nodeId, status, requestedAtMs)
      if (status.version <= (configState.getNewest()?.version ?? 0) || runningFetches.has(nodeId)) return
      const node = membership.getKnownNodes().find(candidate => candidate.nodeId === nodeId)
      if (node === undefined) return
      runningFetches.add(nodeId)
      void fetch(node).finally(() => runningFetches.delete(nodeId))
    }
  }
}
