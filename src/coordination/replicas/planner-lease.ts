import type { Logger } from '../../observability/log.js'
import { createSupervisedLoop, type LoopMonitor } from '../../observability/supervised-loop.js'
import { createSuspensionDetector } from '../../shared/suspension-detector.js'
import type { RandomSource } from '../../shared/random-source.js'
import { delay, type TimerService } from '../../shared/timer-service.js'
import { StoreErrorKind, type RevisionedStore, type StoreLease, type StorePosition } from '../ports/revisioned-store.js'

/** The stored record that names the gateway that is the planner. */
export interface PlannerRecord {
  /** Node ID, a space and the number of the attempt; see `readPlannerNode`. */
  readonly value: string
  readonly revision: number
}

/** Dependencies of the lease, and its duration. */
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
  /** Number of gateways listed before this one; undefined while it is not listed. */
  getRank (): number | undefined
  /** Whether the view of the store is current enough to conclude from a missing record that there is no planner. */
  isStoreViewCurrent (): boolean
  /** The store's era in that view; undefined before the first read. */
  getStoreEra (): number | undefined
  /** Called when this gateway has become the planner. */
  onAcquired (): void
  readonly loopMonitor?: LoopMonitor
}

/** Planner election: at most one gateway is the planner, by a record in the store that is removed when its lease ends. */
export interface PlannerLease {
  /** Fencing token while this gateway is the planner, otherwise undefined. Callers check it right before each command. */
  getFencingToken (): number | undefined
  /** Stops being the planner because a server has seen commands of a later one. */
  relinquish (): void
  /** Looks at the planner's record at once, since the view of the store has changed. */
  checkNow (): void
  start (): void
  stop (): Promise<void>
}

interface HeldLease extends StoreLease {
  readonly fencingToken: number
  renewedAtMs: number
}

/** Time between two checks of the lease and the planner's record. */
const recordCheckIntervalMs = 150
/** The same while another gateway is the planner; `checkNow` tells when its record changes. */
const idleCheckIntervalMs = 1000
const renewalsPerLease = 3
/** Fraction of the lease left unused as a margin for network latency of the renewal and late timers. */
const unusedLeaseFraction = 0.15
/** Gateways try to become planner one after the other in the order of their ranks, since each attempt costs store calls. */
const delayPerRankMs = 100
/** Highest rank that adds delay. Gateways with a higher rank learn of the new planner from their relays before their delay ends. */
const maxRank = 30
/** A gateway that is not listed yet uses a random rank below this. */
const unlistedRankCount = 5

/** Fencing tokens of an era are above those of all eras before, although revisions are given out again. */
const revisionsPerEra = 2 ** 32
/** A record that names this gateway, though it is not the planner, is removed after this many lease durations. */
const orphanLeaseCount = 2

/** Separates the node ID from the attempt number in the record's value. */
const attemptSeparator = ' '

/** Returns the node ID of the planner from a record's value. */
export function readPlannerNode (value: string): string {
  return value.split(attemptSeparator)[0] ?? ''
}

/** Returns the fencing token of a planner whose record was written at this position. */
export function toFencingToken ({ era, revision }: StorePosition): number {
  return era * revisionsPerEra + revision
}

/** Creates the lease; this gateway does not hold it yet. */
export function createPlannerLease (options: PlannerLeaseOptions): PlannerLease {
  const { store, timers, random, logger, nodeId, key, leaseMs } = options
  const suspensionDetector = createSuspensionDetector(timers)
  let held: HeldLease | undefined
  let attemptCount = 0
  let wake = (): void => {}
  let orphan: { readonly revision: number, readonly seenAtMs: number } | undefined

  /** Time for which the process was suspended counts against the lease. */
  function isValid (candidate: HeldLease): boolean {
    candidate.renewedAtMs -= suspensionDetector.takeSuspendedMs()
    return timers.nowMs() - candidate.renewedAtMs < leaseMs * (1 - unusedLeaseFraction)
  }

  function stopHolding (reason: string): void {
    if (held === undefined) return
    logger.warn('This gateway is no longer the planner.', { generation: held.fencingToken, reason })
    held = undefined
  }

  async function renew (current: HeldLease): Promise<void> {
    if (current.era !== options.getStoreEra()) {
      stopHolding('the store came back from a copy')
      return
    }
    if (!isValid(current)) {
      stopHolding('the lease was not renewed in time')
      return
    }
    if (timers.nowMs() - current.renewedAtMs < leaseMs / renewalsPerLease) return
    const requestedAtMs = timers.nowMs()
    const response = await store.renewLease(current.leaseId)
    if (response.isOk && response.value !== current.era) stopHolding('the store came back from a copy')
    else if (response.isOk) current.renewedAtMs = Math.max(current.renewedAtMs, requestedAtMs)
    else if (response.error.kind === StoreErrorKind.LeaseEnded) stopHolding('the lease has ended')
  }

  async function tryAcquire (): Promise<void> {
    const rank = options.getRank() ?? random.nextInt(unlistedRankCount)
    await delay(timers, delayPerRankMs * (Math.min(rank, maxRank) + random.nextFloat()))
    if (!loop.isRunning() || !options.isStoreViewCurrent() || options.getRecord() !== undefined) return
    const requestedAtMs = timers.nowMs()
    const granted = await store.grantLease(leaseMs)
    if (!granted.isOk) return
    attemptCount += 1
    const value = `${nodeId}${attemptSeparator}${attemptCount}`
    const { era, leaseId } = granted.value
    // The view is of an era before the lease: whatever it shows is outdated.
    if (era !== options.getStoreEra()) return
    const written = await store.write({ key, expectedRevision: 0, value, leaseId })
    if (!written.isOk) {
      if (written.error.kind === StoreErrorKind.Conflict) await store.revokeLease(leaseId)
      // After a lost response the record may exist. It is removed when its lease, which is not renewed, ends.
      return
    }
    // The store came back from a copy in between: the record may hang on another gateway's lease, see `removeOrphan`.
    if (written.value.era !== era) return
    suspensionDetector.takeSuspendedMs()
    const fencingToken = toFencingToken(written.value)
    held = { era, leaseId, fencingToken, renewedAtMs: requestedAtMs }
    logger.info('This gateway is the planner.', { generation: fencingToken, era, revision: written.value.revision })
    options.onAcquired()
  }

  /** Removes a record that names this gateway and does not lapse, since another gateway renews the lease that it hangs on. */
  async function removeOrphan (): Promise<void> {
    const record = options.getRecord()
    if (record === undefined || readPlannerNode(record.value) !== nodeId) {
      orphan = undefined
      return
    }
    if (orphan?.revision !== record.revision) orphan = { revision: record.revision, seenAtMs: timers.nowMs() }
    if (timers.nowMs() - orphan.seenAtMs < leaseMs * orphanLeaseCount) return
    logger.warn('The record of the planner names this gateway, which is not the planner; it is removed.', { revision: record.revision })
    orphan = undefined
    await store.remove(key, record.revision)
  }

  function pauseUntilCheck (durationMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = timers.subscribeOnce(durationMs, resolve)
      wake = () => {
        timer.cancel()
        resolve()
      }
    })
  }

  const loop = createSupervisedLoop({
    name: 'planner lease',
    timers,
    logger,
    monitor: options.loopMonitor,
    async step () {
      if (held !== undefined) await renew(held)
      else if (options.isStoreViewCurrent()) {
        if (options.getRecord() === undefined) await tryAcquire()
        else await removeOrphan()
      }
      const isIdle = held === undefined && options.getRecord() !== undefined
      await pauseUntilCheck(isIdle ? idleCheckIntervalMs : recordCheckIntervalMs)
    }
  })

  return {
    getFencingToken: () => held !== undefined && held.era === options.getStoreEra() && isValid(held) ? held.fencingToken : undefined,
    checkNow: () => wake(),
    relinquish: () => stopHolding('a server has seen a later planner'),
    start: loop.start,
    async stop () {
      loop.stop()
      const current = held
      held = undefined
      // A lease of an earlier era is gone, and its ID may name another gateway's.
      if (current !== undefined && current.era === options.getStoreEra()) await store.revokeLease(current.leaseId)
    }
  }
}
