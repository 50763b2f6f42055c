import {
  EngineStreamErrorKind,
  type EngineChunk,
  type EngineStreamError,
  type EngineStreamRequest,
  type EngineStreams
} from '../coordination/ports/engine-streams.js'
import type { GrantResult, StreamAdmission } from '../coordination/streams/stream-types.js'
import { delay, type TimerService } from '../shared/timer-service.js'

/** Faults that the fake fleet can apply to a stream. */
export enum StreamFault {
  None = 'none',
  /** The connection is refused. */
  NotSent = 'notSent',
  /** The engine refuses the request because its slots are taken. */
  Busy = 'busy',
  /** The engine refuses the request because it is not the group's leader. */
  WrongGroup = 'wrongGroup',
  /** The connection breaks in the middle of the stream. */
  BreakInMiddle = 'breakInMiddle',
  /** The stream ends in the middle without a last chunk. */
  EndEarly = 'endEarly',
  /** The stream includes a chunk of another request. */
  ForeignChunk = 'cross',
  /** Each chunk is sent twice. */
  Repeat = 'repeat',
  /** One chunk is missing. */
  Skip = 'skip',
  /** The stream starts at the first token although the request resumes at a later one. */
  IgnoreResume = 'ignoreResume'
}

/** Number of tokens of every complete response. */
export const responseTokenCount = 12
const tokenIntervalMs = 10

/** What the fake fleet observed, for the oracle. */
export interface FleetRecord {
  /** Number of streams opened on a group that was incomplete. */
  openedOnIncompleteGroupCount: number
  openedRequestIds: Set<string>
  unreleasedGrantCount: number
  repeatedReleaseCount: number
}

/** A fake set of groups that serve streams with faults, with an admission that picks one of them. */
export interface FakeEngineFleet {
  readonly engineStreams: EngineStreams
  readonly admission: StreamAdmission
  readonly record: FleetRecord
  /** Queue of faults; each opened stream takes the first one. */
  readonly faults: StreamFault[]
  isComplete (groupId: string): boolean
  setComplete (groupId: string, isComplete: boolean): void
}

/** Creates a fleet in which every group is complete. */
export function createFakeEngineFleet (timers: TimerService, groupIds: readonly string[]): FakeEngineFleet {
  const completeIds = new Set(groupIds)
  const listeners = new Map<string, Set<(reason: string) => void>>()
  const faults: StreamFault[] = []
  const record: FleetRecord = { openedOnIncompleteGroupCount: 0, openedRequestIds: new Set(), unreleasedGrantCount: 0, repeatedReleaseCount: 0 }

  async function * open (address: string, request: EngineStreamRequest, signal: AbortSignal): AsyncGenerator<EngineChunk, EngineStreamError | undefined> {
    const fault = faults.shift() ?? StreamFault.None
    if (!completeIds.has(address)) record.openedOnIncompleteGroupCount += 1
    const refusal = toRefusal(fault)
    if (refusal !== undefined) return refusal
    record.openedRequestIds.add(request.requestId)
    const firstIndex = fault === StreamFault.IgnoreResume ? 0 : request.resumeFromToken
    const middle = Math.floor((firstIndex + responseTokenCount) / 2)
    for (let index = firstIndex; index < responseTokenCount; index += 1) {
      await delay(timers, tokenIntervalMs)
      if (signal.aborted) return { kind: EngineStreamErrorKind.Broken, reason: 'aborted' }
      if (index === middle) {
        if (fault === StreamFault.BreakInMiddle) return { kind: EngineStreamErrorKind.Broken, reason: 'connection reset' }
        if (fault === StreamFault.EndEarly) return undefined
        if (fault === StreamFault.ForeignChunk) yield createChunk(address, 'other', index)
        if (fault === StreamFault.Skip) continue
      }
      yield createChunk(address, request.requestId, index)
      if (fault === StreamFault.Repeat) yield createChunk(address, request.requestId, index)
    }
    yield { data: address, requestId: request.requestId, tokenIndex: responseTokenCount, tokenCount: 0, isLast: true, isUsage: false }
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
        // In the fake fleet, the leader's address is the group id.
        leaderAddress: groupId,
        priority: 0,
        release () {
          if (isReleased) record.repeatedReleaseCount += 1
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
    admission: {
      async acquire (_request, context) {
        const groupId = groupIds.find(id => completeIds.has(id) && !context.failedGroupIds.includes(id))
        if (groupId === undefined) return { isGranted: false, reason: 'no group', isOverload: false, retryAfterMs: 100 }
        const result = grant(groupId)
        await delay(timers, 1)
        return result
      },
      canRouteTo: groupId => completeIds.has(groupId),
      onGroupLost (groupId, listener) {
        const groupListeners = listeners.get(groupId) ?? new Set()
        listeners.set(groupId, groupListeners.add(listener))
        return () => groupListeners.delete(listener)
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

/** Creates a chunk. Its data is the group id, by which the oracle knows where it came from. */
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
