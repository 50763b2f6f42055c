/** Finds the part of a prompt whose requests end the servers that work on them, by what became of the requests that have it. */

/** A server ended while it worked on a request. */
export interface CrashSign {
  /** Identifies the process of the server: its end counts once, however many requests and gateways saw it. */
  readonly serverKey: string
  /** Parts of the request's prompt that other requests may share. */
  readonly partIds: readonly string[]
  /** The response had begun, but no event had arrived: a sound request spends little time in that state. */
  readonly isEarly: boolean
  /** When the request was sent to the server. */
  readonly sentAtMs: number
  /** When the connection ended. */
  readonly lostAtMs: number
}

/** What is known of the parts of prompts. A part that nothing is known of is sound. */
export interface CrashEvidence {
  /** Returns the parts that are at fault by now; empty in most cases. */
  recordCrash (sign: CrashSign, nowMs: number): string[]
  /** A server that had written events for a request with the parts lives on after its attempt was ended. */
  recordSurvival (partIds: readonly string[], nowMs: number): void
  /** A response to a request with the parts has delivered an event. Returns the parts that this clears of early crashes. */
  recordProgress (partIds: readonly string[]): string[]
  /** A request with the parts has been served. Returns the parts that were under suspicion. */
  recordCompletion (partIds: readonly string[], nowMs: number): string[]
  /** Drops the crashes of other parts that those at fault explain. */
  explain (partIds: readonly string[]): void
  /** Drops what is known of the parts. */
  forget (partIds: readonly string[]): void
  /** Lists those of the parts whose requests go to servers one at a time. */
  listSuspects (partIds: readonly string[], nowMs: number): string[]
  /** Servers that ended under the part since a request with it was last served. */
  /** Lists those of the parts under which a server ended, and of which no request was served recently. */
  listUncleared (partIds: readonly string[], nowMs: number): string[]
  /** Whether a server ended under the part after its first event, so that an event says little of the next one. */
  mayEndAnyTime (partId: string): boolean
  countCrashes (partId: string): number
  countSuspects (): number
}

interface Crash {
  readonly serverKey: string
  isEarly: boolean
}

interface SuspectRecord {
  /** Crashes since the last completion, in order. */
  crashes: Crash[]
  lastCrashAtMs: number
}

/** Servers that end in a row, before the first event, under one part. */
export const faultEarlyCrashCount = 3
/** The same for crashes at any point of a response, under which most streams of the server are. */
export const faultCrashCount = 5
/** Crashes at any point after which requests with the part go to servers one at a time. */
const suspectCrashCount = 4
/** The same for a part of which no request was served recently: two requests may be in progress when the third crash is known. */
const suspectUnservedCrashCount = 3
/** Servers that end within this time end together, unless the request was sent after the first of them ended. */
const minCrashIntervalMs = 50
/** A request that was lost sooner found a server that was ending already. Also bounds by how much times of other gateways are off. */
const minRunTimeMs = 20
/** While other requests with the part are served this frequently, its first crash changes nothing for them. */
const recentCompletionMs = 2000
/** A part at fault is outlived only by servers that dropped the request when its attempt ended. */
const maxSurvivalsPerCrash = 1
const survivalHalfLifeMs = 30_000
/** Without another crash a part is no longer suspected after this time. */
const suspicionTimeMs = 600_000
/**
 * Bound the memory, whatever parts clients make up. A part is suspected only when a server has ended under it. A request has at most this
 * many parts: each takes four characters or more of its head, of which the gateway reads 64 KB.
 */
export const maxSuspectCount = 16_384
const maxCompletedPartCount = 16_384

/** Creates the evidence with no part known. */
export function createCrashEvidence (): CrashEvidence {
  /** In the order of the last crash. */
  const suspects = new Map<string, SuspectRecord>()
  /** Those of them with one crash, mostly in the order of that crash. */
  const onceSuspected = new Set<string>()
  /** Times of the last completions, in their order. */
  const completions = new Map<string, number>()
  /** Servers that outlived abandoned requests, with a weight that halves over time. */
  const survivals = new Map<string, { readonly count: number, readonly atMs: number }>()

  function isPartSuspect (partId: string, nowMs: number): boolean {
    const record = suspects.get(partId)
    if (record === undefined || record.crashes.length === 0) return false
    const earlyCount = countEarly(record)
    if (earlyCount > 1 || record.crashes.length >= suspectCrashCount) return true
    return (earlyCount === 1 || record.crashes.length >= suspectUnservedCrashCount) && !wasServedRecently(partId, nowMs)
  }

  function wasServedRecently (partId: string, nowMs: number): boolean {
    return nowMs - (completions.get(partId) ?? -Infinity) <= recentCompletionMs
  }

  function setSuspect (partId: string, record: SuspectRecord): void {
    if (record.crashes.length === 0) {
      removeSuspect(partId)
      return
    }
    suspects.set(partId, record)
    if (record.crashes.length === 1) onceSuspected.add(partId)
    else onceSuspected.delete(partId)
  }

  function removeSuspect (partId: string): boolean {
    onceSuspected.delete(partId)
    return suspects.delete(partId)
  }

  function removeOldest (nowMs: number): void {
    for (const [partId, { lastCrashAtMs }] of suspects) {
      if (nowMs - lastCrashAtMs <= suspicionTimeMs) break
      removeSuspect(partId)
    }
    // The part at fault has crashes that others have not: parts with one crash give way first.
    for (const partIds of [onceSuspected, suspects.keys()]) {
      for (const partId of partIds) {
        if (suspects.size <= maxSuspectCount) return
        removeSuspect(partId)
      }
    }
  }

  function addCrash (partId: string, { serverKey, isEarly, sentAtMs, lostAtMs }: CrashSign, nowMs: number): void {
    const record = suspects.get(partId) ?? { crashes: [], lastCrashAtMs: -Infinity }
    const known = record.crashes.find(crash => crash.serverKey === serverKey)
    if (known !== undefined) {
      known.isEarly ||= isEarly
      return
    }
    // Of servers that end together, as in a power loss, one counts.
    const hasRunSince = isEarly && sentAtMs >= record.lastCrashAtMs - minRunTimeMs && lostAtMs >= sentAtMs + minRunTimeMs
    if (lostAtMs < record.lastCrashAtMs + minCrashIntervalMs && !hasRunSince) return
    record.crashes.push({ serverKey, isEarly })
    record.lastCrashAtMs = lostAtMs
    removeSuspect(partId)
    setSuspect(partId, record)
    removeOldest(nowMs)
  }

  function countSurvivals (partId: string, nowMs: number): number {
    const known = survivals.get(partId)
    return known === undefined ? 0 : known.count * 2 ** ((known.atMs - nowMs) / survivalHalfLifeMs)
  }

  /** Whether so many servers outlived such requests that the others ended by chance. */
  function isOutweighed (partId: string, crashCount: number, nowMs: number): boolean {
    return countSurvivals(partId, nowMs) > maxSurvivalsPerCrash * crashCount
  }

  function isAtFault (partId: string, nowMs: number): boolean {
    const record = suspects.get(partId)
    if (record === undefined) return false
    return countEarly(record) >= faultEarlyCrashCount || (record.crashes.length >= faultCrashCount && !isOutweighed(partId, record.crashes.length, nowMs))
  }

  return {
    recordCrash (sign, nowMs) {
      for (const partId of sign.partIds) addCrash(partId, sign, nowMs)
      return sign.partIds.filter(partId => isAtFault(partId, nowMs))
    },
    recordSurvival (partIds, nowMs) {
      for (const partId of partIds) {
        const count = countSurvivals(partId, nowMs) + 1
        survivals.delete(partId)
        survivals.set(partId, { count, atMs: nowMs })
      }
      removeFirst(survivals, maxCompletedPartCount)
    },
    recordProgress (partIds) {
      return partIds.filter(partId => {
        const early = suspects.get(partId)?.crashes.filter(crash => crash.isEarly) ?? []
        for (const crash of early) crash.isEarly = false
        return early.length > 0
      })
    },
    recordCompletion (partIds, nowMs) {
      for (const partId of partIds) {
        completions.delete(partId)
        completions.set(partId, nowMs)
      }
      removeFirst(completions, maxCompletedPartCount)
      return partIds.filter(removeSuspect)
    },
    explain (partIds) {
      const kept = new Set(partIds)
      const explained = new Set(partIds.flatMap(partId => suspects.get(partId)?.crashes.map(({ serverKey }) => serverKey) ?? []))
      for (const [partId, record] of suspects) {
        if (kept.has(partId)) continue
        record.crashes = record.crashes.filter(({ serverKey }) => !explained.has(serverKey))
        setSuspect(partId, record)
      }
    },
    forget (partIds) {
      for (const partId of partIds) removeSuspect(partId)
    },
    listSuspects: (partIds, nowMs) => partIds.filter(partId => isPartSuspect(partId, nowMs)),
    listUncleared: (partIds, nowMs) => partIds.filter(partId => isPartSuspect(partId, nowMs) || (suspects.has(partId) && !wasServedRecently(partId, nowMs))),
    mayEndAnyTime: partId => suspects.get(partId)?.crashes.some(({ isEarly }) => !isEarly) === true,
    countCrashes: partId => suspects.get(partId)?.crashes.length ?? 0,
    countSuspects: () => suspects.size
  }
}

function countEarly ({ crashes }: SuspectRecord): number {
  return crashes.filter(({ isEarly }) => isEarly).length
}

/** Bounds a map by removing the entries that were set first. */
function removeFirst (map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return
    map.delete(key)
  }
}
