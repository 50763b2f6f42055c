import { expect } from 'chai'

import { createStreamHarness } from '../testing/stream-harness.js'

const modelKey = 'drafting/m'
const kindKey = 'drafting/m/400'
const slotCount = 18
const work = { promptTokenCount: 1200, maxAnswerTokenCount: 200, answerTokenHint: 120 }

describe('expected times of a call', () => {
  it('refuse a stream at once that could only begin after its objective', () => {
    const harness = createStreamHarness({ serverIds: ['a'], work, route: { objectiveMs: 150 } })
    for (let index = 0; index < slotCount; index += 1) harness.loads.beginStream(harness.formatReplicaId('a'))
    harness.start()
    expect(harness.attempts.length).to.equal(0)
    expect(harness.response.statusCode).to.equal(503)
    expect(harness.logLines.at(-1)?.fields.reason).to.contain('within its objective')
  })

  it('do not matter in a fleet without relays, where the queue is short enough', () => {
    const harness = createStreamHarness({ serverIds: ['a'], work, route: { objectiveMs: 150 }, hasRelays: false })
    for (let index = 0; index < slotCount; index += 1) harness.loads.beginStream(harness.formatReplicaId('a'))
    harness.start()
    expect(harness.attempts.length).to.equal(1)
  })

  it('let it queue where the objective allows that', () => {
    const harness = createStreamHarness({ serverIds: ['a'], work, route: { objectiveMs: 1000 } })
    for (let index = 0; index < slotCount; index += 1) harness.loads.beginStream(harness.formatReplicaId('a'))
    harness.start()
    expect(harness.attempts.length).to.equal(1)
  })

  // Guards against a broken stream whose client was already served in part.
  it('do not keep a stream that was begun from queueing elsewhere', () => {
    const harness = createStreamHarness({ serverIds: ['a', 'b'], work, route: { objectiveMs: 150 } })
    const attempt = harness.start()
    attempt.sendEvent(1)
    const other = attempt.serverId === 'a' ? 'b' : 'a'
    for (let index = 0; index < slotCount; index += 1) harness.loads.beginStream(harness.formatReplicaId(other))
    attempt.reset()
    expect(harness.listAttempts(other).length).to.equal(1)
  })

  it('are learned from a stream that found a free slot', () => {
    const harness = createStreamHarness({ serverIds: ['a'], work })
    const attempt = harness.start()
    harness.timers.advance(300)
    attempt.sendEvent(1)
    harness.timers.advance(900)
    attempt.sendEvent(2)
    attempt.end()
    expect(harness.timings.getFirstEventMs(kindKey, 100)).to.be.greaterThan(120)
    expect(harness.timings.getWritingMs(modelKey)).to.equal(900)
  })

  it('are not learned from a stream that queued, or whose client did not read', () => {
    const queued = createStreamHarness({ serverIds: ['a'], work, route: { objectiveMs: 1000 } })
    for (let index = 0; index < slotCount; index += 1) queued.loads.beginStream(queued.formatReplicaId('a'))
    const late = queued.start()
    queued.timers.advance(700)
    late.sendEvent(1)
    expect(queued.timings.getFirstEventMs(kindKey, 100)).to.equal(100)
    const paused = createStreamHarness({ serverIds: ['a'], work })
    const attempt = paused.start()
    paused.response.isReading = false
    attempt.sendEvent(1)
    paused.timers.advance(3000)
    paused.drain()
    attempt.end()
    expect(paused.timings.getWritingMs(modelKey)).to.equal(undefined)
  })
})
