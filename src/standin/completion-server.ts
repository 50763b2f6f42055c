import type { TimerService } from '../shared/timer-service.js'
import { createBatchLoop, type BatchEntry } from './batch-loop.js'
import type { CompletionRequest } from './completion-request.js'
import { createCompletionWriter } from './completion-writer.js'
import type { EngineFaults } from './engine-faults.js'
import type { EngineMembership } from './engine-membership.js'
import type { JsonCall, JsonResponse } from './json-server.js'
import type { MemberMonitor } from './member-monitor.js'
import { createPrefixCache } from './prefix-cache.js'

const maxCachedPrefixCount = 32
/** A cached prompt prefix shortens the time to the first token by this factor. */
const cachedFirstTokenDivisor = 5

/** Counts of an engine since its start. */
export interface EngineCounts {
  startedCount: number
  completedCount: number
  cancelledCount: number
  resumedCount: number
  /** Streams that got a token while a member of the group was missing. */
  servedWhileMemberMissingCount: number
  /** Streams that were accepted while the leader knew that a member was missing. */
  takenWhileMemberMissingCount: number
  prefixHitCount: number
}

export interface CompletionServerOptions {
  readonly timers: TimerService
  readonly faults: EngineFaults
  readonly membership: EngineMembership
  readonly monitor: MemberMonitor
  readonly slotCount: number
  readonly maxQueuedCount: number
  readonly onLoadChange: () => void
}

/** Serves completions on the leader of a loaded group. */
export interface CompletionServer {
  readonly counts: EngineCounts
  /** Returns the refusal; undefined when the request is accepted and its response follows. */
  handle (call: JsonCall, request: CompletionRequest): JsonResponse | undefined
  activeCount (): number
  queuedCount (): number
  /** Closes the connections of all open requests. */
  cancelAll (): void
}

/** Creates the completion server of one engine. */
export function createCompletionServer (options: CompletionServerOptions): CompletionServer {
  const { timers, faults, membership, monitor, slotCount, maxQueuedCount, onLoadChange } = options
  const prefixCache = createPrefixCache(maxCachedPrefixCount)
  const openCalls = new Set<JsonCall>()
  const counts: EngineCounts = {
    startedCount: 0,
    completedCount: 0,
    cancelledCount: 0,
    resumedCount: 0,
    servedWhileMemberMissingCount: 0,
    takenWhileMemberMissingCount: 0,
    prefixHitCount: 0
  }
  let completionCount = 0

  const batch = createBatchLoop({
    timers,
    slotCount,
    maxQueuedCount,
    getStepMs: () => faults.tokenIntervalMs,
    isStalled: () => monitor.isMemberMissing() && !faults.servesWithMissingMembers,
    onLoadChange
  })

  function findRefusal (call: JsonCall): JsonResponse | undefined {
    const assignment = membership.assignment()
    if (assignment === undefined || !membership.isLeader()) {
      return toError(421, 'not_leader', 'this VM does not lead a group')
    }
    if (!faults.ignoresEpoch) {
      const { 'x-group-id': groupId, 'x-group-epoch': epoch } = call.request.headers
      const isStale = (groupId !== undefined && groupId !== assignment.groupId) ||
        (epoch !== undefined && Number(epoch) !== membership.epoch())
      if (isStale) return toError(409, 'stale_epoch', `group "${assignment.groupId}" has epoch ${membership.epoch()}`)
    }
    if (!membership.isLoaded()) return toError(503, 'loading', `group "${assignment.groupId}" is loading`)
    if (faults.isLeaving) return toError(503, 'leaving', 'this VM is leaving')
    if (faults.refuses) return toError(503, 'refused', 'this engine refuses requests')
  }

  function getFirstTokenMs (prompt: string): number {
    if (!prefixCache.use(prompt)) return faults.firstTokenMs
    counts.prefixHitCount += 1
    return faults.firstTokenMs / cachedFirstTokenDivisor
  }

  function createEntry (call: JsonCall, request: CompletionRequest): BatchEntry {
    completionCount += 1
    const requestId = call.request.headers['x-request-id'] ?? String(completionCount)
    const writer = createCompletionWriter(request, call.response, `cmpl-${String(requestId)}`)
    let isCountedAsMissing = false
    return {
      priority: request.priority,
      start: () => getFirstTokenMs(request.prompt),
      step () {
        if (monitor.isMemberMissing() && !isCountedAsMissing) {
          isCountedAsMissing = true
          counts.servedWhileMemberMissingCount += 1
        }
        return writer.writeNext()
      },
      isBlocked: () => writer.isBlocked()
    }
  }

  function handle (call: JsonCall, request: CompletionRequest): JsonResponse | undefined {
    const refusal = findRefusal(call)
    if (refusal !== undefined) return refusal
    const entry = createEntry(call, request)
    if (!batch.add(entry)) return toError(429, 'slots_full', 'all slots and the queue are full')
    counts.startedCount += 1
    if (request.firstTokenIndex > 0) counts.resumedCount += 1
    if (monitor.isMemberMissing()) counts.takenWhileMemberMissingCount += 1
    openCalls.add(call)
    call.response.on('close', () => {
      openCalls.delete(call)
      batch.remove(entry)
      if (call.response.writableFinished) counts.completedCount += 1
      else counts.cancelledCount += 1
    })
  }

  return {
    counts,
    handle,
    activeCount: batch.activeCount,
    queuedCount: batch.queuedCount,
    cancelAll () {
      for (const call of openCalls) call.request.socket.destroy()
    }
  }
}

function toError (statusCode: number, code: string, message: string): JsonResponse {
  return { statusCode, body: { error: { message, type: 'engine_error', code } } }
}
