import fc from 'fast-check'

import { ModelRequestShape, type EngineChunk } from '../coordination/ports/engine-streams.js'
import { createModelStreams, type ModelStreamDependencies, type ModelStreams } from '../coordination/streams/model-streams.js'
import { StreamOutcomeKind, type ModelRequest, type StreamOutcome } from '../coordination/streams/stream-types.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import { responseTokenCount, createFakeEngineFleet, StreamFault, type FakeEngineFleet } from './fake-engine-fleet.js'

const groupIds = ['a', 'b', 'c']
const deadlineMs = 2000

/** One request and its response, as the client sees them. */
interface ClientView {
  readonly requestId: string
  readonly tokenIndexes: number[]
  readonly abort: AbortController
  lastChunkCount: number
  /** Undefined until the request has ended. */
  outcome: StreamOutcome | undefined
  outcomeAtMs: number
  readonly startedAtMs: number
}

interface StreamsSystem {
  readonly timers: VirtualTimerService
  readonly fleet: FakeEngineFleet
  readonly streams: ModelStreams
  readonly clients: ClientView[]
}

/** The oracle has no state, as every check uses the clients' views and the fleet's record. */
type StreamsOracle = Record<string, never>

/** Creates the implementation under test. Tests pass broken variants to show that the oracle detects them. */
export type CreateModelStreams = (dependencies: ModelStreamDependencies) => ModelStreams

abstract class StreamsCommand implements fc.AsyncCommand<StreamsOracle, StreamsSystem> {
  check (): boolean {
    return true
  }

  async run (_oracle: StreamsOracle, system: StreamsSystem): Promise<void> {
    await this.apply(system)
    checkInvariants(system)
  }

  protected abstract apply (system: StreamsSystem): Promise<void>
  abstract toString (): string
}

class StartRequest extends StreamsCommand {
  protected async apply (system: StreamsSystem): Promise<void> {
    const view: ClientView = {
      requestId: `request-${system.clients.length}`,
      tokenIndexes: [],
      abort: new AbortController(),
      lastChunkCount: 0,
      outcome: undefined,
      outcomeAtMs: 0,
      startedAtMs: system.timers.nowMs()
    }
    system.clients.push(view)
    const sink = {
      write (chunk: EngineChunk) {
        // The fake fleet puts the group id into `data`.
        assertHolds(system.fleet.isComplete(chunk.data), 'a client got a chunk from an incomplete group')
        assertHolds(chunk.requestId === view.requestId, 'a client got a chunk of another request')
        assertHolds(view.outcome === undefined, 'a client got a chunk after the outcome')
        if (chunk.tokenIndex !== undefined && chunk.tokenCount > 0) view.tokenIndexes.push(chunk.tokenIndex)
        if (chunk.isLast) view.lastChunkCount += 1
        return Promise.resolve()
      }
    }
    void system.streams.run(createRequest(view.requestId), sink, view.abort.signal).then(outcome => {
      view.outcome = outcome
      view.outcomeAtMs = system.timers.nowMs()
    })
    await system.timers.advanceAsync(0)
  }

  toString = () => 'start a request'
}

class QueueFault extends StreamsCommand {
  constructor (private readonly fault: StreamFault) { super() }

  protected async apply (system: StreamsSystem): Promise<void> {
    system.fleet.faults.push(this.fault)
  }

  toString = () => `queue stream fault: ${this.fault}`
}

class SetGroupCompleteness extends StreamsCommand {
  constructor (private readonly groupId: string, private readonly isComplete: boolean) { super() }

  protected async apply (system: StreamsSystem): Promise<void> {
    system.fleet.setComplete(this.groupId, this.isComplete)
    await system.timers.advanceAsync(0)
  }

  toString = () => `group ${this.groupId} ${this.isComplete ? 'becomes complete' : 'is lost'}`
}

class DisconnectClient extends StreamsCommand {
  constructor (private readonly position: number) { super() }

  protected async apply (system: StreamsSystem): Promise<void> {
    const waiting = system.clients.filter(view => view.outcome === undefined)
    waiting[this.position % Math.max(1, waiting.length)]?.abort.abort()
    await system.timers.advanceAsync(0)
  }

  toString = () => `disconnect waiting client ${this.position} (modulo their number)`
}

class Advance extends StreamsCommand {
  constructor (private readonly spanMs: number) { super() }

  protected async apply (system: StreamsSystem): Promise<void> {
    await system.timers.advanceAsync(this.spanMs)
  }

  toString = () => `advance ${this.spanMs} ms`
}

/** Fuzzes model streams. A test may pass a broken implementation. */
export function runStreamsFuzz (options: FuzzOptions, createStreams: CreateModelStreams = createModelStreams): Promise<FuzzReport> {
  return runCommandFuzz(createStreamsArea(createStreams), options)
}

function createStreamsArea (createStreams: CreateModelStreams): FuzzArea<StreamsOracle, StreamsSystem> {
  return {
    commands: [
      fc.constant(new StartRequest()),
      fc.constantFrom(...Object.values(StreamFault)).map(fault => new QueueFault(fault)),
      fc.tuple(fc.constantFrom(...groupIds), fc.boolean()).map(([groupId, isComplete]) => new SetGroupCompleteness(groupId, isComplete)),
      fc.nat(5).map(position => new DisconnectClient(position)),
      fc.integer({ min: 1, max: 200 }).map(spanMs => new Advance(spanMs))
    ],
    setup () {
      const timers = createVirtualTimerService()
      const fleet = createFakeEngineFleet(timers, groupIds)
      const streams = createStreams({ admission: fleet.admission, engineStreams: fleet.engineStreams, timers })
      return { model: {}, real: { timers, fleet, streams, clients: [] } }
    },
    async finish (_oracle, system) {
      await system.timers.advanceAsync(deadlineMs * 2)
      checkInvariants(system)
      checkAllEnded(system)
    }
  }
}

function checkInvariants (system: StreamsSystem): void {
  const { record } = system.fleet
  assertHolds(record.openedOnIncompleteGroupCount === 0, 'a request was sent to an incomplete group')
  assertHolds(record.repeatedReleaseCount === 0, 'a slot was released twice')
  for (const view of system.clients) {
    const isInOrder = view.tokenIndexes.every((tokenIndex, position) => tokenIndex === position)
    assertHolds(isInOrder, `tokens of ${view.requestId} arrived as ${view.tokenIndexes.join(',')}`)
    if (view.outcome !== undefined) checkOutcome(system, view, view.outcome)
  }
}

function checkOutcome (system: StreamsSystem, view: ClientView, outcome: StreamOutcome): void {
  const count = view.tokenIndexes.length
  if (outcome.kind === StreamOutcomeKind.Completed) {
    assertHolds(count === responseTokenCount, `${view.requestId} was completed with ${count} tokens`)
    assertHolds(view.lastChunkCount === 1, `${view.requestId} was completed with ${view.lastChunkCount} last chunks`)
  }
  if (outcome.kind === StreamOutcomeKind.NotServed) {
    const wasRun = system.fleet.record.openedRequestIds.has(view.requestId)
    assertHolds(outcome.mayHaveExecuted || !wasRun, `${view.requestId} was reported as not run although an engine took it`)
    assertHolds(outcome.retryAfterMs > 0, `${view.requestId} was refused without a retry delay`)
    assertHolds(count === 0, `${view.requestId} was reported as not served after ${count} tokens`)
  }
  if (outcome.kind === StreamOutcomeKind.Interrupted) {
    assertHolds(outcome.tokenCount === count, `${view.requestId} reported ${outcome.tokenCount} tokens and delivered ${count}`)
  }
  assertHolds(view.outcomeAtMs - view.startedAtMs <= deadlineMs + 1, `${view.requestId} ended after its deadline`)
}

function checkAllEnded (system: StreamsSystem): void {
  assertHolds(system.clients.every(view => view.outcome !== undefined), 'a request has no outcome after its deadline')
  assertHolds(system.fleet.record.unreleasedGrantCount === 0, 'a slot was never released')
}

function createRequest (requestId: string): ModelRequest {
  return {
    requestId,
    partner: 'vrany',
    team: 'foremen',
    deployment: 'drafting',
    shape: ModelRequestShape.Chat,
    body: {},
    prefixHash: '0',
    isInteractive: true,
    timeoutMs: deadlineMs
  }
}

function assertHolds (condition: boolean, message: string): void {
  if (!condition) throw new Error(message)
}
