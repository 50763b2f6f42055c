import type { Logger } from '../../observability/log.js'
import { createSuspensionDetector } from '../../shared/suspension-detector.js'
import type { RandomSource } from '../../shared/random-source.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import { StoreErrorKind, type RevisionedStore } from '../ports/revisioned-store.js'

/** The stored record that names the planner. */
export interface PlannerRecord {
  readonly value: string
  readonly revision: number
}

export interface PlannerLeaseOptions {
  readonly store: RevisionedStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  readonly nodeId: string
  /** Key of the record in the store. */
  readonly key: string
  readonly leaseMs: number
  /** The record as last read; undefined when there is none. */
  getRecord (): PlannerRecord | undefined
  /** Gateways that were listed before this one; undefined while it is not listed. */
  getRank (): number | undefined
  /** Whether the view of the store is current enough to see a record's absence. */
  isStoreViewCurrent (): boolean
}

/** Names one gateway at a time as the planner, by a record that lasts as long as its lease. */
export interface PlannerLease {
  /** Fencing token while this gateway is the planner; checked right before each order. */
  getGeneration (): number | undefined
  /** Another planner's orders were seen. */
  giveUp (): void
  start (): void
  stop (): Promise<void>
}

interface Held {
  readonly leaseId: number
  readonly generation: number
  renewedAtMs: number
}

const stepMs = 150
const renewalsPerLease = 3
/** Part of the lease that is not used, for the way of the renewal and late timers. */
const unusedPart = 0.15
/** One gateway after the other tries to become planner, since each attempt costs calls. */
const delayPerRankMs = 100
/** Later ones hear of the new planner from their relays within this time. */
const maxRank = 30
/** A gateway that is not listed yet takes its chance among the first ones. */
const unlistedRankSpread = 5

/** Parts the node's name from the count that tells its attempts apart. */
const attemptSeparator = ' '

/** Returns the name of the gateway that a record names. */
export function readPlannerNode (value: string): string {
  return value.split(attemptSeparator)[0] ?? ''
}

/** Creates a lease that is not held. */
export function createPlannerLease (options: PlannerLeaseOptions): PlannerLease {
  const { store, timers, random, logger, nodeId, key, leaseMs } = options
  const clockGap = createSuspensionDetector(timers)
  let held: Held | undefined
  const state = { isRunning: false }
  let attemptCount = 0

  function isValid (candidate: Held): boolean {
    candidate.renewedAtMs -= clockGap.takeSuspendedMs()
    return timers.nowMs() - candidate.renewedAtMs < leaseMs * (1 - unusedPart)
  }

  function lose (reason: string): void {
    if (held === undefined) return
    logger.warn('This gateway is no longer the planner.', { generation: held.generation, reason })
    held = undefined
  }

  async function renew (current: Held): Promise<void> {
    if (!isValid(current)) {
      lose('the lease was not renewed in time')
      return
    }
    if (timers.nowMs() - current.renewedAtMs < leaseMs / renewalsPerLease) return
    const askedAtMs = timers.nowMs()
    const answer = await store.renewLease(current.leaseId)
    if (answer.isOk) current.renewedAtMs = Math.max(current.renewedAtMs, askedAtMs)
    else if (answer.error.kind === StoreErrorKind.LeaseEnded) lose('the lease has ended')
  }

  async function tryAcquire (): Promise<void> {
    const rank = options.getRank() ?? random.nextInt(unlistedRankSpread)
    await delay(timers, delayPerRankMs * (Math.min(rank, maxRank) + random.nextFloat()))
    if (!state.isRunning || !options.isStoreViewCurrent() || options.getRecord() !== undefined) return
    const askedAtMs = timers.nowMs()
    const granted = await store.grantLease(leaseMs)
    if (!granted.isOk) return
    attemptCount += 1
    const value = `${nodeId}${attemptSeparator}${attemptCount}`
    const written = await store.write({ key, expectedRevision: 0, value, leaseId: granted.value })
    if (!written.isOk) {
      if (written.error.kind === StoreErrorKind.Conflict) await store.revokeLease(granted.value)
      // A write whose reply was lost ends with its lease, which is not renewed.
      return
    }
    clockGap.takeSuspendedMs()
    held = { leaseId: granted.value, generation: written.value, renewedAtMs: askedAtMs }
    logger.info('This gateway is the planner.', { generation: written.value })
  }

  async function run (): Promise<void> {
    while (state.isRunning) {
      if (held !== undefined) await renew(held)
      else if (options.isStoreViewCurrent() && options.getRecord() === undefined) await tryAcquire()
      await delay(timers, stepMs)
    }
  }

  return {
    getGeneration: () => held !== undefined && isValid(held) ? held.generation : undefined,
    giveUp: () => lose('a server has seen a later planner'),
    start () {
      state.isRunning = true
      void run()
    },
    async stop () {
      state.isRunning = false
      const current = held
      held = undefined
      if (current !== undefined) await store.revokeLease(current.leaseId)
    }
  }
}
