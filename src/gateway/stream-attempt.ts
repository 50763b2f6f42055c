/** One attempt of a stream at one replica: its exchange, its events and its loads. */
import { createByteCollector } from '../shared/byte-collector.js'
import { createSseFramer, type FramedSseEvent } from '../protocol/sse-framer.js'
import { PacedResult } from '../coordination/pace/server-pace.js'
import type { BackendServer } from '../state/backend-server.js'
import type { Replica } from '../state/replica.js'
import { ExchangeFailureKind, type ResponseHead } from '../transport/backend-connection-pool.js'
import {
  buildBackendRequest, foreignResponseReason, isEndPlanned, isForeignResponse, isSuccess, logUnconfirmedEnd, noMemoryReason, readServerHead, unconfirmedEndReason,
  type Call, type CallDependencies
} from './call-context.js'
import { isEventId, isEventIdAfter } from './event-id.js'
import type { ServerResponseInfo } from './wire-codec.js'

/** Why an attempt at one replica ended before the end of the stream. The values are logged. */
export enum AttemptFailureKind {
  /** Known not to have been executed. */
  NotExecuted = 'notRun',
  /** The connection broke, or the response was unusable. */
  Lost = 'lost',
  /** The server responded with an error status. */
  ServerFailure = 'serverFailure'
}

export interface AttemptFailure {
  readonly kind: AttemptFailureKind
  readonly reason: string
  /** The response ended after a whole event, with the process of its server: nothing may be left of the stream. */
  readonly isEndUnconfirmed?: boolean
  /** The server's whole response with another status than that of a stream, if it can be forwarded. */
  readonly errorResponse?: { readonly head: ResponseHead, readonly body: Buffer } | undefined
}

/** Called in order: `onEvent` for each event, then either `onEnd` or `onFailure`; nothing after an abort. */
export interface StreamAttemptListener {
  /** A complete event that follows the call's last one. */
  onEvent (event: FramedSseEvent, head: ResponseHead): void
  /** The stream has ended after a complete event. */
  onEnd (): void
  onFailure (failure: AttemptFailure): void
}

export interface StreamAttemptOptions {
  readonly replica: Replica
  readonly leader: BackendServer
  /** ID of the last event that the client has been sent; it changes while other attempts of the call run. */
  getLastEventId (): string | undefined
  /** The last event may be the end of the stream, so that a response without any more events completes it. */
  mayBeComplete (): boolean
}

/** An attempt in progress. */
export interface StreamAttempt {
  readonly replica: Replica
  readonly leader: BackendServer
  hasEvents (): boolean
  /** Time since the last event, or since the start. A pause is no wait for the server: the time starts anew when it ends. */
  getWaitedMs (): number
  /** Closes the connection, for a reason that is logged; the listener is not called again. */
  abort (reason: string): void
  /** Stops reading until `resume`, since the client does not read. */
  pause (): void
  resume (): void
}

const successStatus = 200
/** An error response larger than this is not forwarded, and its connection is closed. Servers explain errors in a few hundred bytes. */
const maxErrorBodyBytes = 65_536
/** An event holds the text of a few tokens. The limit bounds the memory of each stream. */
const maxEventBytes = 262_144

/** Sends the call to the replica's leader; a stream that may be resumed goes on after the call's last event. */
export function startStreamAttempt (dependencies: CallDependencies, call: Call, options: StreamAttemptOptions, listener: StreamAttemptListener): StreamAttempt {
  const { timers, loads } = dependencies
  const { replica, leader, getLastEventId, mayBeComplete } = options
  const account = dependencies.responseBuffers.open({ owner: leader.id, evict: () => overrun(noMemoryReason) })
  const framer = createSseFramer({ maxEventBytes, account })
  const guarded = dependencies.promptGuard.begin(call.clientInfo.sharedPartIds, leader)
  const errorBody = createByteCollector(maxErrorBodyBytes, account)
  let head: ResponseHead | undefined
  let info: ServerResponseInfo | undefined
  let hasEvents = false
  const sentAtMs = timers.nowMs()
  let lastEventAtMs = sentAtMs
  let isCountedActive = false
  let isPaused = false
  let isEnded = false

  function end (result = PacedResult.Neutral): boolean {
    if (isEnded) return false
    isEnded = true
    paced?.end(result)
    account.close()
    exchange.abort()
    loads.endStream(replica.id)
    countActive(false)
    return true
  }

  function countActive (isActive: boolean): void {
    if (isActive === isCountedActive) return
    isCountedActive = isActive
    if (isActive) loads.beginActiveStream(replica.id)
    else loads.endActiveStream(replica.id)
  }

  function pause (): void {
    isPaused = true
    // Its silence would make the replica look quiet.
    countActive(false)
    paced?.pause()
    exchange.pause()
  }

  function resume (): void {
    if (!isPaused) return
    isPaused = false
    lastEventAtMs = timers.nowMs()
    paced?.resume()
    exchange.resume()
  }

  /** The server has finished with the request, or never got it. */
  function fail (failure: AttemptFailure): void {
    if (!end(failure.kind === AttemptFailureKind.NotExecuted ? PacedResult.Refused : PacedResult.Neutral)) return
    guarded.end()
    listener.onFailure(failure)
  }

  /** The connection ended within the response; the server may have ended with it. */
  function breakOff (reason: string): void {
    if (!end(PacedResult.Broken)) return
    guarded.recordLoss(head?.statusCode === successStatus)
    listener.onFailure({ kind: AttemptFailureKind.Lost, reason })
  }

  /** The response is unusable; the server may go on with it. */
  function lose (reason: string): void {
    if (!end()) return
    guarded.abandon(reason)
    listener.onFailure({ kind: AttemptFailureKind.Lost, reason })
  }

  /** The server sent more than a response may hold. */
  function overrun (reason: string): void {
    dependencies.overruns.record(leader, reason)
    lose(reason)
  }

  function handleHead (received: ResponseHead): void {
    if (isForeignResponse(dependencies, call, leader, received)) {
      lose(foreignResponseReason)
      return
    }
    head = received
    info = readServerHead(dependencies, leader, received, sentAtMs)
    if (received.statusCode !== successStatus) return
    if (!info.isStamped || info.isEncoded) lose('the response has no server stamp, or a content encoding that was not requested')
  }

  function handleData (chunk: Buffer): void {
    if (head?.statusCode !== successStatus) {
      handleErrorChunk(chunk)
      return
    }
    for (const event of framer.push(chunk)) {
      if (isEnded) return
      handleEvent(event, head)
    }
    if (framer.isTooLarge()) overrun(`an event is larger than ${maxEventBytes} bytes`)
  }

  function handleEvent (event: FramedSseEvent, responseHead: ResponseHead): void {
    const lastEventId = getLastEventId()
    if (event.id !== undefined && !isEventId(event.id)) {
      lose('the id of an event is not a whole number')
      return
    }
    // A client's own Last-Event-Id may be anything.
    if (event.id !== undefined && lastEventId !== undefined && isEventId(lastEventId) && !isEventIdAfter(event.id, lastEventId)) {
      lose(`event ${event.id} arrived after event ${lastEventId}`)
      return
    }
    if (!hasEvents) guarded.recordProgress()
    hasEvents = true
    if (!isPaused) countActive(true)
    lastEventAtMs = timers.nowMs()
    loads.recordEvent(replica.id)
    paced?.recordEvent()
    listener.onEvent(event, responseHead)
  }

  function handleEnd (): void {
    if (head === undefined || head.statusCode !== successStatus) {
      handleErrorResponse(true)
    } else if (framer.hasPartialEvent() || (!hasEvents && !mayBeComplete())) {
      breakOff('the stream ended with an incomplete event or without any')
    } else if (head.endsWithConnection && info !== undefined && mustConfirmEnd(info)) {
      void confirmEnd()
    } else if (end()) {
      guarded.complete()
      listener.onEnd()
    }
  }

  /** A planned end may be that of the last response. Where the stream may be resumed, another server tells: one that leaves may crash too. */
  function mustConfirmEnd (response: ServerResponseInfo): boolean {
    return call.route.isResumable || !hasEvents || !isEndPlanned(dependencies, leader, response)
  }

  /** The connection may have ended with the process of the server, between two events. */
  async function confirmEnd (): Promise<void> {
    const isComplete = await guarded.confirmEnd(true)
    if (!isComplete) logUnconfirmedEnd(dependencies, call, leader)
    if (!end()) return
    if (isComplete) listener.onEnd()
    else listener.onFailure({ kind: AttemptFailureKind.Lost, reason: unconfirmedEndReason, isEndUnconfirmed: true })
  }

  function handleErrorChunk (chunk: Buffer): void {
    if (!errorBody.append(chunk)) handleErrorResponse(false)
  }

  function handleErrorResponse (isWhole: boolean): void {
    if (head === undefined || info === undefined) {
      breakOff('no response')
    } else if (info.isNotExecuted) {
      // The response names a server at fault, so the replica may have lost a member.
      if (info.faultyServerId !== undefined) dependencies.reportStall(replica.id)
      fail({ kind: AttemptFailureKind.NotExecuted, reason: `the server refused the request with status ${head.statusCode}` })
    } else {
      const reason = `the server responded with status ${head.statusCode}${isWhole ? '' : ` and more than ${maxErrorBodyBytes} bytes`}`
      const canForward = isWhole && !info.isEncoded && (info.isStamped || !isSuccess(head.statusCode))
      fail({ kind: AttemptFailureKind.ServerFailure, reason, errorResponse: canForward ? { head, body: errorBody.toBuffer() } : undefined })
    }
  }

  loads.beginStream(replica.id)
  const paced = dependencies.pace?.beginAttempt(replica)
  dependencies.limits.countRequest(leader)
  const exchange = dependencies.connections.open(buildBackendRequest(dependencies, call, leader, { isDedicated: !call.route.isResumable, lastEventId: getLastEventId() }), {
    onHead: handleHead,
    onData: handleData,
    onEnd: handleEnd,
    onFailure ({ kind, reason, isOverrun }) {
      if (isOverrun === true) dependencies.overruns.record(leader, reason)
      if (kind === ExchangeFailureKind.NotSent) fail({ kind: AttemptFailureKind.NotExecuted, reason })
      else breakOff(reason)
    }
  })
  return {
    replica,
    leader,
    hasEvents: () => hasEvents,
    getWaitedMs: () => isPaused ? 0 : timers.nowMs() - lastEventAtMs,
    abort (reason) {
      if (end()) guarded.abandon(reason)
    },
    pause,
    resume
  }
}
