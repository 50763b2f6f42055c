import { expect } from 'chai'

import { getExpectedText, openClientStream, sendOrder, type ClientStream, type ClientOrderResponse } from '../testing/api-client.js'
import { pollUntil } from '../testing/child-program.js'
import type { FleetProgram, ProcessFleet } from '../testing/process-fleet.js'
import { useSharedFleet } from './shared-fleet.js'

const waitTimeoutMs = 30_000
const streamTokenCount = 100
const serviceDelayMs = 500
/** Longer than the configuration's lease and the maximum age of evidence. */
const pauseMs = 3500

describe('an entry node', () => {
  let fleet: ProcessFleet
  let first: FleetProgram
  let second: FleetProgram

  beforeEach(async () => {
    fleet = await useSharedFleet()
    ;[first, second] = fleet.entries as [FleetProgram, FleetProgram]
    await fleet.setFaults(fleet.service, { delayMs: serviceDelayMs })
  })

  afterEach(() => fleet.setFaults(fleet.service, { delayMs: 0 }))

  function openStream (entry: FleetProgram): ClientStream {
    return openClientStream(entry.url, 'a verse', streamTokenCount)
  }

  async function waitForTokens (streams: readonly ClientStream[]): Promise<void> {
    await pollUntil('all streams deliver tokens', waitTimeoutMs, () => streams.every(stream => stream.tokenCount() > 5))
  }

  async function countRuns (key: string): Promise<number> {
    return (await fleet.fetchServiceCounts()).runs[key] ?? 0
  }

  async function waitForRun (key: string): Promise<void> {
    await pollUntil(`order "${key}" starts to run`, waitTimeoutMs, async () => await countRuns(key) > 0)
  }

  async function expectCompleteStream (stream: ClientStream): Promise<void> {
    const result = await stream.finished
    expect(result.errorMessage).to.equal(undefined)
    expect(result.isDone).to.equal(true)
    expect(result.tokenIndexes).to.deep.equal(Array.from({ length: streamTokenCount }, (_, index) => index))
    expect(result.text).to.equal(getExpectedText('a verse', streamTokenCount))
  }

  /** Checks that the order ran at most once, that a success means that it ran, and that `not_run` means that it did not. */
  function expectConsistentResponse (response: ClientOrderResponse, runCount: number): void {
    expect(runCount).to.be.at.most(1)
    if (response.statusCode === 200) expect(runCount).to.equal(1)
    else expect(response.workState).to.be.oneOf(['not_run', 'running', 'unknown'])
    if (response.workState === 'not_run') expect(runCount).to.equal(0)
  }

  it('that is killed cuts off only its own clients, and its order does not run again', async () => {
    const streams = [openStream(first), openStream(second)]
    const order = sendOrder(first.url, 'killed')
    await waitForTokens(streams)
    await waitForRun('killed')
    first.program.signal('SIGKILL')
    expect((await order).statusCode).to.equal(0)
    const retry = await sendOrder(second.url, 'killed')
    expectConsistentResponse(retry, await countRuns('killed'))
    expect(retry.workState).to.not.equal('not_run')
    expect((await streams[0]!.finished).isDone).to.equal(false)
    await expectCompleteStream(streams[1]!)
    await pollUntil('the engines cancel the streams of the killed entry node', waitTimeoutMs, async () => {
      const states = await Promise.all(fleet.engines.map(fleet.fetchEngineState))
      return states.every(state => state?.activeStreamCount === 0)
    })
    await first.restart()
    await fleet.waitUntilServing()
    expect(await countRuns('killed')).to.equal(1)
  })

  it('that is paused resumes its streams and runs no order again', async () => {
    const streams = [openStream(first), openStream(second)]
    const before = sendOrder(first.url, 'before-pause')
    await waitForTokens(streams)
    await waitForRun('before-pause')
    first.program.signal('SIGSTOP')
    const during = sendOrder(first.url, 'during-pause')
    const streamDuring = openStream(first)
    const responsesElsewhere = [await sendOrder(second.url, 'before-pause'), await sendOrder(second.url, 'during-pause')]
    expect(responsesElsewhere.map(response => response.workState ?? response.statusCode)).to.deep.equal(['running', 200])
    await expectCompleteStream(streams[1]!)
    await new Promise(resolve => { setTimeout(resolve, pauseMs) })
    first.program.signal('SIGCONT')
    await expectCompleteStream(streams[0]!)
    expect((await before).statusCode).to.equal(200)
    const lateResponse = await during
    expect(lateResponse.workState ?? lateResponse.statusCode).to.be.oneOf(['attempt_not_run', 200])
    const retry = await pollUntil('the resumed entry node accepts orders', waitTimeoutMs, async () => {
      const response = await sendOrder(first.url, 'during-pause')
      return response.statusCode === 200 && response
    })
    expect(retry.isReplayed).to.equal(true)
    const lateStream = await streamDuring.finished
    if (lateStream.statusCode === 200) await expectCompleteStream(streamDuring)
    else expect(lateStream.tokenIndexes).to.deep.equal([])
    expect([await countRuns('before-pause'), await countRuns('during-pause')]).to.deep.equal([1, 1])
  })

  it('that gets SIGTERM completes its requests in flight', async () => {
    const stream = openStream(first)
    const order = sendOrder(first.url, 'graceful')
    await waitForTokens([stream])
    await waitForRun('graceful')
    first.program.signal('SIGTERM')
    await expectCompleteStream(stream)
    expect((await order).statusCode).to.equal(200)
    expect(await first.program.exited).to.equal(0)
    await first.restart()
  })
})
