/** One attempt of a plain call at one server. */
import { createByteCollector } from '../shared/byte-collector.js'
import type { BackendServer } from '../state/backend-server.js'
import { RouteKind } from '../state/serving-config.js'
import { ExchangeFailureKind, type ResponseHead } from '../transport/backend-connection-pool.js'
import { breakOffResponse } from './break-off-response.js'
import {
  buildBackendRequest, foreignResponseReason, getRemainingMs, isEndPlanned, isForeignResponse, isSuccess, logUnconfirmedEnd, noMemoryReason, promisesNotExecuted, readServerHead,
  unconfirmedEndReason, type Call, type CallDependencies
} from './call-context.js'
import type { ServerResponseInfo } from './wire-codec.js'

export enum PlainResultKind {
  /** The server sent a response that can be forwarded, possibly with an error status. */
  Responded = 'answered',
  /** The request is known not to have been executed. */
  NotExecuted = 'notRun',
  /** No usable response arrived; the request may have been executed. */
  Lost = 'lost',
  /** No response arrived until the call's deadline. */
  TimedOut = 'timedOut',
  ClientDisconnected = 'left',
  /** Another attempt of the call got the response. */
  Superseded = 'superseded'
}

/** How an attempt ended. */
export type PlainResult =
  | { readonly kind: PlainResultKind.Responded, readonly head: ResponseHead, readonly body: Buffer, readonly rest?: ResponseRest }
  | { readonly kind: Exclude<PlainResultKind, PlainResultKind.Responded>, readonly reason: string }

/** The rest of a large response, which is forwarded as it arrives. */
export interface ResponseRest {
  /** To be called once. Either `onEnd` or `onFailure` is called last, and nothing after an abort. */
  forward (listener: RestListener): void
  pause (): void
  resume (): void
  /** Closes the connection to the server. */
  abort (reason: string): void
}

export interface RestListener {
  onData (chunk: Buffer): void
  onEnd (): void
  onFailure (reason: string): void
}

/** An attempt in progress. */
export interface PlainAttempt {
  readonly server: BackendServer
  /** Resolves when the attempt has ended; never rejects. */
  readonly result: Promise<PlainResult>
  /** Counts the silence so far against the server, once. The attempt goes on. */
  recordSilence (): void
  /** Ends the attempt, since another one got the response. */
  supersede (): void
}

/** A larger response breaks off. */
const maxResponseBytes = 8 * 1024 * 1024
/** A response is forwarded as it arrives once it is larger, when its server can no longer be replaced by another one. Most are far smaller. */
const maxCollectedBytes = 65_536
const serverErrorStatus = 500

export function isServerError (statusCode: number): boolean {
  return statusCode >= serverErrorStatus
}

/** Sends the call to a server. The attempt ends with a response, a failure, the call's deadline, or when its client disconnects. */
export function startPlainAttempt (dependencies: CallDependencies, call: Call, server: BackendServer): PlainAttempt {
  const { timers, scores } = dependencies
  const sentAtMs = timers.nowMs()
  const guarded = dependencies.promptGuard.begin(call.clientInfo.sharedPartIds, server)
  const account = dependencies.responseBuffers.open({ owner: server.id, evict: giveUp })
  const collector = createByteCollector(maxResponseBytes, account)
  let size = 0
  /** Set once the response is forwarded as it arrives. */
  let isForwarding = false
  let restListener: RestListener | undefined
  let earlyFailure: string | undefined
  let head: ResponseHead | undefined
  let info: ServerResponseInfo | undefined
  let isSettled = false
  let isSilent = false
  let hasConnectionEnded = false
  let resolveResult: (result: PlainResult) => void = () => {}
  const result = new Promise<PlainResult>(resolve => { resolveResult = resolve })

  function recordScore (settled: PlainResult): void {
    if (isSilent) {
      scores.endRecordedRequest(server.id)
    } else if (settled.kind === PlainResultKind.ClientDisconnected || settled.kind === PlainResultKind.Superseded) {
      scores.endRequest(server.id, undefined, false)
    } else {
      const isFailure = settled.kind !== PlainResultKind.Responded || isServerError(settled.head.statusCode)
      scores.endRequest(server.id, settled.kind === PlainResultKind.NotExecuted ? undefined : timers.nowMs() - sentAtMs, isFailure)
    }
  }

  /** `isAbandoned` when the server may still work on the request. */
  function settle (settled: PlainResult, isAbandoned = false): void {
    if (isSettled) return
    isSettled = true
    timeout.cancel()
    call.response.off('close', onClientDisconnect)
    if (isForwarding || settled.kind !== PlainResultKind.Responded) account.close()
    else call.response.once('close', account.close)
    recordScore(settled)
    if (settled.kind === PlainResultKind.Responded && isSuccess(settled.head.statusCode)) guarded.complete()
    else if (hasConnectionEnded) guarded.recordLoss(head !== undefined)
    else if (isAbandoned && 'reason' in settled) guarded.abandon(settled.reason)
    else guarded.end()
    if (isForwarding) endRest(settled)
    else resolveResult(settled)
  }

  function endRest (settled: PlainResult): void {
    if (settled.kind === PlainResultKind.Responded) restListener?.onEnd()
    else if (restListener === undefined) earlyFailure = settled.reason
    else restListener.onFailure(settled.reason)
  }

  /** Ends the attempt from this side. */
  function abandon (kind: Exclude<PlainResultKind, PlainResultKind.Responded>, reason: string): void {
    if (isSettled) return
    exchange.abort()
    settle({ kind, reason }, true)
  }

  /** Gives up the response, also one that the client does not take. */
  function giveUp (): void {
    if (isSettled) breakOffResponse(call.response)
    else overrun(noMemoryReason)
  }

  /** The server sent more than a response may hold. */
  function overrun (reason: string): void {
    dependencies.overruns.record(server, reason)
    abandon(PlainResultKind.Lost, reason)
  }

  /** Hands out a large response, whose end is not known yet. */
  function forwardRest (responded: Extract<PlainResult, { readonly kind: PlainResultKind.Responded }>): void {
    exchange.pause()
    isForwarding = true
    const rest: ResponseRest = {
      forward (listener) {
        restListener = listener
        if (earlyFailure === undefined) exchange.resume()
        else listener.onFailure(earlyFailure)
      },
      pause: () => exchange.pause(),
      resume: () => exchange.resume(),
      abort (reason) {
        restListener = undefined
        abandon(PlainResultKind.ClientDisconnected, reason)
      }
    }
    resolveResult({ ...responded, rest })
  }

  /** Keeps a chunk, or forwards it if the response is large. */
  function handleData (chunk: Buffer): void {
    size += chunk.length
    if (size > maxResponseBytes) {
      overrun(`the response is larger than ${maxResponseBytes} bytes`)
    } else if (restListener !== undefined) {
      restListener.onData(chunk)
    } else if (!collector.append(chunk)) {
      overrun(noMemoryReason)
    } else if (size > maxCollectedBytes && !isForwarding && head !== undefined && info !== undefined) {
      const classified = classifyResponse(head, info, collector.toBuffer())
      if (classified.kind === PlainResultKind.Responded && !isServerError(head.statusCode)) forwardRest(classified)
    }
  }

  /** The connection may have ended with the process of the server, within the body. */
  async function confirmEnd (responded: PlainResult, { statusCode }: ResponseHead): Promise<void> {
    const isComplete = await guarded.confirmEnd(isSuccess(statusCode))
    if (!isComplete) logUnconfirmedEnd(dependencies, call, server)
    settle(isComplete ? responded : { kind: PlainResultKind.Lost, reason: unconfirmedEndReason })
  }

  function onClientDisconnect (): void {
    // A request that must not be repeated is left to finish at the server.
    if (call.route.kind === RouteKind.Safe) abandon(PlainResultKind.ClientDisconnected, 'the client disconnected')
  }

  const timeoutMs = getRemainingMs(dependencies, call)
  const timeout = timers.subscribeOnce(timeoutMs, () => abandon(PlainResultKind.TimedOut, `no response within ${Math.round(timeoutMs)} ms`))
  call.response.on('close', onClientDisconnect)
  scores.beginRequest(server.id)
  dependencies.limits.countRequest(server)
  const isDedicated = call.route.kind !== RouteKind.Safe
  const exchange = dependencies.connections.open(buildBackendRequest(dependencies, call, server, { isDedicated, lastEventId: call.clientInfo.lastEventId }), {
    onHead (received) {
      if (isForeignResponse(dependencies, call, server, received)) {
        // Closes the connection, on which the response to this request may still arrive.
        abandon(PlainResultKind.Lost, foreignResponseReason)
        return
      }
      head = received
      info = readServerHead(dependencies, server, received, sentAtMs)
    },
    onData: handleData,
    onEnd () {
      if (head === undefined || info === undefined) {
        settle({ kind: PlainResultKind.Lost, reason: 'no response' })
        return
      }
      const classified = classifyResponse(head, info, collector.toBuffer())
      if (classified.kind === PlainResultKind.Responded && head.endsWithConnection && !isEndPlanned(dependencies, server, info)) void confirmEnd(classified, head)
      else settle(classified)
    },
    onFailure ({ kind, reason, isOverrun }) {
      if (isOverrun === true) dependencies.overruns.record(server, reason)
      hasConnectionEnded = kind === ExchangeFailureKind.Lost
      settle({ kind: kind === ExchangeFailureKind.NotSent ? PlainResultKind.NotExecuted : PlainResultKind.Lost, reason })
    }
  })
  return {
    server,
    result,
    recordSilence () {
      if (isSilent || isSettled) return
      isSilent = true
      scores.recordOutcome(server.id, timers.nowMs() - sentAtMs, true)
    },
    supersede: () => abandon(PlainResultKind.Superseded, 'another server responded')
  }
}

/** Decides whether a response to this request can be forwarded: it must be the server's own. */
function classifyResponse (head: ResponseHead, response: ServerResponseInfo, body: Buffer): PlainResult {
  if (response.isNotExecuted) return { kind: PlainResultKind.NotExecuted, reason: `the server refused the request with status ${head.statusCode}` }
  if (response.isEncoded) return { kind: PlainResultKind.Lost, reason: 'the response has a content encoding that was not requested' }
  if (isSuccess(head.statusCode) && !response.isStamped) return { kind: PlainResultKind.Lost, reason: 'the response has no server stamp' }
  if (promisesNotExecuted(head.statusCode)) return { kind: PlainResultKind.Lost, reason: `the server responded with status ${head.statusCode} but did not state whether it executed the request` }
  return { kind: PlainResultKind.Responded, head, body }
}
