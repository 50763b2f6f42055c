import type { ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createChannel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'

export enum FreshnessReason {
  Fresh = 'fresh',
  /** No configuration is known yet. */
  NoConfig = 'noConfig',
  /** Since its start the node has not learned which version is settled. */
  Recovering = 'recovering',
  /** The last confirmation is older than the lease. */
  Stale = 'stale'
}

/** Whether the node may act on its configuration now. Ask right before each use. */
export interface Freshness {
  readonly canServe: boolean
  readonly reason: FreshnessReason
  /** Age of the last confirmation; infinite before the first. */
  readonly ageMs: number
}

const maxAgeMs = 0xffff_ffff
const maxPendingConfirmations = 16

export interface ConfigHoldingOptions {
  readonly timers: TimerService
  readonly configLeaseMs: number
}

export type ConfigHolding = ReturnType<typeof createConfigHolding>

/**
 * What one node knows of the configuration. Three facts only grow:
 * the newest version held, the newest version known to be settled (held by a majority of the
 * witnesses), and for each version the latest time at which no newer one was settled.
 * The node acts on the version held once that is settled.
 */
export function createConfigHolding ({ timers, configLeaseMs }: ConfigHoldingOptions) {
  const startedAtMs = timers.nowMs()
  const changes = createChannel<FleetConfig>()
  const pendingConfirmations = new Map<number, number>()
  let held: FleetConfig | undefined
  let inUse: FleetConfig | undefined
  let settledVersion = 0
  let storeVersion = 0
  let confirmedAtMs = Number.NEGATIVE_INFINITY
  let canAttest = false
  let isStoreUnreachable = false

  function takePending (version: number): void {
    for (const [confirmedVersion, atMs] of pendingConfirmations) {
      if (confirmedVersion > version) continue
      confirmedAtMs = Math.max(confirmedAtMs, atMs)
      pendingConfirmations.delete(confirmedVersion)
    }
  }

  function promote (): void {
    if (held === undefined || held.version > settledVersion) return
    takePending(held.version)
    // A confirmation from before the start may miss a version that this node acted on before it restarted.
    if (confirmedAtMs < startedAtMs) return
    if (inUse !== undefined && inUse.version >= held.version) return
    inUse = held
    changes.send(inUse)
  }

  function addPending (version: number, atMs: number): void {
    pendingConfirmations.set(version, Math.max(atMs, pendingConfirmations.get(version) ?? Number.NEGATIVE_INFINITY))
    if (pendingConfirmations.size <= maxPendingConfirmations) return
    pendingConfirmations.delete(Math.min(...pendingConfirmations.keys()))
  }

  function getAgeMs (): number {
    return inUse === undefined ? Number.POSITIVE_INFINITY : timers.nowMs() - confirmedAtMs
  }

  function getFreshness (): Freshness {
    const ageMs = getAgeMs()
    if (held === undefined) return { canServe: false, reason: FreshnessReason.NoConfig, ageMs }
    if (inUse === undefined) return { canServe: false, reason: FreshnessReason.Recovering, ageMs }
    if (ageMs >= configLeaseMs) return { canServe: false, reason: FreshnessReason.Stale, ageMs }
    return { canServe: true, reason: FreshnessReason.Fresh, ageMs }
  }

  return {
    /** Each configuration that the node begins to act on. */
    changes: changes.messages,
    getHeld: () => held,
    getInUse: () => inUse,
    getSettledVersion: () => settledVersion,
    getStoreVersion: () => storeVersion,
    getFreshness,
    canAttest: () => canAttest,
    /** Takes in a stored configuration; an older one than held has no effect. */
    hold (config: FleetConfig): void {
      if (held !== undefined && config.version <= held.version) return
      held = config
      promote()
    },
    /** Notes that a majority of the witnesses holds the version or a newer one. */
    noteSettled (version: number): void {
      if (version <= settledVersion) return
      settledVersion = version
      promote()
    },
    /** Notes that at the time no version above the given one was settled. */
    confirm (version: number, atMs: number): void {
      if (atMs < startedAtMs) return
      addPending(version, atMs)
      if (inUse !== undefined) takePending(inUse.version)
      promote()
    },
    /** Notes an answer of the store to this node's own call. */
    noteStoreAnswer (version: number): void {
      isStoreUnreachable = false
      canAttest = true
      storeVersion = Math.max(storeVersion, version)
    },
    noteStoreUnreachable (): void {
      isStoreUnreachable = true
    },
    getStatus (): ConfigStatus {
      return {
        version: held?.version ?? 0,
        versionInUse: inUse?.version ?? 0,
        confirmedAgeMs: Math.min(maxAgeMs, Math.ceil(getAgeMs())),
        hasConfig: held !== undefined,
        isStoreUnreachable,
        canAttest
      }
    }
  }
}
