import { expect } from 'chai'

import type { EngineState } from '../coordination/ports/engine-control.js'
import { getExpectedText, openClientStream, type ClientStream } from '../testing/api-client.js'
import { pollUntil } from '../testing/child-program.js'
import type { FleetEngine, ProcessFleet } from '../testing/process-fleet.js'
import { useSharedFleet } from './shared-fleet.js'

const boundMs = 30_000
const streamTokenCount = 150
const streamsPerEntry = 2

describe('faults of group members', () => {
  let fleet: ProcessFleet
  let disturbed: FleetEngine | undefined

  beforeEach(async () => {
    fleet = await useSharedFleet()
  })

  afterEach(async () => {
    await disturbed?.restart()
    disturbed = undefined
  })

  function openStreams (): ClientStream[] {
    return fleet.entries.flatMap(entry =>
      Array.from({ length: streamsPerEntry }, (_, index) => openClientStream(entry.url, `job sheet ${index}`, streamTokenCount)))
  }

  /** Waits until all streams run and returns the engine with the given rank in a group that serves some. */
  async function findBusyMember (streams: readonly ClientStream[], rank: number): Promise<FleetEngine> {
    await pollUntil('all streams run', boundMs, () => streams.every(stream => stream.tokenCount() > 5))
    return await pollUntil('a group reports a stream', boundMs, async () => {
      const states = await Promise.all(fleet.engines.map(fleet.fetchEngineState))
      const busy = states.find((state): state is EngineState => state !== undefined && state.activeStreamCount > 0)
      return fleet.engines.find(engine => engine.vmId === busy?.memberVmIds[rank])
    })
  }

  async function expectWholeStreams (streams: readonly ClientStream[]): Promise<void> {
    const results = await Promise.all(streams.map(stream => stream.finished))
    const indexes = Array.from({ length: streamTokenCount }, (_, index) => index)
    results.forEach((result, index) => {
      expect(result.errorMessage).to.equal(undefined)
      expect(result.isDone).to.equal(true)
      expect(result.tokenIndexes).to.deep.equal(indexes)
      expect(result.text).to.equal(getExpectedText(`job sheet ${index % streamsPerEntry}`, streamTokenCount))
    })
  }

  async function expectNothingServedWithoutMembers (): Promise<void> {
    const counts = await Promise.all(fleet.engines.map(fleet.fetchEngineCounts))
    expect(counts.map(count => count?.servedWhileMemberMissingCount ?? 0)).to.deep.equal(fleet.engines.map(() => 0))
  }

  for (const [role, rank] of [['leader', 0], ['member', 1]] as const) {
    it(`a killed ${role} moves its streams to another group`, async () => {
      const streams = openStreams()
      const engine = await findBusyMember(streams, rank)
      disturbed = engine
      engine.program.signal('SIGKILL')
      await expectWholeStreams(streams)
      await expectNothingServedWithoutMembers()
    })

    it(`a paused ${role} moves its streams to another group and comes back`, async () => {
      const streams = openStreams()
      const engine = await findBusyMember(streams, rank)
      disturbed = engine
      engine.program.signal('SIGSTOP')
      await expectWholeStreams(streams)
      engine.program.signal('SIGCONT')
      await fleet.waitUntilServing()
      await expectNothingServedWithoutMembers()
    })
  }
})
