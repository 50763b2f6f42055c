import type { ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createChannel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'

/** Why the node may or may not use its configuration. */
export enum FreshnessReason {
  Fresh = 'fresh',
  /** The node has no configuration yet. */
  NoConfig = 'noConfig',
  /** The node has not yet learned, since its start, which version is settled. */
  Recovering = 'recovering',
  /** The last confirmation is older than the lease. */
  Stale = 'stale'
}

/** Whether the node may use its configuration now. Must be checked right before each use. */
export interface Freshness {
  readonly canServe: boolean
  readonly reason: FreshnessReason
  /** Age of the last confirmation in milliseconds; infinite before the first. */
  readonly ageMs: number
}

/** Largest value of the uint32 field on the wire. */
const maxAgeMs = 0xffff_ffff
/** Bounds the memory for confirmations of versions above the one in use; beyond it the lowest version's is dropped. */
const maxPendingConfirmations = 16

export interface ConfigStateOptions {
  readonly timers: TimerService
  readonly configLeaseMs: number
}

export type ConfigState = ReturnType<typeof createConfigState>

/**
 * The configuration state of one node. A version is settled once a majority of the witnesses stores it. A
 * confirmation states that at a given time no version above a given one was settled. The state keeps the newest
 * version, the settled version, and the time of the latest confirmation that covers the version in use; none of
 * them ever decreases. The node uses its newest version once that is settled and confirmed.
 */
export function createConfigState ({ timers, configLeaseMs }: ConfigStateOptions) {
  const startedAtMs = timers.nowMs()
  const changes = createChannel<FleetConfig>()
  const pendingConfirmations = new Map<number, number>()
  let newest: FleetConfig | undefined
  let inUse: FleetConfig | undefined
  let settledVersion = 0
  let storeVersion = 0
  let confirmedAtMs = Number.NEGATIVE_INFINITY
  let canAttest = false
  let isStoreUnreachable = false

  /** Applies the confirmations of the version and of lower ones: if no version above 5 was settled, none above 7 was. */
  function applyPendingConfirmations (version: number): void {
    for (const [confirmedVersion, atMs] of pendingConfirmations) {
      if (confirmedVersion > version) continue
      confirmedAtMs = Math.max(confirmedAtMs, atMs)
      pendingConfirmations.delete(confirmedVersion)
    }
  }

  function useNewestIfSettled (): void {
    if (newest === undefined || newest.version > settledVersion) return
    applyPendingConfirmations(newest.version)
    // A confirmation from before the start may not cover a version that this node used before it restarted.
    if (confirmedAtMs < startedAtMs) return
    if (inUse !== undefined && inUse.version >= newest.version) return
    inUse = newest
    changes.send(inUse)
  }

  function addPendingConfirmation (version: number, atMs: number): void {
    pendingConfirmations.set(version, Math.max(atMs, pendingConfirmations.get(version) ?? Number.NEGATIVE_INFINITY))
    if (pendingConfirmations.size <= maxPendingConfirmations) return
    pendingConfirmations.delete(Math.min(...pendingConfirmations.keys()))
  }

  function getAgeMs (): number {
    return inUse === undefined ? Number.POSITIVE_INFINITY : timers.nowMs() - confirmedAtMs
  }

  function getFreshness (): Freshness {
    const ageMs = getAgeMs()
    if (newest === undefined) return { canServe: false, reason: FreshnessReason.NoConfig, ageMs }
    if (inUse === undefined) return { canServe: false, reason: FreshnessReason.Recovering, ageMs }
    if (ageMs >= configLeaseMs) return { canServe: false, reason: FreshnessReason.Stale, ageMs }
    return { canServe: true, reason: FreshnessReason.Fresh, ageMs }
  }

  return {
    /** Emits each configuration when the node starts to use it. */
    changes: changes.messages,
    /** Newest configuration that the node has; it may not be settled yet. */
    getNewest: () => newest,
    /** Settled configuration that the node uses. */
    getInUse: () => inUse,
    getSettledVersion: () => settledVersion,
    /** Newest version that this node read from or wrote to the store. */
    getStoreVersion: () => storeVersion,
    getFreshness,
    /**
     * Whether the node's status may count towards a majority of the witnesses. Requires a store response since
     * the node's start, because a restart loses the versions that the node had.
     */
    canAttest: () => canAttest,
    /** Updates the newest configuration; an older one has no effect. */
    update (config: FleetConfig): void {
      if (newest !== undefined && config.version <= newest.version) return
      newest = config
      useNewestIfSettled()
    },
    /** Records that a majority of the witnesses stores the version or a newer one. */
    recordSettled (version: number): void {
      if (version <= settledVersion) return
      settledVersion = version
      useNewestIfSettled()
    },
    /** Records that no version above the given one was settled at the given time. */
    recordConfirmation (version: number, atMs: number): void {
      if (atMs < startedAtMs) return
      addPendingConfirmation(version, atMs)
      if (inUse !== undefined) applyPendingConfirmations(inUse.version)
      useNewestIfSettled()
    },
    /** Records a response of the store to a call of this node. */
    recordStoreResponse (version: number): void {
      isStoreUnreachable = false
      canAttest = true
      storeVersion = Math.max(storeVersion, version)
    },
    recordStoreUnreachable (): void {
      isStoreUnreachable = true
    },
    getStatus (): ConfigStatus {
      return {
        version: newest?.version ?? 0,
        versionInUse: inUse?.version ?? 0,
        confirmedAgeMs: Math.min(maxAgeMs, Math.ceil(getAgeMs())),
        hasConfig: newest !== undefined,
        isStoreUnreachable,
        canAttest
      }
    }
  }
}
