/** Observes what becomes of the requests that a gateway sends to servers, and shares what that tells of the parts of their prompts. */
import type { Logger } from '../../observability/log.js'
import { MetricEvent, type Metrics } from '../../observability/metrics.js'
import { limitPartList, PromptMessageKind, type PromptMessage } from '../../protocol/prompt-messages.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { BackendServer } from '../../state/backend-server.js'
import { ServerFate } from '../ports/server-fate.js'
import { maxSuspectCount, type CrashSign } from './crash-evidence.js'
import { formatParts, keepParts } from './part-list.js'
import { createPromptQuarantine, formatEntryKey, type Admission, type QuarantineEntry } from './prompt-quarantine.js'

/** A request at one server. Each attempt ends with one of `end`, `abandon`, `complete`, `confirmEnd` and `recordLoss`; what is called after that has no effect. */
export interface GuardedAttempt {
  /** The response delivered its first event. */
  recordProgress (): void
  /** The request has been served. */
  complete (): void
  /**
   * The response, which has no length, ended with its connection. Returns whether it was complete: its server lives. Else the
   * end of the connection was that of the server, and counts as a loss. `isServed` tells whether a complete response serves the request.
   */
  confirmEnd (isServed: boolean): Promise<boolean>
  /** The connection to the server ended within the response. `hasHead` tells whether the response had begun. */
  recordLoss (hasHead: boolean): void
  /** The attempt ended in a way that says nothing of the prompt, and the server works on it no longer. */
  end (): void
  /** This gateway ended the attempt, for the reason given, while the server may still work on it. */
  abandon (reason: string): void
}

export interface PromptGuard {
  /** Whether a request with the parts may go to a server now. */
  check (partIds: readonly string[]): Admission
  /** A request with the parts is being sent to the server. */
  begin (partIds: readonly string[], server: BackendServer): GuardedAttempt
  applyMessage (message: PromptMessage): void
  /** Applies an entry that another gateway has made. */
  addEntry (entry: QuarantineEntry, source: string): void
  /** Drops an entry that is no longer in the store. */
  removeEntry (key: string): void
  listEntries (): QuarantineEntry[]
  /** The entry that keeps a request with the parts from its server, if a probe of it is due. */
  findDueProbe (partIds: readonly string[]): QuarantineEntry | undefined
  countSuspects (): number
}

export interface PromptGuardOptions {
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'countEvent'>
  /** Whether the server accepts a connection: it has not ended, only the connection has. */
  isListening (server: BackendServer): Promise<boolean>
  /** Tells what becomes of the server's process within the time, as soon as it ends. */
  watchEnd (server: BackendServer, durationMs: number): Promise<ServerFate>
  /** Whether an end of the process now would not be a planned one. */
  isEndUnplanned (server: BackendServer): boolean
  /** Sends a message to all other gateways; it may be lost. */
  sendMessage (message: PromptMessage): void
  /** Called with each entry that this gateway makes. */
  onEntry (entry: QuarantineEntry): void
  /** Called when a request was served, here or at another gateway, although it has the parts of the entry. */
  onRefuted (entry: QuarantineEntry, isServedHere: boolean): void
}

/** Messages on crashes are sent twice, since datagrams are lost occasionally. */
const repeatAfterMs = 150
/** Bounds the parts whose clearing is announced: as many as may be suspected. */
const maxSharedPartCount = maxSuspectCount
/** A server that began to write for a request ends this long after the gateway has ended the attempt at the latest, if it ends of the request. */
export const abandonedWatchMs = 1200
/** A process that writes the first event and ends has made no progress. */
const progressDelayMs = 20

/** Creates the guard with no part under suspicion. */
export function createPromptGuard ({ timers, logger, metrics, isListening, watchEnd, isEndUnplanned, sendMessage, onEntry, onRefuted }: PromptGuardOptions): PromptGuard {
  const quarantine = createPromptQuarantine()
  /** Lists the parts of each attempt of this gateway that has delivered no event. */
  const silentAttempts = new Set<() => readonly string[]>()
  /** Suspicious parts that were in a message of this or another gateway. */
  const sharedPartIds = new Set<string>()

  function isAnySilent (partIds: readonly string[]): boolean {
    const wanted = new Set(partIds)
    return [...silentAttempts].some(listParts => listParts().some(partId => wanted.has(partId)))
  }

  function recordShared (partIds: readonly string[]): void {
    for (const partId of partIds) {
      sharedPartIds.delete(partId)
      sharedPartIds.add(partId)
    }
    for (const partId of sharedPartIds) {
      if (sharedPartIds.size <= maxSharedPartCount) return
      sharedPartIds.delete(partId)
    }
  }

  /** The parts that are likeliest at fault come first, in case that not all can be named. */
  function sortByCrashes (partIds: readonly string[]): string[] {
    return [...partIds].sort((left, right) => quarantine.countCrashes(right) - quarantine.countCrashes(left))
  }

  function announceCleared (partIds: readonly string[], isCompletion: boolean): void {
    const announced = partIds.filter(partId => isCompletion ? sharedPartIds.delete(partId) : sharedPartIds.has(partId))
    if (announced.length === 0) return
    logger.info('Parts of prompts are no longer suspected.', { parts: formatParts(announced), isCompletion })
    sendMessage({ kind: PromptMessageKind.Cleared, partIds: [...limitPartList(announced)], isCompletion })
  }

  function shareCrash ({ partIds, serverKey, isEarly, sentAtMs, lostAtMs }: CrashSign, isAbandoned: boolean): void {
    const uncleared = sortByCrashes(quarantine.listUncleared(partIds, timers.nowMs()))
    if (uncleared.length === 0) return
    const suspects = quarantine.listSuspects(uncleared, timers.nowMs())
    const isOnTrial = suspects.length > 0 && isAnySilent(suspects)
    if (isOnTrial) quarantine.recordTrial(suspects, timers.nowMs())
    recordShared(uncleared)
    logger.warn('A server ended under a request; parts of its prompt are suspected.', {
      serverKey, parts: formatParts(uncleared), crashCounts: formatParts(uncleared.map(partId => String(quarantine.countCrashes(partId)))), isEarly, isAbandoned, isOnTrial
    })
    const send = () => sendMessage({ kind: PromptMessageKind.Crash, partIds: [...limitPartList(uncleared)], serverKey, isEarly, sentAgoMs: timers.nowMs() - sentAtMs, lostAgoMs: timers.nowMs() - lostAtMs, isOnTrial })
    send()
    timers.subscribeOnce(repeatAfterMs, () => {
      if (quarantine.listUncleared(uncleared, timers.nowMs()).length > 0) send()
    })
  }

  function reportEntry (entry: QuarantineEntry, source: string): void {
    metrics.countEvent(MetricEvent.PromptQuarantined)
    logger.error('Servers ended in a row under requests with the same part; requests with it are refused.', {
      parts: formatParts(entry.partIds), probeCount: entry.probeCount, source
    })
  }

  /** Returns whether the server lives. */
  async function recordLoss (partIds: readonly string[], server: BackendServer, isEarly: boolean, sentAtMs: number): Promise<boolean> {
    const sign = { serverKey: formatServerKey(server), partIds, isEarly, sentAtMs, lostAtMs: timers.nowMs() }
    // Until it is known, the lost request does not end another server: it waits like others with the suspected parts.
    quarantine.recordTrial(partIds, sign.lostAtMs)
    const isAlive = await isListening(server)
    quarantine.endTrial(partIds, sign.lostAtMs)
    if (isAlive) return true
    recordCrash(sign, false)
    return false
  }

  function recordCrash (sign: CrashSign, isAbandoned: boolean): void {
    metrics.countEvent(MetricEvent.ServerCrash)
    const entry = quarantine.recordCrash(sign, timers.nowMs())
    shareCrash(sign, isAbandoned)
    if (entry === undefined) return
    reportEntry(entry, 'this gateway')
    onEntry(entry)
  }

  /** Learns whether a server ended of a request whose attempt this gateway had ended before. */
  async function observeAbandoned (partIds: readonly string[], server: BackendServer, hasEvents: boolean, sentAtMs: number): Promise<void> {
    const fate = await watchEnd(server, abandonedWatchMs)
    if (fate === ServerFate.Ended && isEndUnplanned(server)) {
      recordCrash({ serverKey: formatServerKey(server), partIds, isEarly: false, sentAtMs, lostAtMs: timers.nowMs() }, true)
      return
    }
    quarantine.endTrial(partIds, sentAtMs)
    if (fate !== ServerFate.Alive || !hasEvents) return
    quarantine.recordSurvival(partIds, timers.nowMs())
    const suspects = partIds.filter(partId => quarantine.countCrashes(partId) > 0)
    if (suspects.length > 0) sendMessage({ kind: PromptMessageKind.Survived, partIds: [...limitPartList(sortByCrashes(suspects))] })
  }

  function recordCompletion (partIds: readonly string[]): void {
    announceCleared(quarantine.recordCompletion(partIds, timers.nowMs()), true)
    for (const entry of quarantine.findEntries(partIds)) {
      sendMessage({ kind: PromptMessageKind.Cleared, partIds: [...limitPartList(entry.partIds)], isCompletion: true })
      onRefuted(entry, true)
    }
  }

  function applyCleared (partIds: readonly string[], isCompletion: boolean): void {
    for (const partId of partIds) sharedPartIds.delete(partId)
    if (!isCompletion) {
      quarantine.recordProgress(partIds)
      return
    }
    quarantine.recordCompletion(partIds, timers.nowMs())
    for (const entry of quarantine.findEntries(partIds)) onRefuted(entry, false)
  }

  return {
    check: partIds => quarantine.check(partIds, timers.nowMs()),
    begin (allPartIds, server) {
      if (allPartIds.length === 0) return { recordProgress () {}, complete () {}, confirmEnd: () => isListening(server), recordLoss () {}, end () {}, abandon () {} }
      const sentAtMs = timers.nowMs()
      const suspects = quarantine.begin(allPartIds, sentAtMs)
      if (suspects.length > 0) sendMessage({ kind: PromptMessageKind.Trial, partIds: [...limitPartList(sortByCrashes(suspects))] })
      const listParts = keepParts(allPartIds)
      let isSilent = true
      let hasEvents = false
      let isSettled = false
      let progressTimer: TimerSubscription | undefined
      silentAttempts.add(listParts)

      function endSilence (): void {
        silentAttempts.delete(listParts)
        isSilent = false
      }

      function applyProgress (): void {
        if (!isSilent) return
        endSilence()
        announceCleared(quarantine.recordProgress(listParts()), false)
      }

      /** Returns whether the attempt was silent until now, and undefined when it is settled. */
      function settle (): boolean | undefined {
        if (isSettled) return undefined
        isSettled = true
        progressTimer?.cancel()
        return isSilent
      }

      function end (): void {
        const wasSilent = settle()
        if (wasSilent === undefined) return
        if (wasSilent) quarantine.endTrial(listParts(), sentAtMs)
        endSilence()
      }

      return {
        recordProgress () {
          hasEvents = true
          if (isSilent && !isSettled) progressTimer ??= timers.subscribeOnce(progressDelayMs, applyProgress)
        },
        complete () {
          if (settle() === undefined) return
          if (progressTimer !== undefined) applyProgress()
          endSilence()
          recordCompletion(listParts())
        },
        async confirmEnd (isServed) {
          const wasSilent = settle()
          if (wasSilent === undefined) return true
          endSilence()
          const isComplete = await recordLoss(listParts(), server, wasSilent, sentAtMs)
          if (isComplete && isServed) recordCompletion(listParts())
          return isComplete
        },
        recordLoss (hasHead) {
          const wasSilent = settle()
          if (wasSilent === undefined) return
          endSilence()
          void recordLoss(listParts(), server, hasHead && wasSilent, sentAtMs)
        },
        end,
        abandon (reason) {
          if (settle() === undefined) return
          endSilence()
          void observeAbandoned(listParts(), server, hasEvents, sentAtMs)
          metrics.countEvent(MetricEvent.AttemptAbandoned)
          logger.info('An attempt was ended while its server may have been working on it.', {
            serverId: server.id, startedAtMs: server.startedAtMs, parts: formatParts(listParts()), elapsedMs: Math.round(timers.nowMs() - sentAtMs), reason
          })
        }
      }
    },
    applyMessage (message) {
      const nowMs = timers.nowMs()
      switch (message.kind) {
        case PromptMessageKind.Crash: {
          const { partIds, serverKey, isEarly, sentAgoMs, lostAgoMs, isOnTrial } = message
          recordShared(partIds)
          const entry = quarantine.recordCrash({ serverKey, partIds, isEarly, sentAtMs: nowMs - sentAgoMs, lostAtMs: nowMs - lostAgoMs }, nowMs)
          if (isOnTrial) quarantine.recordTrial(partIds, nowMs)
          if (entry !== undefined) reportEntry(entry, 'crashes that another gateway saw')
          return
        }
        case PromptMessageKind.Trial:
          quarantine.recordTrial(message.partIds, nowMs)
          return
        case PromptMessageKind.Survived:
          quarantine.recordSurvival(message.partIds, nowMs)
          return
        case PromptMessageKind.Cleared:
          applyCleared(message.partIds, message.isCompletion)
          return
        case PromptMessageKind.Quarantine:
          if (quarantine.add({ partIds: message.partIds, probeCount: message.probeCount }, nowMs)) reportEntry(message, 'another gateway')
      }
    },
    addEntry (entry, source) {
      if (quarantine.add(entry, timers.nowMs())) reportEntry(entry, source)
    },
    removeEntry (key) {
      const parts = formatParts(quarantine.listEntries().find(({ partIds }) => formatEntryKey(partIds) === key)?.partIds ?? [])
      if (!quarantine.remove(key)) return
      metrics.countEvent(MetricEvent.PromptReleased)
      logger.warn('Requests with the parts are no longer refused.', { parts })
    },
    listEntries: quarantine.listEntries,
    findDueProbe: partIds => quarantine.findDueProbe(partIds, timers.nowMs()),
    countSuspects: quarantine.countSuspects
  }
}

/** Identifies a process of a server. */
function formatServerKey ({ id, startedAtMs }: BackendServer): string {
  return `${id}/${startedAtMs}`
}
