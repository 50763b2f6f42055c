import { expect } from 'chai'

import { createBatchEngine, type EngineRequest } from '../../bench/placing/batch-engine.js'
import { createEventTimerService } from '../../bench/event-timer-service.js'
import type { EngineProfile, ReplicatedModel } from '../../state/serving-config.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import { calculateStreamTimes, estimateWork, getZoneDelayMs } from './engine-timing.js'

const model = sampleEngine.models[0] as ReplicatedModel
const engine: EngineProfile = { ...sampleEngine, maxPromptTokensPerStep: 2048, usualWork: { promptTokenCount: 1200, answerTokenCount: 120 } }

describe('engine timing', () => {
  describe('size of a request', () => {
    it('is the usual one where the request states none', () => {
      expect(estimateWork(engine, {})).to.deep.equal({ promptTokenCount: 1200, answerTokenCount: 120 })
      expect(estimateWork(sampleEngine, {})).to.deep.equal({ promptTokenCount: 0, answerTokenCount: 0 })
    })

    it('is bounded by the output that the request asks for', () => {
      expect(estimateWork(engine, { promptTokenCount: 40, answerTokenHint: 5000, maxAnswerTokenCount: 80 })).to.deep.equal({ promptTokenCount: 40, answerTokenCount: 80 })
      expect(estimateWork(engine, { maxAnswerTokenCount: 80 })).to.deep.equal({ promptTokenCount: 1200, answerTokenCount: 80 })
    })
  })

  it('gives the delay between zones in both directions, and 0 where none is stated', () => {
    const zoneDelays = [{ fromZone: 'a', toZone: 'b', delayMs: 3 }, { fromZone: 'b', toZone: 'a', delayMs: 4 }, { fromZone: 'a', toZone: 'c', delayMs: 5 }]
    const get = (fromZone: string, toZone: string | undefined) => getZoneDelayMs({ ...engine, zoneDelays }, fromZone, toZone)
    expect([get('a', 'b'), get('b', 'a'), get('c', 'a'), get('a', 'a'), get('a', 'd'), get('a', undefined)]).to.deep.equal([3, 4, 5, 0, 0, 0])
    expect(getZoneDelayMs(engine, 'a', 'b')).to.equal(0)
  })

  describe('times of a stream', () => {
    it('grow with the prompt, the output, the other streams and the model\'s pace', () => {
      const get = (promptTokenCount: number, answerTokenCount: number, writingCount: number, pace = 1) =>
        calculateStreamTimes({ engine, model: { ...model, pace } }, { promptTokenCount, answerTokenCount }, writingCount)
      expect(get(2000, 60, 10).firstEventMs).to.be.greaterThan(get(1000, 60, 10).firstEventMs)
      expect(get(1000, 120, 10).writingMs).to.be.greaterThan(get(1000, 60, 10).writingMs)
      expect(get(1000, 60, 17).firstEventMs).to.be.greaterThan(get(1000, 60, 3).firstEventMs)
      expect(get(1000, 60, 10, 0.5).firstEventMs).to.be.closeTo(get(1000, 60, 10).firstEventMs / 2, 1e-9)
      expect(get(100_000, 60, 10).firstEventMs).to.be.greaterThan(get(1000, 60, 10).firstEventMs * 5)
    })

    it('are 0 for a service that publishes none', () => {
      const unknown: EngineProfile = { ...sampleEngine, stepMs: 0, perSequenceMs: 0, promptTokensPerSecond: 1e9, stepsPerEvent: 1 }
      const times = calculateStreamTimes({ engine: unknown, model }, estimateWork(unknown, {}), 10)
      expect(times.firstEventMs + times.writingMs).to.equal(0)
    })

    for (const otherCount of [0, 4, 12]) {
      // Guards against a formula that drifts away from the engine as it is simulated.
      it(`are those of the simulated engine beside ${otherCount} streams, within a fifth`, async () => {
        const measured = await simulate(otherCount)
        const work = { promptTokenCount: 1200, answerTokenCount: 120 }
        const times = calculateStreamTimes({ engine, model }, work, otherCount)
        expect(measured.firstEventMs).to.be.closeTo(times.firstEventMs, times.firstEventMs * 0.2)
        expect(measured.writingMs).to.be.closeTo(times.writingMs, times.writingMs * 0.2)
      })
    }
  })
})

/** Mean times of streams of 20 events, each of which is followed by another, beside `otherCount` streams of the same size. */
async function simulate (otherCount: number): Promise<{ firstEventMs: number, writingMs: number }> {
  const timers = createEventTimerService()
  const replica = createBatchEngine(timers, engine, model)
  const firstEventsMs: number[] = []
  const writingsMs: number[] = []

  function start (isMeasured: boolean): void {
    const startedAtMs = timers.nowMs()
    let firstAtMs: number | undefined
    const request: EngineRequest = {
      promptTokenCount: 1200,
      eventCount: 20,
      onEvent () {
        if (firstAtMs === undefined && isMeasured) firstEventsMs.push(timers.nowMs() - startedAtMs)
        firstAtMs ??= timers.nowMs()
        if (request.eventCount > 0) return
        if (isMeasured) writingsMs.push(timers.nowMs() - firstAtMs)
        // A pause of no whole number of passes spreads the starts over the passes.
        timers.subscribeOnce(17.3, () => start(isMeasured))
      }
    }
    replica.submit(request)
  }

  for (let index = 0; index < otherCount; index += 1) timers.subscribeOnce(73 * index, () => start(false))
  timers.subscribeOnce(1000, () => start(true))
  await timers.runUntil(60_000)
  const getMean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  return { firstEventMs: getMean(firstEventsMs), writingMs: getMean(writingsMs) }
}
