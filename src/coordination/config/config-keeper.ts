import { randomUUID } from 'node:crypto'

import type { ConfigSnapshot, ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../../shared/random-source.js'
import { failure, type Result } from '../../shared/result.js'
import { delay, type TimerService, type TimerSubscription } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import type { KeyValueStore } from '../ports/key-value-store.js'
import type { MembershipView } from '../ports/membership-view.js'
import { ChangeOutcomeKind, type ChangeOutcome } from './change-outcome.js'
import { createConfigState } from './config-state.js'
import { createConfigWriter, WriteErrorKind, type ChangeRequest, type WriteError } from './config-writer.js'
import { defaultConfigKeeperSettings, type ConfigKeeperSettings } from './keeper-settings.js'
import type { PeerConfigClient } from './peer-config.js'
import { createPeerExchange } from './peer-exchange.js'
import { findTreePosition } from './distribution-tree.js'
import { createStoreWatch } from './store-watch.js'
import { createWitnessMaintainer } from './witness-maintainer.js'
import { createWitnessQuorum } from './witness-quorum.js'

export interface ConfigKeeperOptions {
  readonly store: KeyValueStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly membership: MembershipView
  readonly peerConfig: PeerConfigClient
  readonly settings?: Partial<ConfigKeeperSettings>
  /** Returns a unique change token; a random UUID by default. */
  createToken? (): string
}

export type ConfigKeeper = ReturnType<typeof createConfigKeeper>

/** Maximum number of nodes that are each asked whether they use a changed version. */
const maxConfirmationRequests = 32

/**
 * Keeps one entry node's copy of the fleet configuration: reads new versions, tracks how fresh the copy is,
 * distributes versions within the availability zone, and applies changes.
 */
export function createConfigKeeper (options: ConfigKeeperOptions) {
  const { store, timers, random, membership } = options
  const settings = { ...defaultConfigKeeperSettings, ...options.settings }
  const selfId = membership.self.nodeId
  const configState = createConfigState({ timers, configLeaseMs: settings.configLeaseMs })
  const exchange = createPeerExchange({ timers, membership, peers: options.peerConfig, configState })
  const quorum = createWitnessQuorum({ selfId, timers, configState, exchange })
  const writer = createConfigWriter({ ...settings, store, timers, createToken: options.createToken ?? randomUUID })
  const witnessMaintainer = createWitnessMaintainer({ timers, membership, configState, settings, change: writeChange, markSettled: writer.markSettled })
  const getTreePosition = () => findTreePosition(membership, settings.watchersPerZone, settings.fanout)
  const storeWatch = createStoreWatch({
    store,
    timers,
    random,
    configState,
    settings,
    isWatcher: () => getTreePosition().isWatcher,
    onUnsettled: () => { void quorum.settle() }
  })
  const subscriptions: TimerSubscription[] = []

  async function writeChange (request: ChangeRequest): Promise<Result<FleetConfig, WriteError>> {
    // If a stored version cannot be settled, all nodes stop serving when their leases expire.
    if (request.skipsWitnessCheck !== true && !await quorum.canSettle()) {
      return failure({ kind: WriteErrorKind.Unavailable, reason: 'too few witnesses of the configuration respond' })
    }
    const written = await writer.change(request)
    if (!written.isOk) return written
    configState.recordStoreResponse(written.value.version)
    configState.update(written.value)
    await quorum.settle()
    return written
  }

  /** Returns whether the last confirmation is older than the given fraction of the lease. */
  function isConfirmationOlderThan (leaseFraction: number): boolean {
    return configState.getFreshness().ageMs > settings.configLeaseMs * leaseFraction
  }

  async function fetchFromRandomPeer (): Promise<void> {
    const peer = random.pick(membership.getLiveNodes().filter(node => node.nodeId !== selfId))
    if (peer !== undefined) await exchange.fetch(peer)
  }

  /**
   * Polls the parent, and looks for a confirmation elsewhere before the lease ends. Nodes that do not watch the
   * store ask the witnesses later, since the parent's confirmations normally reach them first.
   */
  function poll (): void {
    const { parent, isWatcher } = getTreePosition()
    if (parent !== undefined) void exchange.fetch(parent)
    if (isConfirmationOlderThan(0.5)) void fetchFromRandomPeer()
    if (isConfirmationOlderThan(isWatcher ? 0.5 : 0.7)) void quorum.confirmNewest()
    if ((configState.getNewest()?.version ?? 0) > configState.getSettledVersion()) void quorum.settle()
  }

  function pushToChildren (config: FleetConfig): void {
    for (const child of getTreePosition().children) {
      const knownVersion = exchange.getStatusOf(child.nodeId)?.versionInUse ?? 0
      if (knownVersion < config.version) void exchange.push(child)
    }
  }

  function listUnconfirmed (version: number) {
    return membership.getKnownNodes().filter(node => {
      return node.nodeId !== selfId && (exchange.getStatusOf(node.nodeId)?.versionInUse ?? 0) < version
    })
  }

  async function describeStoredChange (config: FleetConfig, kind: ChangeOutcomeKind.InForce | ChangeOutcomeKind.Accepted): Promise<ChangeOutcome> {
    await Promise.all(listUnconfirmed(config.version).slice(0, maxConfirmationRequests).map(node => exchange.fetch(node)))
    const knownNodeCount = membership.getKnownNodes().length
    const selfUnconfirmedCount = (configState.getInUse()?.version ?? 0) >= config.version ? 0 : 1
    return { kind, config, knownNodeCount, confirmedNodeCount: knownNodeCount - listUnconfirmed(config.version).length - selfUnconfirmedCount }
  }

  async function waitUntilSettled (version: number, deadlineMs: number): Promise<boolean> {
    while (configState.getSettledVersion() < version) {
      if (timers.nowMs() >= deadlineMs) return false
      await quorum.settle()
      if (configState.getSettledVersion() < version) await delay(timers, settings.pollIntervalMs)
    }
    return true
  }

  /**
   * Applies a change and waits until it is in force. Nodes that have not received the version stop using
   * older ones when their lease expires, so the change is in force one lease after it was settled.
   */
  async function change (request: ChangeRequest): Promise<ChangeOutcome> {
    const deadlineMs = timers.nowMs() + settings.changeDeadlineMs
    const written = await writeChange(request)
    if (!written.isOk) return { kind: ChangeOutcomeKind.Failed, error: written.error }
    const isSettled = await waitUntilSettled(written.value.version, deadlineMs)
    if (!isSettled) return describeStoredChange(written.value, ChangeOutcomeKind.Accepted)
    await delay(timers, settings.configLeaseMs + settings.leaseMarginMs)
    return describeStoredChange(written.value, ChangeOutcomeKind.InForce)
  }

  return {
    start (): void {
      void configState.changes.observe(pushToChildren)
      storeWatch.start()
      subscriptions.push(timers.subscribeEvery(settings.pollIntervalMs, poll))
      subscriptions.push(timers.subscribeEvery(settings.pollIntervalMs * 2, () => { void witnessMaintainer.run() }))
    },
    stop (): void {
      storeWatch.stop()
      for (const subscription of subscriptions.splice(0)) subscription.cancel()
    },
    /** Hands over the node's witness role before a graceful shutdown; stops trying when the store does not respond. */
    leave: () => witnessMaintainer.leave(),
    /** The configuration that the node uses; check `getFreshness` right before each use. */
    getConfig: (): FleetConfig | undefined => configState.getInUse(),
    getStatus: (): ConfigStatus => configState.getStatus(),
    getFreshness: () => configState.getFreshness(),
    /** Returns the snapshot for a peer that has the given version. */
    getSnapshot: (knownVersion: number): ConfigSnapshot => exchange.createSnapshot(knownVersion),
    /** Applies a snapshot that a peer pushed; returns this node's status afterwards. */
    acceptSnapshot: (snapshot: ConfigSnapshot): ConfigStatus => exchange.acceptSnapshot(snapshot),
    /**
     * Records the status of a peer from any message. `requestedAtMs` is the monotonic time at which the request
     * for it was sent; an unsolicited status has none and does not confirm a version.
     */
    observePeerStatus: (nodeId: string, status: ConfigStatus, requestedAtMs?: number): void => exchange.observeStatus(nodeId, status, requestedAtMs),
    /** Emits each configuration when the node starts to use it. */
    changes: configState.changes,
    change,
    /** Stores the initial configuration of a fleet. */
    bootstrap: (config: FleetConfig) => writer.bootstrap(config)
  }
}
