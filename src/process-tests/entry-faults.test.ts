import { expect } from 'chai'

import { getExpectedText, openClientStream, sendOrder, type ClientStream, type OrderResponseBody } from '../testing/api-client.js'
import { pollUntil } from '../testing/child-program.js'
import type { FleetProgram, ProcessFleet } from '../testing/process-fleet.js'
import { useSharedFleet } from './shared-fleet.js'

const boundMs = 30_000
const streamTokenCount = 100
const serviceDelayMs = 500
/** Longer than the lease of the configuration and the life of evidence. */
const pauseMs = 3500

describe('faults of entry nodes', () => {
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
    await pollUntil('all streams run', boundMs, () => streams.every(stream => stream.tokenCount() > 5))
  }

  async function countRuns (key: string): Promise<number> {
    return (await fleet.fetchServiceCounts()).runs[key] ?? 0
  }

  async function waitForRun (key: string): Promise<void> {
    await pollUntil(`order "${key}" runs`, boundMs, async () => await countRuns(key) > 0)
  }

  async function expectWhole (stream: ClientStream): Promise<void> {
    const result = await stream.finished
    expect(result.errorMessage).to.equal(undefined)
    expect(result.isDone).to.equal(true)
    expect(result.tokenIndexes).to.deep.equal(Array.from({ length: streamTokenCount }, (_, index) => index))
    expect(result.text).to.equal(getExpectedText('a verse', streamTokenCount))
  }

  /** A caller is told of a result only when the order ran, and of none only while it did not. */
  function expectHonest (reply: OrderResponseBody, runCount: number): void {
    expect(runCount).to.be.at.most(1)
    if (reply.statusCode === 200) expect(runCount).to.equal(1)
    else expect(reply.workState).to.be.oneOf(['not_run', 'running', 'unknown'])
    if (reply.workState === 'not_run') expect(runCount).to.equal(0)
  }

  it('a killed node takes only its own callers along, and its order does not run again', async () => {
    const streams = [openStream(first), openStream(second)]
    const order = sendOrder(first.url, 'killed')
    await waitForTokens(streams)
    await waitForRun('killed')
    first.program.signal('SIGKILL')
    expect((await order).statusCode).to.equal(0)
    const retry = await sendOrder(second.url, 'killed')
    expectHonest(retry, await countRuns('killed'))
    expect(retry.workState).to.not.equal('not_run')
    expect((await streams[0]!.finished).isDone).to.equal(false)
    await expectWhole(streams[1]!)
    await pollUntil('the engines cancel the streams of the killed node', boundMs, async () => {
      const states = await Promise.all(fleet.engines.map(fleet.fetchEngineState))
      return states.every(state => state?.activeStreamCount === 0)
    })
    await first.restart()
    await fleet.waitUntilServing()
    expect(await countRuns('killed')).to.equal(1)
  })

  it('a paused node goes on where it was, and runs nothing again', async () => {
    const streams = [openStream(first), openStream(second)]
    const before = sendOrder(first.url, 'before-pause')
    await waitForTokens(streams)
    await waitForRun('before-pause')
    first.program.signal('SIGSTOP')
    const during = sendOrder(first.url, 'during-pause')
    const streamDuring = openStream(first)
    const elsewhere = [await sendOrder(second.url, 'before-pause'), await sendOrder(second.url, 'during-pause')]
    expect(elsewhere.map(reply => reply.workState ?? reply.statusCode)).to.deep.equal(['running', 200])
    await expectWhole(streams[1]!)
    await new Promise(resolve => { setTimeout(resolve, pauseMs) })
    first.program.signal('SIGCONT')
    await expectWhole(streams[0]!)
    expect((await before).statusCode).to.equal(200)
    const late = await during
    expect(late.workState ?? late.statusCode).to.be.oneOf(['attempt_not_run', 200])
    const retry = await pollUntil('the paused node takes orders again', boundMs, async () => {
      const reply = await sendOrder(first.url, 'during-pause')
      return reply.statusCode === 200 && reply
    })
    expect(retry.isReplayed).to.equal(true)
    const lateStream = await streamDuring.finished
    if (lateStream.statusCode === 200) await expectWhole(streamDuring)
    else expect(lateStream.tokenIndexes).to.deep.equal([])
    expect([await countRuns('before-pause'), await countRuns('during-pause')]).to.deep.equal([1, 1])
  })

  it('a node that is told to end cuts off nothing in flight', async () => {
    const stream = openStream(first)
    const order = sendOrder(first.url, 'graceful')
    await waitForTokens([stream])
    await waitForRun('graceful')
    first.program.signal('SIGTERM')
    await expectWhole(stream)
    expect((await order).statusCode).to.equal(200)
    expect(await first.program.exited).to.equal(0)
    await first.restart()
  })
})
