/** Finds for each replica how many streams it should have now, from how it answers this gateway and what other gateways state. */
import type { Logger } from '../../observability/log.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { Replica } from '../../state/replica.js'
import type { EngineProfile } from '../../state/serving-config.js'
import type { GatewayRank } from './gateway-ranks.js'
import { createModelTimes } from './model-times.js'
import { mergePaceStatements, type PaceStatement, type PaceStatements } from './pace-statement.js'
import {
  adoptStatement, createFullPace, fullFraction, lower, PaceReason, rampByTime, recordInTime, recordLate, startPace, toStreamLimit, type ReplicaPace
} from './replica-pace.js'

/** How an attempt ended. */
export enum PacedResult {
  /** The stream is complete, or ended for a reason that says nothing of the server's speed. */
  Neutral = 'neutral',
  /** The server ran nothing: it refused, or accepted no connection. */
  Refused = 'refused',
  /** The connection broke within the response; the server may have ended. */
  Broken = 'broken'
}

/** One attempt of a stream, as the pace of its replica sees it. */
export interface PacedAttempt {
  recordEvent (): void
  /** The client does not read: the time until `resume` says nothing of the server. */
  pause (): void
  resume (): void
  /** Later calls have no effect. */
  end (result: PacedResult): void
}

/** The replicas of one service. */
export interface PacedService {
  readonly name: string
  readonly engine: EngineProfile
  readonly replicas: readonly Replica[]
}

export interface ServerPace {
  /** Takes in the listed replicas. Those that have opened since the last time start with a low limit. */
  observeServices (services: readonly PacedService[]): void
  beginAttempt (replica: Replica): PacedAttempt
  /** Starts the replica again with a low limit, for a reason that its responses do not show. */
  restart (replicaId: string, reason: PaceReason): void
  /**
   * Number of streams of all gateways together up to which this gateway may send new ones to the replica, at most
   * `slotCount`; 0 while the few streams of a replica that has yet to prove itself are those of other gateways.
   */
  getStreamLimit (replica: Replica, slotCount: number): number
  /** Time that the replica takes over the usual one of its model; 1 when unknown. */
  getPaceFactor (replica: Replica): number
  /** What this gateway's own attempts show of replicas that are below their full limit or slow; undefined when there is nothing to state. */
  listStatements (): PaceStatements | undefined
  /** Number of replicas of the service below their full limit. */
  countPaced (serviceName: string): number
}

export interface ServerPaceOptions {
  readonly timers: TimerService
  readonly logger: Logger
  /** Place of this gateway in an order of all gateways that differs for each replica. */
  getRank (replicaId: string): GatewayRank
  /** Streams of all gateways on the replica. */
  getStreamCount (replicaId: string): number
  /** The lowest recent statement of other gateways. */
  getStatement (replicaId: string): PaceStatement | undefined
  /** Whether clients have sent requests. */
  hasTraffic (): boolean
}

interface OpenAttempt {
  lastEventAtMs: number
  hasEvents: boolean
  isPaused: boolean
  isCountedLate: boolean
  /** The replica had no free slot, so that the time to the first event holds a wait for one. */
  readonly isQueued: boolean
}

interface Entry {
  readonly replica: Replica
  readonly engine: EngineProfile
  readonly pace: ReplicaPace
  readonly attempts: Set<OpenAttempt>
  /** The replica's own mean time to the first event, of responses that were not late. */
  steadyFirstEventMs: number | undefined
}

/** A response later than this, over the usual time, is late: prompts of four times the mean length take twice the usual time. */
const lateFactor = 2.5
/** A response within this factor of the usual time is one in time. */
const inTimeFactor = 1.5
/** Servers that take this much longer between events than the others count as slow; passes with many long prompts take a half longer. */
const slowFactor = 1.75
/** From this factor on the limit is 1 / factor of the slots. A server at half of its speed keeps its slots: its passes take hardly longer with more streams. */
const limitedFactor = 2.5
/** Smaller differences between replicas come from their batches and say nothing of their servers. */
const minStatedFactor = 1.25
/** A pause has this many times the usual time between events. */
const pauseFactor = 4
/** A working replica pauses for less, even while it reads 12,000 prompt tokens: `quietAfterMs` of the replica loads. */
const minPauseMs = 220
/** Weight of a response in the replica's own mean. */
const steadyWeight = 0.1
/** When more than this fraction of at least `minJudgedCount` replicas looks slow, this gateway itself is slow. */
const maxSlowFraction = 0.5
const minJudgedCount = 4
/** The question above is answered anew this often. */
const selfCheckLifeMs = 100
const percent = 100

/** Creates the record without replicas. Those of the first observation count as proven. */
export function createServerPace (options: ServerPaceOptions): ServerPace {
  const { timers, logger } = options
  const times = createModelTimes(timers)
  const entries = new Map<string, Entry>()
  let isFirstObservation = true
  let selfCheck = { atMs: -Infinity, isSlow: false }

  function find ({ id, leader }: Replica): Entry | undefined {
    const entry = entries.get(id)
    return entry?.replica.leader?.startedAtMs === leader?.startedAtMs ? entry : undefined
  }

  function logChange (entry: Entry, reason: PaceReason): void {
    const { replica, pace, engine } = entry
    logger.info('The stream limit of a replica changed.', {
      group: replica.id, service: replica.serviceName, reason, streamLimit: toStreamLimit(pace.fraction, engine.slotCount), slotCount: engine.slotCount, lateRatio: Number(pace.lateRatio.toFixed(2))
    })
  }

  function add (replica: Replica, engine: EngineProfile, isNew: boolean): void {
    const entry: Entry = { replica, engine, pace: createFullPace(), attempts: new Set(), steadyFirstEventMs: undefined }
    times.forget(replica.id)
    entries.set(replica.id, entry)
    if (!isNew) return
    startPace(entry.pace)
    logChange(entry, PaceReason.Opened)
  }

  function getUsualFirstEventMs ({ replica, engine, steadyFirstEventMs = 0 }: Entry): number {
    return Math.max(times.getUsualFirstEventMs(replica, engine), steadyFirstEventMs)
  }

  function getMaxPauseMs ({ replica, engine }: Entry): number {
    return Math.max(minPauseMs, pauseFactor * times.getUsualGapMs(replica, engine))
  }

  /** Time between events over the usual one; undefined without recent events. */
  function getGapFactor ({ replica, engine }: Entry): number | undefined {
    const gapMs = times.getOwnGapMs(replica.id)
    return gapMs === undefined ? undefined : gapMs / times.getUsualGapMs(replica, engine)
  }

  function late (entry: Entry, ratio: number, reason: PaceReason): void {
    if (recordLate(entry.pace, timers.nowMs(), ratio)) logChange(entry, reason)
  }

  /**
   * Whether a late first event may be due to its prompt or to a queue. At its full limit a replica has streams in progress
   * whose pauses show within 220 ms that it is slow; below, it has no queue.
   */
  function isExplained (entry: Entry, { isQueued }: OpenAttempt): boolean {
    return isQueued || entry.pace.fraction >= 1
  }

  /** Counts what is overdue, once for each attempt. Returns whether anything is. */
  function checkOverdue (entry: Entry): boolean {
    let isOverdue = false
    for (const attempt of entry.attempts) {
      if (attempt.isPaused || (!attempt.hasEvents && isExplained(entry, attempt))) continue
      const waitedMs = timers.nowMs() - attempt.lastEventAtMs
      const usualMs = attempt.hasEvents ? times.getUsualGapMs(entry.replica, entry.engine) : getUsualFirstEventMs(entry)
      if (waitedMs <= (attempt.hasEvents ? getMaxPauseMs(entry) : lateFactor * usualMs)) continue
      isOverdue = true
      if (attempt.isCountedLate) continue
      attempt.isCountedLate = true
      late(entry, waitedMs / usualMs, attempt.hasEvents ? PaceReason.Pause : PaceReason.LateFirstEvent)
    }
    return isOverdue
  }

  function judgeFirstEvent (entry: Entry, attempt: OpenAttempt, durationMs: number): void {
    const ratio = durationMs / getUsualFirstEventMs(entry)
    if (ratio > lateFactor) {
      if (!attempt.isCountedLate && !isExplained(entry, attempt)) late(entry, ratio, PaceReason.LateFirstEvent)
      return
    }
    entry.steadyFirstEventMs = entry.steadyFirstEventMs === undefined ? durationMs : entry.steadyFirstEventMs + (durationMs - entry.steadyFirstEventMs) * steadyWeight
    if (ratio <= inTimeFactor && (getGapFactor(entry) ?? 1) < slowFactor && recordInTime(entry.pace)) logChange(entry, PaceReason.InTime)
  }

  function update (entry: Entry): PaceStatement | undefined {
    const { replica, pace } = entry
    const isOverdue = checkOverdue(entry)
    const statement = options.getStatement(replica.id)
    if (statement === undefined && pace.fraction >= fullFraction) return undefined
    if (statement !== undefined && adoptStatement(pace, statement, timers.nowMs())) logChange(entry, PaceReason.OtherGateway)
    if (rampByTime(pace, timers.nowMs(), options.getStreamCount(replica.id) > 0, isOverdue)) logChange(entry, PaceReason.NoComplaint)
    return statement
  }

  function computeFactor (entry: Entry, statement: PaceStatement | undefined): number {
    const gapFactor = getGapFactor(entry)
    const factor = Math.max(gapFactor ?? (statement?.factorPercent ?? percent) / percent, entry.pace.isFallen ? entry.pace.lateRatio : 1)
    return factor < minStatedFactor ? 1 : factor
  }

  function computeFraction (entry: Entry, factor: number): number {
    return factor < limitedFactor ? entry.pace.fraction : Math.min(entry.pace.fraction, 1 / factor)
  }

  /** Whether most replicas look slow from here, as they do when this gateway's own path or processor is slow. */
  function isSelfSlow (): boolean {
    if (timers.nowMs() - selfCheck.atMs < selfCheckLifeMs) return selfCheck.isSlow
    for (const entry of entries.values()) checkOverdue(entry)
    const judged = [...entries.values()].filter(entry => entry.pace.hasOwnEvidence)
    const slowCount = judged.filter(entry => entry.pace.isFallen).length
    selfCheck = { atMs: timers.nowMs(), isSlow: judged.length >= minJudgedCount && slowCount > judged.length * maxSlowFraction }
    return selfCheck.isSlow
  }

  /** Part of the limit that this gateway may use before it has had a response in time. */
  function getOwnShare (replicaId: string, streamLimit: number): number {
    const { rank, gatewayCount } = options.getRank(replicaId)
    return Math.floor(streamLimit / gatewayCount) + (rank < streamLimit % gatewayCount ? 1 : 0)
  }

  return {
    observeServices (services) {
      const listedIds = new Set<string>()
      for (const { engine, replicas } of services) {
        for (const replica of replicas.filter(candidate => candidate.isOpen)) {
          listedIds.add(replica.id)
          if (find(replica) === undefined) add(replica, engine, !isFirstObservation && options.hasTraffic())
        }
      }
      for (const id of entries.keys()) {
        if (listedIds.has(id)) continue
        entries.delete(id)
        times.forget(id)
      }
      // An empty list comes before the first read of the store.
      if (listedIds.size > 0) isFirstObservation = false
    },
    beginAttempt (replica) {
      const entry = find(replica)
      if (entry === undefined) return { recordEvent () {}, pause () {}, resume () {}, end () {} }
      // The load reports already count this attempt.
      const isQueued = options.getStreamCount(replica.id) > entry.engine.slotCount
      const attempt: OpenAttempt = { lastEventAtMs: timers.nowMs(), hasEvents: false, isPaused: false, isCountedLate: false, isQueued }
      entry.attempts.add(attempt)
      return {
        recordEvent () {
          if (attempt.isPaused || !entry.attempts.has(attempt)) return
          const durationMs = timers.nowMs() - attempt.lastEventAtMs
          if (attempt.hasEvents) {
            times.recordGap(replica, durationMs, entry.attempts.size)
            attempt.isCountedLate = false
          } else {
            judgeFirstEvent(entry, attempt, durationMs)
            times.recordFirstEvent(replica, durationMs)
          }
          attempt.hasEvents = true
          attempt.lastEventAtMs = timers.nowMs()
        },
        pause () {
          attempt.isPaused = true
        },
        resume () {
          attempt.isPaused = false
          // The next event is measured from here on, not from before the pause.
          attempt.lastEventAtMs = timers.nowMs()
        },
        end (result) {
          if (!entry.attempts.delete(attempt) || result === PacedResult.Neutral) return
          if (result === PacedResult.Broken) {
            startPace(entry.pace)
            entry.pace.hasOwnEvidence = true
            entry.pace.isFallen = true
            logChange(entry, PaceReason.Broken)
          } else if (lower(entry.pace, timers.nowMs(), 1)) logChange(entry, PaceReason.Refused)
        }
      }
    },
    restart (replicaId, reason) {
      const entry = entries.get(replicaId)
      if (entry === undefined) return
      startPace(entry.pace)
      // Other gateways see no other sign of a stall; they know of an evacuation themselves.
      entry.pace.hasOwnEvidence = reason === PaceReason.Stalled
      entry.pace.isFallen = reason === PaceReason.Stalled
      logChange(entry, reason)
    },
    getStreamLimit (replica, slotCount) {
      const entry = find(replica)
      if (entry === undefined) return slotCount
      if (isSelfSlow()) return slotCount
      const statement = update(entry)
      const streamLimit = toStreamLimit(computeFraction(entry, computeFactor(entry, statement)), slotCount)
      const isLimited = streamLimit < slotCount
      if (entry.pace.isProven || (!isLimited && entry.pace.fraction >= fullFraction)) return streamLimit
      const sharedCount = isLimited ? streamLimit : Math.round(entry.pace.fraction * slotCount)
      return entry.attempts.size < getOwnShare(replica.id, sharedCount) ? streamLimit : 0
    },
    getPaceFactor (replica) {
      const entry = find(replica)
      return entry === undefined || isSelfSlow() ? 1 : computeFactor(entry, options.getStatement(replica.id))
    },
    listStatements () {
      const stated: Record<string, PaceStatement> = {}
      if (isSelfSlow()) return undefined
      for (const entry of entries.values()) {
        update(entry)
        const factor = computeFactor(entry, undefined)
        const fraction = computeFraction(entry, factor)
        if (!entry.pace.hasOwnEvidence || (fraction >= 1 && factor < slowFactor)) continue
        stated[entry.replica.id] = { limitPercent: Math.round(Math.min(1, fraction) * percent), factorPercent: Math.round(factor * percent), isFallen: entry.pace.isFallen || factor >= limitedFactor }
      }
      return mergePaceStatements([stated])
    },
    countPaced: serviceName => [...entries.values()].filter(({ replica, pace }) => replica.serviceName === serviceName && pace.fraction < 1).length
  }
}
