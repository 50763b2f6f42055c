/** Registers this gateway in the store under a lease, and lists the registered gateways. */
import { z } from 'zod'

import type { RevisionedStore, StoreLease } from '../coordination/ports/revisioned-store.js'
import { sortByListedRevision, type ListedGateway } from '../coordination/relay/relay-plan.js'
import { StoreErrorKind } from '../coordination/ports/revisioned-store.js'
import type { Logger } from '../observability/log.js'
import { createSupervisedLoop, type LoopMonitor } from '../observability/supervised-loop.js'
import { parseAddress, type NetworkAddress } from '../shared/network-address.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { GatewayEntry } from './fleet-view.js'

const gatewayEntrySchema = z.object({ address: z.string(), zone: z.string() })

/** Keeps this gateway registered, and lists the registered gateways. */
export interface Presence {
  listGateways (): readonly ListedGateway[]
  /** Number of gateways that registered before this one; undefined while it is not registered. */
  getRank (): number | undefined
  /** Returns undefined for this gateway itself and for one that is not registered. */
  findPeer (nodeId: string): NetworkAddress | undefined
  /** Number of registered gateways, for dividing limits. At least one; a decrease takes effect after `countRetentionMs`. */
  countGateways (): number
  start (): void
  stop (): Promise<void>
}

export interface PresenceOptions {
  readonly store: RevisionedStore
  readonly timers: TimerService
  readonly logger: Logger
  readonly nodeId: string
  readonly address: NetworkAddress
  readonly zone: string
  /** Key prefix of gateway entries in the store. */
  readonly storePrefix: string
  /** The same prefix within `listEntries`, without the store's prefix for all gateway keys. */
  readonly entryPrefix: string
  listEntries (): ReadonlyMap<string, GatewayEntry>
  /** The store's era as this gateway last saw it; undefined before the first read. */
  getStoreEra (): number | undefined
  readonly loopMonitor?: LoopMonitor
}

/** The entry of a gateway that was lost expires after this time. */
const leaseMs = 9000
const renewIntervalMs = 2500
/** Pause before a failed registration or renewal is tried again; several fit into one lease. */
const retryMs = 700
/** `countGateways` returns the highest count within this time. */
const countRetentionMs = 30_000
/** Lower bound on the count for `startupMs`, so that gateways that start together don't each claim a whole limit. */
const assumedGatewayCount = 8
/** Time that the other gateways get to register. */
const startupMs = 5000

/** Values that other programs wrote are quoted in log lines up to this length. */
const maxQuotedCharacters = 100

/** Creates the presence; it is registered after `start`. */
export function createPresence (options: PresenceOptions): Presence {
  const { store, timers, logger, nodeId, address, zone } = options
  const ownEntry = JSON.stringify({ address: `${address.host}:${address.port}`, zone })
  const warnedKeys = new Set<string>()
  let parsedEntries: ReadonlyMap<string, GatewayEntry> | undefined
  let gateways: readonly ListedGateway[] = []
  const startedAtMs = timers.nowMs()
  let lease: StoreLease | undefined
  let highestCount = 0
  let highestAtMs = -Infinity

  /** Keeps a high count for some time: after an outage of the store the list may be empty although the gateways still run. */
  function countGateways (): number {
    const nowMs = timers.nowMs()
    const count = listGateways().length
    if (count >= highestCount || nowMs - highestAtMs > countRetentionMs) {
      highestCount = count
      highestAtMs = nowMs
    }
    const isNew = nowMs - startedAtMs < startupMs
    return Math.max(1, highestCount, isNew ? assumedGatewayCount : 0)
  }

  function listGateways (): readonly ListedGateway[] {
    const entries = options.listEntries()
    if (entries !== parsedEntries) {
      parsedEntries = entries
      gateways = [...entries].flatMap(([key, entry]) => key.startsWith(options.entryPrefix) ? toListedGateway(key, entry) : [])
    }
    return gateways
  }

  function toListedGateway (key: string, { value, revision }: GatewayEntry): ListedGateway[] {
    const parsed = parseGatewayEntry(value)
    if (parsed !== undefined) return [{ ...parsed, nodeId: key.slice(options.entryPrefix.length), listedRevision: revision }]
    if (!warnedKeys.has(key)) logger.warn('A gateway entry is invalid.', { key, value: value.slice(0, maxQuotedCharacters) })
    warnedKeys.add(key)
    return []
  }

  async function register (): Promise<boolean> {
    const granted = await store.grantLease(leaseMs)
    if (!granted.isOk) return false
    // An entry left by an earlier run of this process is replaced; the list has its revision.
    const expectedRevision = options.listEntries().get(options.entryPrefix + nodeId)?.revision ?? 0
    const written = await store.write({ key: options.storePrefix + nodeId, expectedRevision, value: ownEntry, leaseId: granted.value.leaseId })
    if (!written.isOk) {
      logger.warn('This gateway could not register itself.', { reason: written.error.reason })
      return false
    }
    // The store came back from a copy in between, so that the lease is gone and its ID may name another gateway's.
    if (written.value.era !== granted.value.era) return false
    lease = granted.value
    if (!loop.isRunning()) await revoke()
    return true
  }

  async function renew (current: StoreLease): Promise<boolean> {
    if (!isOfCurrentEra(current)) {
      lease = undefined
      return await register()
    }
    const renewed = await store.renewLease(current.leaseId)
    const isLost = renewed.isOk ? renewed.value !== current.era : renewed.error.kind === StoreErrorKind.LeaseEnded
    if (isLost) lease = undefined
    return renewed.isOk && !isLost
  }

  function isOfCurrentEra ({ era }: StoreLease): boolean {
    return era === (options.getStoreEra() ?? era)
  }

  async function revoke (): Promise<void> {
    const current = lease
    lease = undefined
    // A lease of an earlier era is gone, and its ID may name another gateway's.
    if (current !== undefined && isOfCurrentEra(current)) await store.revokeLease(current.leaseId)
  }

  const loop = createSupervisedLoop({
    name: 'presence',
    timers,
    logger,
    monitor: options.loopMonitor,
    async step () {
      const hasSucceeded = lease === undefined ? await register() : await renew(lease)
      await delay(timers, hasSucceeded ? renewIntervalMs : retryMs)
    }
  })

  return {
    listGateways,
    getRank () {
      const rank = sortByListedRevision(listGateways()).findIndex(gateway => gateway.nodeId === nodeId)
      return rank < 0 ? undefined : rank
    },
    findPeer (peerId) {
      const peer = peerId === nodeId ? undefined : listGateways().find(gateway => gateway.nodeId === peerId)
      return peer === undefined ? undefined : parseAddress(peer.address)
    },
    countGateways,
    start: loop.start,
    async stop () {
      loop.stop()
      await revoke()
    }
  }
}

/** Reads a gateway's entry; undefined for a text that no gateway writes. */
export function parseGatewayEntry (value: string): z.infer<typeof gatewayEntrySchema> | undefined {
  try {
    return gatewayEntrySchema.safeParse(JSON.parse(value)).data
  } catch {
    // Not JSON, so that another program has written it; the caller logs it.
    return undefined
  }
}
