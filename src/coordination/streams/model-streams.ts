import { EngineStreamErrorKind, type EngineChunk, type EngineStreamError, type EngineStreams } from '../ports/engine-streams.js'
import type { TimerService } from '../../shared/timer-service.js'
import {
  ReleaseReason,
  StreamOutcomeKind,
  type ChunkSink,
  type ModelRequest,
  type StreamAdmission,
  type StreamGrant,
  type StreamOutcome
} from './stream-types.js'

/** Attempts per request, the first included. */
const maxAttemptCount = 4
/** Sent to clients as the retry time when every attempt failed. */
const retryAfterLossMs = 1000

/** Runs model requests on groups and resumes them on another group when one is lost. */
export interface ModelStreams {
  /** Runs one request to its outcome. `signal` aborts when the client disconnects. */
  run (request: ModelRequest, sink: ChunkSink, signal: AbortSignal): Promise<StreamOutcome>
}

export interface ModelStreamDependencies {
  readonly admission: StreamAdmission
  readonly engineStreams: EngineStreams
  readonly timers: TimerService
}

/** State shared by the attempts of one request. */
interface StreamProgress {
  readonly request: ModelRequest
  readonly sink: ChunkSink
  readonly deadlineAtMs: number
  /** Groups on which an attempt of this request failed. */
  readonly failedGroupIds: string[]
  deliveredTokenCount: number
  hasDeliveredChunk: boolean
  /** Whether an engine may have started to run the request. */
  mayHaveExecuted: boolean
}

enum AttemptEnd {
  Completed = 'completed',
  Failed = 'failed',
  BadRequest = 'badRequest',
  Aborted = 'aborted'
}

interface AttemptResult {
  readonly end: AttemptEnd
  readonly reason: string
  readonly isEngineFull?: boolean
}

const completed: AttemptResult = { end: AttemptEnd.Completed, reason: 'completed' }

/** Creates the runner of model requests. It delivers each token to the sink once and in order. */
export function createModelStreams ({ admission, engineStreams, timers }: ModelStreamDependencies): ModelStreams {
  async function run (request: ModelRequest, sink: ChunkSink, clientSignal: AbortSignal): Promise<StreamOutcome> {
    const progress: StreamProgress = {
      request,
      sink,
      deadlineAtMs: timers.nowMs() + request.timeoutMs,
      failedGroupIds: [],
      deliveredTokenCount: 0,
      hasDeliveredChunk: false,
      mayHaveExecuted: false
    }
    const abort = new AbortController()
    const stopOnClientAbort = () => abort.abort()
    clientSignal.addEventListener('abort', stopOnClientAbort, { once: true })
    const deadline = timers.subscribeOnce(request.timeoutMs, () => abort.abort())
    try {
      return await runAttempts(progress, abort.signal, clientSignal)
    } finally {
      deadline.cancel()
      clientSignal.removeEventListener('abort', stopOnClientAbort)
    }
  }

  async function runAttempts (progress: StreamProgress, signal: AbortSignal, clientSignal: AbortSignal): Promise<StreamOutcome> {
    let reason = ''
    for (let attempt = 0; attempt < maxAttemptCount; attempt += 1) {
      const acquired = await admission.acquire(progress.request, {
        remainingMs: progress.deadlineAtMs - timers.nowMs(),
        failedGroupIds: progress.failedGroupIds,
        isResumption: progress.deliveredTokenCount > 0,
        signal
      })
      if (signal.aborted) {
        if (acquired.isGranted) acquired.grant.release(ReleaseReason.Cancelled)
        return toAborted(progress, clientSignal)
      }
      if (!acquired.isGranted) return toFailure(progress, attempt === 0 ? acquired.reason : `${reason}; ${acquired.reason}`, acquired)
      const result = await runOnGroup(progress, acquired.grant, signal)
      if (result.end === AttemptEnd.Completed) {
        return { kind: StreamOutcomeKind.Completed, tokenCount: progress.deliveredTokenCount, resumeCount: attempt }
      }
      if (result.end === AttemptEnd.BadRequest) return { kind: StreamOutcomeKind.BadRequest, reason: result.reason }
      if (signal.aborted) return toAborted(progress, clientSignal)
      progress.failedGroupIds.push(acquired.grant.groupId)
      reason = result.reason
    }
    return toFailure(progress, reason, { retryAfterMs: retryAfterLossMs, isOverload: false })
  }

  async function runOnGroup (progress: StreamProgress, grant: StreamGrant, signal: AbortSignal): Promise<AttemptResult> {
    const attemptAbort = new AbortController()
    const stop = () => attemptAbort.abort()
    signal.addEventListener('abort', stop, { once: true })
    let lossReason: string | undefined
    const unsubscribe = admission.onGroupLost(grant.groupId, reason => {
      lossReason = reason
      attemptAbort.abort()
    })
    let result: AttemptResult = { end: AttemptEnd.Aborted, reason: 'aborted' }
    try {
      result = await forwardChunks(progress, grant, attemptAbort.signal)
    } finally {
      unsubscribe()
      signal.removeEventListener('abort', stop)
      grant.release(toReleaseReason(result, signal))
    }
    if (lossReason !== undefined && result.end !== AttemptEnd.Completed) return { end: AttemptEnd.Failed, reason: lossReason }
    return result
  }

  async function forwardChunks (progress: StreamProgress, grant: StreamGrant, signal: AbortSignal): Promise<AttemptResult> {
    if (!admission.canRouteTo(grant.groupId, grant.epoch)) {
      return { end: AttemptEnd.Failed, reason: `group "${grant.groupId}" may not get requests: its evidence, its epoch or the configuration is out of date` }
    }
    const { request } = progress
    const chunks = engineStreams.open(grant.leaderAddress, {
      shape: request.shape,
      groupId: grant.groupId,
      epoch: grant.epoch,
      requestId: request.requestId,
      body: request.body,
      priority: grant.priority,
      resumeFromToken: progress.deliveredTokenCount,
      ...(request.traceParent === undefined ? {} : { traceParent: request.traceParent })
    }, signal)
    let hasLastChunk = false
    for (;;) {
      const next = await chunks.next()
      if (next.done === true) return hasLastChunk ? completed : toAttemptResult(progress, next.value)
      const chunk = next.value
      if (signal.aborted && !hasLastChunk) {
        await chunks.return(undefined)
        return { end: AttemptEnd.Aborted, reason: 'aborted' }
      }
      progress.mayHaveExecuted = true
      const defect = findDefect(progress, chunk)
      if (defect !== undefined) {
        await chunks.return(undefined)
        return { end: AttemptEnd.Failed, reason: `group "${grant.groupId}" ${defect}` }
      }
      if (!isAlreadyDelivered(progress, chunk)) {
        progress.hasDeliveredChunk = true
        if (chunk.tokenIndex !== undefined) progress.deliveredTokenCount = chunk.tokenIndex + chunk.tokenCount
        await progress.sink.write(chunk)
      }
      hasLastChunk ||= chunk.isLast
    }
  }

  function toAborted (progress: StreamProgress, clientSignal: AbortSignal): StreamOutcome {
    const kind = clientSignal.aborted ? StreamOutcomeKind.Cancelled : StreamOutcomeKind.DeadlineExceeded
    return { kind, tokenCount: progress.deliveredTokenCount }
  }

  return { run }
}

/** Returns what is wrong with a chunk of a response; undefined when it continues the delivered tokens or lies within them. */
function findDefect (progress: StreamProgress, chunk: EngineChunk): string | undefined {
  if (chunk.requestId !== progress.request.requestId) return `sent a chunk of request "${chunk.requestId}"`
  if (chunk.tokenIndex === undefined) return undefined
  if (chunk.tokenIndex > progress.deliveredTokenCount) return `sent token index ${chunk.tokenIndex} ahead of the expected one`
  const isOverlap = chunk.tokenIndex < progress.deliveredTokenCount &&
    chunk.tokenIndex + chunk.tokenCount > progress.deliveredTokenCount
  return isOverlap ? `sent a chunk at token index ${chunk.tokenIndex} that partly overlaps delivered tokens` : undefined
}

/** Whether a chunk is already delivered. A chunk without tokens, such as the one with the role, is delivered only as the first or the last. */
function isAlreadyDelivered (progress: StreamProgress, chunk: EngineChunk): boolean {
  if (chunk.isLast || chunk.isUsage) return false
  if (chunk.tokenIndex !== undefined) return chunk.tokenIndex < progress.deliveredTokenCount
  return progress.hasDeliveredChunk
}

function toReleaseReason (result: AttemptResult, signal: AbortSignal): ReleaseReason {
  if (result.end === AttemptEnd.Completed) return ReleaseReason.Completed
  if (result.isEngineFull === true) return ReleaseReason.EngineFull
  return signal.aborted ? ReleaseReason.Cancelled : ReleaseReason.Failed
}

function toAttemptResult (progress: StreamProgress, error: EngineStreamError | undefined): AttemptResult {
  if (error === undefined) return { end: AttemptEnd.Failed, reason: 'the response ended without its last chunk' }
  if (error.kind === EngineStreamErrorKind.Broken) progress.mayHaveExecuted = true
  const end = error.kind === EngineStreamErrorKind.BadRequest ? AttemptEnd.BadRequest : AttemptEnd.Failed
  return { end, reason: error.reason, isEngineFull: error.kind === EngineStreamErrorKind.Busy }
}

interface RetryAdvice {
  readonly retryAfterMs: number
  readonly isOverload: boolean
}

function toFailure (progress: StreamProgress, reason: string, { retryAfterMs, isOverload }: RetryAdvice): StreamOutcome {
  if (progress.deliveredTokenCount > 0) {
    return { kind: StreamOutcomeKind.Interrupted, reason, retryAfterMs, tokenCount: progress.deliveredTokenCount }
  }
  return { kind: StreamOutcomeKind.NotServed, reason, retryAfterMs, mayHaveExecuted: progress.mayHaveExecuted, isOverload }
}
