import { expect } from 'chai'

import { createModelTimings } from '../coordination/dispatch/model-timings.js'
import { createReplicaLoads } from '../coordination/dispatch/replica-loads.js'
import { AdmissionLimit } from '../coordination/scarcity/admission.js'
import { createClassUses, type CallClass } from '../coordination/scarcity/class-uses.js'
import { createRandomSource } from '../shared/random-source.js'
import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import type { EngineProfile } from '../state/serving-config.js'
import { sampleEngine } from '../testing/serving-samples.js'
import { createCallOrder, type OrderDependencies } from './call-order.js'
import type { TimedCall } from './call-timing.js'

const engine: EngineProfile = { ...sampleEngine, usualWork: { promptTokenCount: 1200, answerTokenCount: 120 }, zoneDelays: [{ fromZone: 'z1', toZone: 'z2', delayMs: 60 }] }

describe('order of calls', () => {
  const timers = createVirtualTimerService()
  let dependencies: OrderDependencies

  beforeEach(() => {
    const classUses = createClassUses(timers)
    dependencies = {
      zone: 'z1',
      timers,
      classUses,
      random: createRandomSource(5),
      timings: createModelTimings(),
      countGateways: () => 1,
      loads: createReplicaLoads(timers, { createUses: classUses.createReport })
    }
  })

  function getLimits ({ objectiveMs = 400, ...changes }: Partial<CallClass> = {}, profile = engine, sizes: Partial<TimedCall['clientInfo']> = {}) {
    const call: TimedCall = { clientInfo: { model: 'large', lastEventId: undefined, ...sizes }, route: { objectiveMs }, serviceName: 's', arrivedAtMs: timers.nowMs() }
    return createCallOrder(dependencies, call, { priority: 1, teamName: 'a', objectiveMs, ...changes }).getLimits(profile)
  }

  it('has no limits where the configuration does not tell the engine\'s times or the size of the work', () => {
    expect(getLimits({}, { ...engine, stepMs: 0 })).to.deep.equal({})
    expect(getLimits({}, sampleEngine)).to.deep.equal({})
    expect(getLimits({}, sampleEngine, { promptTokenCount: 1000 }).expected).to.not.equal(undefined)
  })

  // Guards against the largest requests being refused more often than others of their kind.
  it('has the same limit for all sizes of prompts', () => {
    const limits = [1, 1200, 500_000].map(promptTokenCount => getLimits({}, engine, { promptTokenCount }).expected?.getStreamLimit(1, 'z1'))
    expect(new Set(limits).size).to.equal(1)
  })

  it('has a lower limit in a zone that is further away', () => {
    const { expected } = getLimits()
    expect(expected?.getStreamLimit(1, 'z2')).to.be.lessThan(expected?.getStreamLimit(1, 'z1') ?? 0)
  })

  it('fills replicas no further than the calls with a shorter objective that are as urgent', () => {
    const alone = getLimits({ objectiveMs: 1000 }).expected?.getStreamLimit(1, 'z1')
    for (let index = 0; index < 50; index += 1) getLimits({ objectiveMs: 260 })
    expect(getLimits({ objectiveMs: 1000, priority: 0 }).expected?.getStreamLimit(1, 'z1')).to.equal(alone)
    expect(getLimits({ objectiveMs: 1000, priority: 2 }).expected?.getStreamLimit(1, 'z1')).to.be.lessThan(alone ?? 0)
  })

  // Guards against gateways that admit too few calls, since the hints of their clients are too high on average.
  it('counts the demand by the measured times, and divides it by the stated ones', () => {
    const sum = (teamName: string) => dependencies.loads.getModelUses('s/large').get(`1/400/${teamName}`)?.offeredSlotCount ?? 0
    for (let index = 0; index < 40; index += 1) dependencies.timings.recordWriting('s/large', 500)
    for (let index = 0; index < 100; index += 1) {
      getLimits({ teamName: 'short' }, engine, { answerTokenHint: 100 })
      getLimits({ teamName: 'long' }, engine, { answerTokenHint: 900 })
    }
    const slotTimeMs = getLimits().expected?.slotTimeMs ?? 0
    expect((sum('short') + sum('long')) * 4000).to.be.closeTo(200 * slotTimeMs, 200 * slotTimeMs * 0.1)
    expect(sum('long')).to.be.greaterThan(2 * sum('short'))
  })

  it('admits the same call again or not at all, and about the fraction that there is room for', () => {
    for (let index = 0; index < 4000; index += 1) getLimits()
    const calls = Array.from({ length: 400 }, () => getLimits())
    const offered = dependencies.loads.getModelUses('s/large').get('1/400/a')?.offeredSlotCount ?? 0
    const results = calls.map(({ admit }) => [admit?.(offered / 2), admit?.(offered / 2)].map(admission => admission?.limit))
    for (const [first, second] of results) expect(first).to.equal(second)
    expect(results.filter(([first]) => first === AdmissionLimit.None).length / results.length).to.be.within(0.4, 0.6)
    expect(calls[0]?.admit?.(offered / 2).roomAfterMs).to.be.greaterThan(0)
  })
})
