/** Decides which requests may go to a server, by the parts of their prompts: all, one at a time, or none but for probes. */
import { createHash } from 'node:crypto'

import { createCrashEvidence, type CrashSign } from './crash-evidence.js'

/** Parts that no request may have all of. Mostly it is one part; more when only requests with all of them ended servers. */
export interface QuarantineEntry {
  readonly partIds: readonly string[]
  /** Probes so far: requests with the parts that were let through to see whether they still end a server. */
  readonly probeCount: number
}

export enum AdmissionKind {
  Admitted = 'admitted',
  /** Another request with the same part is under way, and servers have ended under that part. */
  OnTrial = 'onTrial',
  Quarantined = 'quarantined'
}

export type Admission =
  | { readonly kind: AdmissionKind.Admitted }
  /** `waitMs` is the time after which a request with these parts may be admitted at the earliest. */
  | { readonly kind: AdmissionKind.OnTrial | AdmissionKind.Quarantined, readonly partIds: readonly string[], readonly waitMs: number }

/** The parts of prompts that are under suspicion or in quarantine. */
export interface PromptQuarantine {
  check (partIds: readonly string[], nowMs: number): Admission
  /** A request with the parts goes to a server. Returns those of them that are under suspicion. */
  begin (partIds: readonly string[], nowMs: number): string[]
  /** Another gateway sends a request with these parts, which are under suspicion. */
  recordTrial (partIds: readonly string[], nowMs: number): void
  /** A request with the parts, sent at that time, has ended without telling whether they end servers. */
  endTrial (partIds: readonly string[], sentAtMs: number): void
  /** Returns the entry that the crash leads to, if it leads to a new one. */
  recordCrash (sign: CrashSign, nowMs: number): QuarantineEntry | undefined
  /** A server that had written events for a request with the parts lives on after its attempt was ended. */
  recordSurvival (partIds: readonly string[], nowMs: number): void
  /** Returns the parts whose requests need no longer go one at a time. */
  recordProgress (partIds: readonly string[]): string[]
  recordCompletion (partIds: readonly string[], nowMs: number): string[]
  /** Applies an entry of this or another gateway. Returns whether it is a new one. An entry with more probes replaces one with fewer. */
  add (entry: QuarantineEntry, nowMs: number): boolean
  remove (key: string): boolean
  /** Entries whose parts the request has all of. */
  findEntries (partIds: readonly string[]): QuarantineEntry[]
  listEntries (): QuarantineEntry[]
  /** The only entry that the parts match, once its next probe is due. */
  findDueProbe (partIds: readonly string[], nowMs: number): QuarantineEntry | undefined
  listSuspects (partIds: readonly string[], nowMs: number): string[]
  listUncleared (partIds: readonly string[], nowMs: number): string[]
  countCrashes (partId: string): number
  countSuspects (): number
}

interface HeldEntry {
  readonly entry: QuarantineEntry
  /** When this gateway learned of the entry with this number of probes. */
  readonly sinceMs: number
}

/** A request delivers its first event, or its server ends, within this time in most cases. */
export const trialTimeMs = 1500
/** A request may be marked as the trial this long after it was sent: once the crash before it is confirmed, or another gateway told. */
const trialMarkDelayMs = 30
/** Times from the entry, and from each probe, to the next one. The last is repeated. A day has three probes at most. */
const probeIntervalsMs = [60_000, 600_000, 7_200_000, 86_400_000]
/** Each entry stands for at least three servers that ended. At the limit no new one is made. */
export const maxEntryCount = 100

/** A key of the store has 200 bytes at most, and the prefix of the entries takes 23 of them. */
const maxEntryKeyLength = 160

/** Identifies an entry by its parts, or by a digest of them where they are too long for a key of the store. */
export function formatEntryKey (partIds: readonly string[]): string {
  const key = [...partIds].sort().join('+')
  return key.length <= maxEntryKeyLength ? key : `sha256-${createHash('sha256').update(key).digest('hex')}`
}

/** Creates the record with no part under suspicion or in quarantine. */
export function createPromptQuarantine (): PromptQuarantine {
  const evidence = createCrashEvidence()
  const entries = new Map<string, HeldEntry>()
  /** Times from which trials are in progress, by part. */
  const trialsFromMs = new Map<string, number>()

  function listMatches (partIds: readonly string[]): HeldEntry[] {
    if (entries.size === 0 || partIds.length === 0) return []
    const present = new Set(partIds)
    return [...entries.values()].filter(({ entry }) => entry.partIds.every(partId => present.has(partId)))
  }

  function getProbeDueMs ({ entry, sinceMs }: HeldEntry): number {
    return sinceMs + (probeIntervalsMs[entry.probeCount] ?? probeIntervalsMs.at(-1) ?? Infinity)
  }

  function startTrial (partIds: readonly string[], nowMs: number): void {
    for (const partId of partIds) trialsFromMs.set(partId, nowMs)
  }

  /** Ends the trials that the request, sent at that time, may be. One that was sent before a trial is not it. */
  function endTrial (partIds: readonly string[], sentAtMs = Infinity): void {
    for (const partId of partIds) {
      if (sentAtMs >= (trialsFromMs.get(partId) ?? Infinity) - trialMarkDelayMs) trialsFromMs.delete(partId)
    }
  }

  function getTrialWaitMs (partId: string, nowMs: number): number {
    return (trialsFromMs.get(partId) ?? -Infinity) + trialTimeMs - nowMs
  }

  function removeEndedTrials (nowMs: number): void {
    for (const partId of trialsFromMs.keys()) {
      if (getTrialWaitMs(partId, nowMs) <= 0) trialsFromMs.delete(partId)
    }
  }

  function add (entry: QuarantineEntry, nowMs: number): boolean {
    const key = formatEntryKey(entry.partIds)
    const known = entries.get(key)
    if (known !== undefined && known.entry.probeCount >= entry.probeCount) return false
    if (known === undefined && entries.size >= maxEntryCount) return false
    entries.set(key, { entry, sinceMs: nowMs })
    evidence.explain(entry.partIds)
    endTrial(entry.partIds)
    return known === undefined
  }

  return {
    check (partIds, nowMs) {
      const matches = listMatches(partIds)
      if (matches.length > 0) {
        const dueMs = Math.max(...matches.map(getProbeDueMs))
        return { kind: AdmissionKind.Quarantined, partIds: matches.flatMap(({ entry }) => entry.partIds), waitMs: Math.max(0, dueMs - nowMs) }
      }
      const held = evidence.listSuspects(partIds, nowMs)
      const waitMs = Math.max(0, ...held.map(partId => getTrialWaitMs(partId, nowMs)))
      return waitMs > 0 ? { kind: AdmissionKind.OnTrial, partIds: held, waitMs } : { kind: AdmissionKind.Admitted }
    },
    begin (partIds, nowMs) {
      const suspects = evidence.listSuspects(partIds, nowMs)
      if (suspects.length > 0) removeEndedTrials(nowMs)
      startTrial(suspects, nowMs)
      return suspects
    },
    recordTrial (partIds, nowMs) {
      removeEndedTrials(nowMs)
      startTrial(evidence.listSuspects(partIds, nowMs), nowMs)
    },
    endTrial,
    recordCrash (sign, nowMs) {
      endTrial(sign.partIds, sign.sentAtMs)
      // Requests with quarantined parts were sent before the entry was known, or as a probe: it explains their crashes.
      if (listMatches(sign.partIds).length > 0) return undefined
      const atFault = evidence.recordCrash(sign, nowMs)
      if (atFault.length === 0) return undefined
      const entry = { partIds: atFault, probeCount: 0 }
      return add(entry, nowMs) ? entry : undefined
    },
    recordSurvival: evidence.recordSurvival,
    recordProgress (partIds) {
      endTrial(partIds.filter(partId => !evidence.mayEndAnyTime(partId)))
      const cleared = evidence.recordProgress(partIds)
      return cleared
    },
    recordCompletion (partIds, nowMs) {
      const cleared = evidence.recordCompletion(partIds, nowMs)
      endTrial(cleared)
      return cleared
    },
    add,
    findEntries: partIds => listMatches(partIds).map(({ entry }) => entry),
    remove (key) {
      evidence.forget(entries.get(key)?.entry.partIds ?? [])
      return entries.delete(key)
    },
    listEntries: () => [...entries.values()].map(({ entry }) => entry),
    findDueProbe (partIds, nowMs) {
      const matches = listMatches(partIds)
      const [only] = matches
      return only === undefined || matches.length > 1 || getProbeDueMs(only) > nowMs ? undefined : only.entry
    },
    listSuspects: evidence.listSuspects,
    listUncleared: evidence.listUncleared,
    countCrashes: evidence.countCrashes,
    countSuspects: evidence.countSuspects
  }
}
