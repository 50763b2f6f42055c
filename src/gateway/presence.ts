import { z } from 'zod'

import type { RevisionedStore } from '../coordination/ports/revisioned-store.js'
import { sortByAge, type ListedGateway } from '../coordination/relay/relay-plan.js'
import { StoreErrorKind } from '../coordination/ports/revisioned-store.js'
import type { Logger } from '../observability/log.js'
import { parseAddress, type NetworkAddress } from '../shared/network-address.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { GatewayItem } from './fleet-view.js'

const itemSchema = z.object({ address: z.string(), zone: z.string() })

/** Keeps this gateway in the list of gateways, and reads the others from it. */
export interface Presence {
  listGateways (): readonly ListedGateway[]
  /** Gateways that were listed before this one; undefined while it is not listed. */
  getRank (): number | undefined
  /** Undefined for this gateway itself and for one that is not in the list. */
  findPeer (nodeId: string): NetworkAddress | undefined
  /** Gateways in the list, at least one. */
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
  /** Prefix of the store's keys of gateways, and the same prefix among the items of the view. */
  readonly storePrefix: string
  readonly itemPrefix: string
  listItems (): ReadonlyMap<string, GatewayItem>
}

/** A gateway that was lost leaves the list after this time. */
const leaseMs = 9000
const renewIntervalMs = 2500
const retryMs = 700
/** The highest count of this time is used. */
const countMemoryMs = 30_000
/** Gateways that are assumed until the others had time to register. */
const assumedCount = 8
const unknownMs = 5000

/** Creates the presence; it is registered after `start`. */
export function createPresence (options: PresenceOptions): Presence {
  const { store, timers, logger, nodeId, address, zone } = options
  const ownValue = JSON.stringify({ address: `${address.host}:${address.port}`, zone })
  const unreadable = new Set<string>()
  let readItems: ReadonlyMap<string, GatewayItem> | undefined
  let gateways: readonly ListedGateway[] = []
  const startedAtMs = timers.nowMs()
  let leaseId: number | undefined
  let highestCount = 0
  let highestAtMs = -Infinity
  const state = { isRunning: false }

  /** The list may be empty for a while after an outage; the gateways are still there. */
  function countGateways (): number {
    const nowMs = timers.nowMs()
    const count = listGateways().length
    if (count >= highestCount || nowMs - highestAtMs > countMemoryMs) {
      highestCount = count
      highestAtMs = nowMs
    }
    const isNew = nowMs - startedAtMs < unknownMs
    return Math.max(1, highestCount, isNew ? assumedCount : 0)
  }

  function listGateways (): readonly ListedGateway[] {
    const items = options.listItems()
    if (items !== readItems) {
      readItems = items
      gateways = [...items].flatMap(([key, item]) => key.startsWith(options.itemPrefix) ? readItem(key, item) : [])
    }
    return gateways
  }

  function readItem (key: string, { value, revision }: GatewayItem): ListedGateway[] {
    const parsed = parseItem(value)
    if (parsed !== undefined) return [{ ...parsed, nodeId: key.slice(options.itemPrefix.length), listedRevision: revision }]
    if (!unreadable.has(key)) logger.warn('An item names no gateway.', { key, value })
    unreadable.add(key)
    return []
  }

  async function register (): Promise<boolean> {
    const granted = await store.grantLease(leaseMs)
    if (!granted.isOk) return false
    // A key of an earlier life of this process is replaced; its revision is known from the list.
    const expectedRevision = options.listItems().get(options.itemPrefix + nodeId)?.revision ?? 0
    const written = await store.write({ key: options.storePrefix + nodeId, expectedRevision, value: ownValue, leaseId: granted.value })
    if (!written.isOk) {
      logger.warn('This gateway could not be listed.', { reason: written.error.reason })
      return false
    }
    leaseId = granted.value
    return true
  }

  async function renew (current: number): Promise<boolean> {
    const answer = await store.renewLease(current)
    if (!answer.isOk && answer.error.kind === StoreErrorKind.LeaseEnded) leaseId = undefined
    return answer.isOk
  }

  async function run (): Promise<void> {
    while (state.isRunning) {
      const isDone = leaseId === undefined ? await register() : await renew(leaseId)
      await delay(timers, isDone ? renewIntervalMs : retryMs)
    }
  }

  return {
    listGateways,
    getRank () {
      const rank = sortByAge(listGateways()).findIndex(gateway => gateway.nodeId === nodeId)
      return rank < 0 ? undefined : rank
    },
    findPeer (peerId) {
      const peer = peerId === nodeId ? undefined : listGateways().find(gateway => gateway.nodeId === peerId)
      return peer === undefined ? undefined : parseAddress(peer.address)
    },
    countGateways,
    start () {
      state.isRunning = true
      void run()
    },
    async stop () {
      state.isRunning = false
      if (leaseId !== undefined) await store.revokeLease(leaseId)
    }
  }
}

function parseItem (value: string): z.infer<typeof itemSchema> | undefined {
  try {
    return itemSchema.safeParse(JSON.parse(value)).data
  } catch {
    // Written by another program; the caller logs it.
    return undefined
  }
}
