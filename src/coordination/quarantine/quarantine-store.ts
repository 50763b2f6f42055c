/** Keeps the entries of the quarantine in the store, so that they outlive the gateways and an operator can remove one. */
import { z } from 'zod'

import type { Logger } from '../../observability/log.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import { StoreErrorKind, type RevisionedStore } from '../ports/revisioned-store.js'
import type { PromptGuard } from './prompt-guard.js'
import { formatEntryKey, type QuarantineEntry } from './prompt-quarantine.js'

export interface QuarantineStore {
  /** Applies the entries that the store holds by the gateway's view. */
  applyView (): void
  /** The store came back from an older copy: what is missing from it was not removed by an operator. */
  forgetView (): void
  /** Writes a new entry of this gateway. */
  publish (entry: QuarantineEntry): void
  /** Claims the next probe of the entry; false if another gateway has it or the store does not respond. */
  claimProbe (entry: QuarantineEntry): Promise<boolean>
  /**
   * Lifts the entry, whose parts a request has that was served. The gateway that served it removes the entry from the store; the
   * others ignore it for a time, since their views may still show it.
   */
  release (entry: QuarantineEntry, isServedHere: boolean): void
  start (): void
  stop (): void
}

interface StoredEntry {
  readonly value: string
  readonly revision: number
}

export interface QuarantineStoreOptions {
  readonly store: RevisionedStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Prefix of all keys that gateways write; `listStored` leaves it out. */
  readonly gatewayPrefix: string
  readonly guard: Pick<PromptGuard, 'addEntry' | 'removeEntry' | 'listEntries'>
  listStored (): ReadonlyMap<string, StoredEntry>
  isPlanner (): boolean
  /** Time since the store confirmed the view. */
  getViewAgeMs (): number
  countGateways (): number
  /** Tells the other gateways of an entry that the store may not hold yet. */
  announce (entry: QuarantineEntry): void
}

/** Keys of the entries begin with this, below the prefix of all keys that gateways write. */
export const quarantineKeyPrefix = 'quarantine/'
/** Entries that the store does not hold are announced and written again after this time. */
const repairIntervalMs = 1000
/** The entry that a served request refuted may still be on its way to the store, or to this gateway's view, for this time. */
const releaseTimeMs = 3000
/** A claim that failed is not repeated within this time, as each call to the store has a cost. */
const claimPauseMs = 5000
const entrySchema = z.object({ partIds: z.array(z.string()).min(1), probeCount: z.number().int().nonnegative() })

/** Creates the record of what the store holds, with an empty view. */
export function createQuarantineStore ({ store, timers, random, logger, gatewayPrefix, guard, listStored, isPlanner, getViewAgeMs, countGateways, announce }: QuarantineStoreOptions): QuarantineStore {
  /** Keys that the view has had since the store's era began. */
  const viewedKeys = new Set<string>()
  /** Keys of entries that this gateway made. */
  const ownKeys = new Set<string>()
  /** Entries that this gateway ignores, and removes from the store if it is the one that refuted them. */
  const released = new Map<string, { readonly untilMs: number, readonly isServedHere: boolean }>()
  /** When the store acknowledged entries that this gateway wrote and that its view has not shown yet. */
  const writtenAtMs = new Map<string, number>()
  const warnedKeys = new Set<string>()
  let claimsFromMs = -Infinity
  let repairTimer: TimerSubscription | undefined

  function listStoredKeys (): string[] {
    return [...listStored().keys()].filter(key => key.startsWith(quarantineKeyPrefix)).map(key => key.slice(quarantineKeyPrefix.length))
  }

  function getRevision (key: string): number {
    return listStored().get(quarantineKeyPrefix + key)?.revision ?? 0
  }

  function decode (key: string): QuarantineEntry | undefined {
    const decoded = entrySchema.safeParse(parseJson(listStored().get(quarantineKeyPrefix + key)?.value ?? '')).data
    if (decoded !== undefined && formatEntryKey(decoded.partIds) === key) return decoded
    if (!warnedKeys.has(key)) logger.warn('An entry of the quarantine is invalid.', { key })
    warnedKeys.add(key)
    return undefined
  }

  async function write (entry: QuarantineEntry, expectedRevision: number): Promise<boolean> {
    const key = formatEntryKey(entry.partIds)
    const written = await store.write({ key: gatewayPrefix + quarantineKeyPrefix + key, expectedRevision, value: JSON.stringify(entry), leaseId: 0 })
    if (written.isOk) {
      writtenAtMs.set(key, timers.nowMs())
      return true
    }
    logger.info('An entry of the quarantine was not written.', { key, expectedRevision, probeCount: entry.probeCount, reason: written.error.reason })
    return false
  }

  /** The gateway that made an entry repairs it, and the planner; the others do so if both are gone. */
  function mayRepair (key: string): boolean {
    return ownKeys.has(key) || isPlanner() || random.nextInt(countGateways()) === 0
  }

  function repair (): void {
    for (const entry of guard.listEntries()) {
      const key = formatEntryKey(entry.partIds)
      if (getRevision(key) !== 0 || released.has(key)) continue
      if (wasRemoved(key)) forget(key)
      else if (mayRepair(key)) {
        announce(entry)
        if (!writtenAtMs.has(key)) void write(entry, 0)
      }
    }
    for (const [key, { untilMs, isServedHere }] of released) {
      if (isServedHere) void removeStored(key)
      if (timers.nowMs() >= untilMs && !(isServedHere && getRevision(key) !== 0)) released.delete(key)
    }
  }

  /** Whether the entry was written and removed again, both between two views of this gateway. */
  function wasRemoved (key: string): boolean {
    return timers.nowMs() - getViewAgeMs() > (writtenAtMs.get(key) ?? Infinity)
  }

  function forget (key: string): void {
    viewedKeys.delete(key)
    writtenAtMs.delete(key)
    released.delete(key)
    ownKeys.delete(key)
    guard.removeEntry(key)
  }

  async function removeStored (key: string): Promise<void> {
    const revision = getRevision(key)
    if (revision === 0) return
    const removed = await store.remove(gatewayPrefix + quarantineKeyPrefix + key, revision)
    if (!removed.isOk && removed.error.kind !== StoreErrorKind.Conflict) logger.info('An entry of the quarantine was not removed; it will be tried again.', { key, reason: removed.error.reason })
  }

  return {
    applyView () {
      const storedKeys = new Set(listStoredKeys())
      for (const key of storedKeys) {
        const entry = released.has(key) ? undefined : decode(key)
        if (entry !== undefined) guard.addEntry(entry, 'the store')
        viewedKeys.add(key)
        writtenAtMs.delete(key)
      }
      for (const key of viewedKeys) {
        if (!storedKeys.has(key)) forget(key)
      }
    },
    forgetView () {
      viewedKeys.clear()
      writtenAtMs.clear()
    },
    publish (entry) {
      const key = formatEntryKey(entry.partIds)
      ownKeys.add(key)
      released.delete(key)
      announce(entry)
      void write(entry, getRevision(key))
    },
    async claimProbe (entry) {
      const key = formatEntryKey(entry.partIds)
      const revision = getRevision(key)
      if (revision === 0 || timers.nowMs() < claimsFromMs) return false
      claimsFromMs = timers.nowMs() + claimPauseMs
      const claimed = { partIds: entry.partIds, probeCount: entry.probeCount + 1 }
      if (!await write(claimed, revision)) return false
      guard.addEntry(claimed, 'a probe of this gateway')
      return true
    },
    release (entry, isServedHere) {
      const key = formatEntryKey(entry.partIds)
      released.set(key, { untilMs: timers.nowMs() + releaseTimeMs, isServedHere })
      guard.removeEntry(key)
      if (isServedHere) void removeStored(key)
    },
    start () {
      repairTimer = timers.subscribeEvery(repairIntervalMs, repair)
    },
    stop: () => repairTimer?.cancel()
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Not JSON, so that another program has written it; the caller logs it.
    return undefined
  }
}
