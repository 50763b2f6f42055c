import { randomUUID } from 'node:crypto'

import type { ConfigSnapshot, ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../../shared/random-source.js'
import { failure, type Result } from '../../shared/result.js'
import { delay, type TimerService, type TimerSubscription } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import type { KeyValueStore } from '../ports/key-value-store.js'
import type { MembershipView } from '../ports/membership-view.js'
import { ChangeOutcomeKind, type ChangeOutcome } from './change-outcome.js'
import { createConfigHolding } from './config-holding.js'
import { createConfigWriter, WriteErrorKind, type ChangeRequest, type WriteError } from './config-writer.js'
import { defaultConfigKeeperSettings, type ConfigKeeperSettings } from './keeper-settings.js'
import type { PeerConfigPort } from './peer-config.js'
import { createPeerExchange } from './peer-exchange.js'
import { findTreePosition } from './distribution-tree.js'
import { createStoreWatch } from './store-watch.js'
import { createWitnessCare } from './witness-care.js'
import { createWitnessQuorum } from './witness-quorum.js'

export interface ConfigKeeperOptions {
  readonly store: KeyValueStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly membership: MembershipView
  readonly peerConfig: PeerConfigPort
  readonly settings?: Partial<ConfigKeeperSettings>
  /** Returns a text that no other change has; a random UUID when left out. */
  createToken? (): string
}

export type ConfigKeeper = ReturnType<typeof createConfigKeeper>

/** Most nodes that are asked one by one whether they act on a changed version. */
const maxConfirmationQuestions = 32

/**
 * Keeps the fleet configuration of one entry node: learns versions, knows how fresh its own is,
 * spreads them in its availability zone, and makes changes.
 */
export function createConfigKeeper (options: ConfigKeeperOptions) {
  const { store, timers, random, membership } = options
  const settings = { ...defaultConfigKeeperSettings, ...options.settings }
  const selfId = membership.self.nodeId
  const holding = createConfigHolding({ timers, configLeaseMs: settings.configLeaseMs })
  const exchange = createPeerExchange({ timers, membership, peers: options.peerConfig, holding })
  const quorum = createWitnessQuorum({ selfId, timers, holding, exchange })
  const writer = createConfigWriter({ ...settings, store, timers, createToken: options.createToken ?? randomUUID })
  const care = createWitnessCare({ timers, membership, holding, settings, change: writeChange, markSettled: writer.markSettled })
  const findPlace = () => findTreePosition(membership, settings.watchersPerZone, settings.fanout)
  const storeWatch = createStoreWatch({
    store,
    timers,
    random,
    holding,
    settings,
    isWatcher: () => findPlace().isWatcher,
    onUnsettled: () => { void quorum.settle() }
  })
  const subscriptions: TimerSubscription[] = []

  async function writeChange (request: ChangeRequest): Promise<Result<FleetConfig, WriteError>> {
    // A stored version that can not be settled would end the service of all nodes with the lease.
    if (request.isWithoutWitnesses !== true && !await quorum.canSettle()) {
      return failure({ kind: WriteErrorKind.Unavailable, reason: 'too few witnesses of the configuration answer' })
    }
    const written = await writer.change(request)
    if (!written.isOk) return written
    holding.noteStoreAnswer(written.value.version)
    holding.hold(written.value)
    await quorum.settle()
    return written
  }

  function isAging (leasePart: number): boolean {
    return holding.getFreshness().ageMs > settings.configLeaseMs * leasePart
  }

  async function askRandomPeer (): Promise<void> {
    const peer = random.pick(membership.getLiveNodes().filter(node => node.nodeId !== selfId))
    if (peer !== undefined) await exchange.ask(peer)
  }

  function poll (): void {
    const { parent, isWatcher } = findPlace()
    if (parent !== undefined) void exchange.ask(parent)
    if (isAging(0.5)) void askRandomPeer()
    if (isAging(isWatcher ? 0.5 : 0.7)) void quorum.confirm()
    if ((holding.getHeld()?.version ?? 0) > holding.getSettledVersion()) void quorum.settle()
  }

  function pushToChildren (config: FleetConfig): void {
    for (const child of findPlace().children) {
      const knownVersion = exchange.getStatusOf(child.nodeId)?.versionInUse ?? 0
      if (knownVersion < config.version) void exchange.push(child)
    }
  }

  function listUnconfirmed (version: number) {
    return membership.getKnownNodes().filter(node => {
      return node.nodeId !== selfId && (exchange.getStatusOf(node.nodeId)?.versionInUse ?? 0) < version
    })
  }

  async function describeStored (config: FleetConfig, kind: ChangeOutcomeKind.InForce | ChangeOutcomeKind.Accepted): Promise<ChangeOutcome> {
    await Promise.all(listUnconfirmed(config.version).slice(0, maxConfirmationQuestions).map(node => exchange.ask(node)))
    const knownNodeCount = membership.getKnownNodes().length
    const ownCount = (holding.getInUse()?.version ?? 0) >= config.version ? 0 : 1
    return { kind, config, knownNodeCount, confirmedNodeCount: knownNodeCount - listUnconfirmed(config.version).length - ownCount }
  }

  async function waitUntilSettled (version: number, deadlineMs: number): Promise<boolean> {
    while (holding.getSettledVersion() < version) {
      if (timers.nowMs() >= deadlineMs) return false
      await quorum.settle()
      if (holding.getSettledVersion() < version) await delay(timers, settings.pollIntervalMs)
    }
    return true
  }

  /**
   * Makes a change and waits until it is in force. Nodes that did not hear of the version have
   * stopped to act on an older one once the lease has passed since it was settled.
   */
  async function change (request: ChangeRequest): Promise<ChangeOutcome> {
    const deadlineMs = timers.nowMs() + settings.changeDeadlineMs
    const written = await writeChange(request)
    if (!written.isOk) return { kind: ChangeOutcomeKind.Failed, error: written.error }
    const isSettled = await waitUntilSettled(written.value.version, deadlineMs)
    if (!isSettled) return describeStored(written.value, ChangeOutcomeKind.Accepted)
    await delay(timers, settings.configLeaseMs + settings.leaseMarginMs)
    return describeStored(written.value, ChangeOutcomeKind.InForce)
  }

  return {
    start (): void {
      void holding.changes.observe(pushToChildren)
      storeWatch.start()
      subscriptions.push(timers.subscribeEvery(settings.pollIntervalMs, poll))
      subscriptions.push(timers.subscribeEvery(settings.pollIntervalMs * 2, () => { void care.run() }))
    },
    stop (): void {
      storeWatch.stop()
      for (const subscription of subscriptions.splice(0)) subscription.cancel()
    },
    /** Hands over the node's part as a witness before a graceful shutdown; ends by itself when the store does not answer. */
    leave: () => care.leave(),
    /** The version that the node acts on; check `getFreshness` right before each use. */
    getConfig: (): FleetConfig | undefined => holding.getInUse(),
    getStatus: (): ConfigStatus => holding.getStatus(),
    getFreshness: () => holding.getFreshness(),
    /** Answers a peer that knows the given version. */
    getSnapshot: (knownVersion: number): ConfigSnapshot => exchange.createSnapshot(knownVersion),
    /** Takes in what a peer pushed; returns the own status afterwards. */
    acceptSnapshot: (snapshot: ConfigSnapshot): ConfigStatus => exchange.acceptSnapshot(snapshot),
    /**
     * Takes in the status of a peer, from any message. `askedAtMs` is the monotonic time at which
     * the question was sent that the message answers; without it the status confirms nothing.
     */
    observePeerStatus: (nodeId: string, status: ConfigStatus, askedAtMs?: number): void => exchange.observe(nodeId, status, askedAtMs),
    /** Each configuration that the node begins to act on. */
    changes: holding.changes,
    change,
    /** Stores the first configuration of a fleet. */
    bootstrap: (config: FleetConfig) => writer.bootstrap(config)
  }
}
