import { expect } from 'chai'

import type { EngineState } from '../coordination/ports/engine-control.js'
import { getExpectedText, openClientStream, type ClientStream } from '../testing/api-client.js'
import { pollUntil } from '../testing/child-program.js'
import type { FleetEngine, ProcessFleet } from '../testing/process-fleet.js'
import { useSharedFleet } from './shared-fleet.js'

const waitTimeoutMs = 30_000
const streamTokenCount = 150
const streamsPerEntry = 2

describe('streams of a group', () => {
  let fleet: ProcessFleet
  let faultyEngine: FleetEngine | undefined

  beforeEach(async () => {
    fleet = await useSharedFleet()
  })

  afterEach(async () => {
    await faultyEngine?.restart()
    faultyEngine = undefined
  })

  function openStreams (): ClientStream[] {
    return fleet.entries.flatMap(entry =>
      Array.from({ length: streamsPerEntry }, (_, index) => openClientStream(entry.url, `job sheet ${index}`, streamTokenCount)))
  }

  /** Waits until all streams deliver tokens and returns the engine of this rank in a group that serves at least one. */
  async function findBusyMember (streams: readonly ClientStream[], rank: number): Promise<FleetEngine> {
    await pollUntil('all streams deliver tokens', waitTimeoutMs, () => streams.every(stream => stream.tokenCount() > 5))
    return await pollUntil('a group reports an active stream', waitTimeoutMs, async () => {
      const states = await Promise.all(fleet.engines.map(fleet.fetchEngineState))
      const busy = states.find((state): state is EngineState => state !== undefined && state.activeStreamCount > 0)
      return fleet.engines.find(engine => engine.vmId === busy?.memberVmIds[rank])
    })
  }

  async function expectCompleteStreams (streams: readonly ClientStream[]): Promise<void> {
    const results = await Promise.all(streams.map(stream => stream.finished))
    const indexes = Array.from({ length: streamTokenCount }, (_, index) => index)
    results.forEach((result, index) => {
      expect(result.errorMessage).to.equal(undefined)
      expect(result.isDone).to.equal(true)
      expect(result.tokenIndexes).to.deep.equal(indexes)
      expect(result.text).to.equal(getExpectedText(`job sheet ${index % streamsPerEntry}`, streamTokenCount))
    })
  }

  async function expectNothingServedWithMissingMembers (): Promise<void> {
    const counts = await Promise.all(fleet.engines.map(fleet.fetchEngineCounts))
    expect(counts.map(count => count?.servedWhileMemberMissingCount ?? 0)).to.deep.equal(fleet.engines.map(() => 0))
  }

  for (const [role, rank] of [['leader', 0], ['member', 1]] as const) {
    it(`move to another group when its ${role} is killed`, async () => {
      const streams = openStreams()
      const engine = await findBusyMember(streams, rank)
      faultyEngine = engine
      engine.program.signal('SIGKILL')
      await expectCompleteStreams(streams)
      await expectNothingServedWithMissingMembers()
    })

    it(`move to another group when its ${role} is paused, and all groups serve after it resumes`, async () => {
      const streams = openStreams()
      const engine = await findBusyMember(streams, rank)
      faultyEngine = engine
      engine.program.signal('SIGSTOP')
      await expectCompleteStreams(streams)
      engine.program.signal('SIGCONT')
      await fleet.waitUntilServing()
      await expectNothingServedWithMissingMembers()
    })
  }
})
