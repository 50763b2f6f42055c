import {
  EngineStreamErrorKind,
  type EngineChunk,
  type EngineStreamError,
  type EngineStreamRequest,
  type EngineStreams
} from '../coordination/ports/engine-streams.js'
import type { GrantResult, StreamAdmission } from '../coordination/streams/stream-types.js'
import { delay, type TimerService } from '../shared/timer-service.js'

/** What goes wrong with the next stream that an engine opens. */
export enum StreamFault {
  None = 'none',
  /** Refuses the connection. */
  NotSent = 'notSent',
  Busy = 'busy',
  WrongGroup = 'wrongGroup',
  /** Closes the connection in the middle. */
  BreakInMiddle = 'breakInMiddle',
  /** Ends without the last chunk. */
  EndEarly = 'endEarly',
  /** Sends a chunk of another request. */
  Cross = 'cross',
  /** Sends some chunks twice. */
  Repeat = 'repeat',
  /** Leaves one chunk out. */
  Skip = 'skip',
  /** Begins at the first token although asked to resume. */
  IgnoreResume = 'ignoreResume'
}

export const answerTokenCount = 12
const tokenIntervalMs = 10

/** What the fake fleet saw, for the oracle. */
export interface FleetRecord {
  /** Openings while the group lacked a member, by the fleet's own knowledge. */
  handOverWithoutProofCount: number
  openedRequestIds: Set<string>
  unreleasedGrantCount: number
  releasedTwiceCount: number
}

/** Groups that open streams with faults, and the gate in front of them. */
export interface FakeFleet {
  readonly engineStreams: EngineStreams
  readonly gate: StreamAdmission
  readonly record: FleetRecord
  readonly faults: StreamFault[]
  isComplete (groupId: string): boolean
  setComplete (groupId: string, isComplete: boolean): void
}

/** Creates a fleet of complete groups. */
export function createFakeFleet (timers: TimerService, groupIds: readonly string[]): FakeFleet {
  const completeIds = new Set(groupIds)
  const listeners = new Map<string, Set<(reason: string) => void>>()
  const faults: StreamFault[] = []
  const record: FleetRecord = { handOverWithoutProofCount: 0, openedRequestIds: new Set(), unreleasedGrantCount: 0, releasedTwiceCount: 0 }

  async function * open (address: string, request: EngineStreamRequest, signal: AbortSignal): AsyncGenerator<EngineChunk, EngineStreamError | undefined> {
    const fault = faults.shift() ?? StreamFault.None
    if (!completeIds.has(address)) record.handOverWithoutProofCount += 1
    const refusal = toRefusal(fault)
    if (refusal !== undefined) return refusal
    record.openedRequestIds.add(request.requestId)
    const firstIndex = fault === StreamFault.IgnoreResume ? 0 : request.resumeFromToken
    const middle = Math.floor((firstIndex + answerTokenCount) / 2)
    for (let index = firstIndex; index < answerTokenCount; index += 1) {
      await delay(timers, tokenIntervalMs)
      if (signal.aborted) return { kind: EngineStreamErrorKind.Broken, reason: 'aborted' }
      if (index === middle) {
        if (fault === StreamFault.BreakInMiddle) return { kind: EngineStreamErrorKind.Broken, reason: 'connection reset' }
        if (fault === StreamFault.EndEarly) return undefined
        if (fault === StreamFault.Cross) yield createChunk(address, 'other', index)
        if (fault === StreamFault.Skip) continue
      }
      yield createChunk(address, request.requestId, index)
      if (fault === StreamFault.Repeat) yield createChunk(address, request.requestId, index)
    }
    yield { data: address, requestId: request.requestId, tokenIndex: answerTokenCount, tokenCount: 0, isLast: true, isUsage: false }
    return undefined
  }

  function grant (groupId: string): GrantResult {
    let isReleased = false
    record.unreleasedGrantCount += 1
    return {
      isGranted: true,
      grant: {
        groupId,
        epoch: 1,
        leaderAddress: groupId,
        priority: 0,
        release () {
          if (isReleased) record.releasedTwiceCount += 1
          else record.unreleasedGrantCount -= 1
          isReleased = true
        }
      }
    }
  }

  return {
    engineStreams: { open },
    record,
    faults,
    gate: {
      async acquire (_request, context) {
        const groupId = groupIds.find(id => completeIds.has(id) && !context.failedGroupIds.includes(id))
        if (groupId === undefined) return { isGranted: false, reason: 'no group', isOverload: false, retryAfterMs: 100 }
        const result = grant(groupId)
        await delay(timers, 1)
        return result
      },
      canRouteTo: groupId => completeIds.has(groupId),
      onGroupLost (groupId, listener) {
        const ofGroup = listeners.get(groupId) ?? new Set()
        listeners.set(groupId, ofGroup.add(listener))
        return () => ofGroup.delete(listener)
      }
    },
    isComplete: groupId => completeIds.has(groupId),
    setComplete (groupId, isComplete) {
      if (isComplete) completeIds.add(groupId)
      else completeIds.delete(groupId)
      if (isComplete) return
      for (const listener of [...listeners.get(groupId) ?? []]) listener(`group "${groupId}" was lost`)
    }
  }
}

/** The data names the group, so that the oracle can tell where a chunk came from. */
function createChunk (groupId: string, requestId: string, tokenIndex: number): EngineChunk {
  return { data: groupId, requestId, tokenIndex, tokenCount: 1, isLast: false, isUsage: false }
}

function toRefusal (fault: StreamFault): EngineStreamError | undefined {
  switch (fault) {
    case StreamFault.NotSent:
      return { kind: EngineStreamErrorKind.NotSent, reason: 'connection refused' }
    case StreamFault.Busy:
      return { kind: EngineStreamErrorKind.Busy, reason: 'slots are taken' }
    case StreamFault.WrongGroup:
      return { kind: EngineStreamErrorKind.WrongGroup, reason: 'not the leader' }
    default:
      return undefined
  }
}
