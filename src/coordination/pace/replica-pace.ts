/** The stream limit of one replica as a fraction of its slots: how it starts, rises and falls. */
import type { PaceStatement } from './pace-statement.js'

/** Why the limit of a replica changed; the values are logged. */
export enum PaceReason {
  Opened = 'opened',
  Stalled = 'stalled',
  Evacuated = 'evacuated',
  Broken = 'broken',
  Refused = 'refused',
  LateFirstEvent = 'late first event',
  Pause = 'pause',
  InTime = 'in time',
  NoComplaint = 'no complaint',
  OtherGateway = 'other gateway'
}

/** What a gateway knows of the pace of one replica. */
export interface ReplicaPace {
  /** Streams of all gateways that the replica should have, as a fraction of its slots. Above 1 it only says how many gateways may send them; `fullFraction` for all. */
  fraction: number
  /** This gateway has had a response in time since the last start or fall. */
  isProven: boolean
  /** The last change for a response was a fall. */
  isFallen: boolean
  /** A fall has occurred since the last start, so that the limit rises in even steps. */
  risesEvenly: boolean
  /** The state comes from this gateway's own attempts. */
  hasOwnEvidence: boolean
  /** Late signals since the last response in time. */
  lateCount: number
  /** How late the last late signal was, over the usual time; 1 when the last response was in time. */
  lateRatio: number
  lastFallAtMs: number
  /** Time from which the limit may rise without responses here; undefined until the replica has streams. */
  rampFromMs: number | undefined
}

/** A server that turned slow answers this many streams in a time that shows whether it is sound, and their clients are few. */
export const startFraction = 0.25
/**
 * While a gateway has had no response in time, it takes part from its rank on. Up to this fraction the number of gateways that do
 * doubles; if all began at once, their reports would be too old to keep them from filling the replica twice over.
 */
export const fullFraction = 4
/** With one stream alone, the chance that the first prompt is a long one would decide. */
export const minStartStreamCount = 2
/** A fall never goes below this fraction, or a sound server would need more than three steps by time to come back. */
const minFraction = 0.125
const fallFactor = 0.5
const riseFactor = 2
/** Even step of the rise after a fall: from half of the slots to all with two responses. Steps of an eighth left recovered servers at 0.83 to 0.86 of their share. */
const evenRiseFraction = 0.25
/** Late signals of streams that were sent together count as one: they wait in the same pass, which lasts about 50 ms. */
const minFallIntervalMs = 150
/** A proven replica falls for this many late signals in a row: one late response may be due to its prompt. */
const lateCountOfProven = 2
/** Longer than a load report takes between most gateways (100 to 600 ms), so that a statement about a late response stops the rise. */
const rampIntervalMs = 500
/** After a fall it is longer, so that the few streams that try the replica again show their result first. */
const rampIntervalAfterFallMs = 700
/** Between the steps above the slots, which only let more gateways take part: about the mean age of a load report. */
const joinIntervalMs = 300

/** Creates the state of a replica without a limit. */
export function createFullPace (): ReplicaPace {
  return { fraction: fullFraction, isProven: false, isFallen: false, risesEvenly: false, hasOwnEvidence: false, lateCount: 0, lateRatio: 1, lastFallAtMs: -Infinity, rampFromMs: undefined }
}

/** Sets the state of a replica that starts, or starts again. */
export function startPace (pace: ReplicaPace): void {
  Object.assign(pace, { ...createFullPace(), fraction: startFraction, lastFallAtMs: pace.lastFallAtMs })
}

/** Raises the limit for a response in time. Returns whether it changed. */
export function recordInTime (pace: ReplicaPace): boolean {
  const before = pace.fraction
  const risen = pace.risesEvenly ? before + evenRiseFraction : before * riseFactor
  pace.fraction = risen >= 1 ? fullFraction : risen
  pace.isProven = true
  pace.isFallen = false
  pace.hasOwnEvidence = true
  pace.lateCount = 0
  pace.lateRatio = 1
  if (pace.fraction === fullFraction) pace.risesEvenly = false
  return pace.fraction !== before
}

/** Records a response that is late by `ratio` and, if it counts, lowers the limit. Returns whether it did. */
export function recordLate (pace: ReplicaPace, nowMs: number, ratio: number): boolean {
  pace.lateCount += 1
  pace.hasOwnEvidence = true
  if (pace.rampFromMs !== undefined) pace.rampFromMs = nowMs
  if (pace.isProven && pace.lateCount < lateCountOfProven) return false
  return lower(pace, nowMs, ratio)
}

/** Lowers the limit for a signal that needs no second one, such as a refusal. Returns whether it changed. */
export function lower (pace: ReplicaPace, nowMs: number, ratio: number): boolean {
  pace.lateRatio = Math.max(pace.lateRatio, ratio)
  if (nowMs - pace.lastFallAtMs < minFallIntervalMs) return false
  pace.lastFallAtMs = nowMs
  pace.fraction = Math.max(minFraction, Math.min(1, pace.fraction) * fallFactor)
  pace.isProven = false
  pace.isFallen = true
  pace.risesEvenly = true
  pace.hasOwnEvidence = true
  pace.lateCount = 0
  pace.rampFromMs = nowMs
  return true
}

/** Adopts what another gateway states. Returns whether the limit fell. */
export function adoptStatement (pace: ReplicaPace, { limitPercent, isFallen }: PaceStatement, nowMs: number): boolean {
  const stated = Math.min(1, Math.max(minFraction, limitPercent / 100))
  // Own responses in time are newer than the report of a gateway on the same way up.
  if (!isFallen && (pace.isProven || pace.isFallen)) return false
  if (isFallen && stated >= pace.fraction) return false
  if (stated === pace.fraction || stated === 1) return false
  const isLower = stated < pace.fraction
  pace.fraction = stated
  pace.rampFromMs = nowMs
  if (isFallen) Object.assign(pace, { isProven: false, hasOwnEvidence: false, risesEvenly: true })
  return isLower
}

/**
 * Raises the limit when the time has passed without a late response, here or stated by others. Such a rise serves gateways
 * that have no streams there, and those that get no reports. Returns whether it rose.
 */
export function rampByTime (pace: ReplicaPace, nowMs: number, hasStreams: boolean, isOverdue: boolean): boolean {
  if (pace.fraction >= fullFraction) return false
  if (isOverdue) pace.rampFromMs = nowMs
  else if (pace.rampFromMs === undefined && hasStreams) pace.rampFromMs = nowMs
  const intervalMs = pace.fraction >= 1 ? joinIntervalMs : pace.risesEvenly ? rampIntervalAfterFallMs : rampIntervalMs
  if (pace.rampFromMs === undefined || nowMs - pace.rampFromMs < intervalMs) return false
  pace.fraction = Math.min(fullFraction, pace.fraction * riseFactor)
  pace.rampFromMs = nowMs
  pace.isFallen = false
  pace.lateRatio = 1
  if (pace.fraction === fullFraction) pace.risesEvenly = false
  return true
}

/** Converts a fraction of the slots to streams. */
export function toStreamLimit (fraction: number, slotCount: number): number {
  const atLeast = fraction >= startFraction ? minStartStreamCount : 1
  return Math.min(slotCount, Math.max(atLeast, Math.round(fraction * slotCount)))
}
