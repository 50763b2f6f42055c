import { expect } from 'chai'

import type { EngineProfile } from '../../state/serving-config.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import { estimateGroupTimeMs } from './group-time.js'

const engine: EngineProfile = { ...sampleEngine, slotCount: 14, stepMs: 7.8, perSequenceMs: 0.14, promptTokensPerSecond: 45_900, stepsPerEvent: 6 }
const small = { name: 'm1', groupSize: 2, pace: 0.6, share: 0.5, loadMs: 12_000, warmLoadMs: 1100 }

describe('group time of a stream', () => {
  it('gives the rate that a group was calculated to serve', () => {
    const perSecond = 1000 / estimateGroupTimeMs(engine, small, { promptTokenCount: 714, eventCount: 28 })
    expect(perSecond).to.be.within(12, 13)
  })

  it('is finite for an engine without figures', () => {
    const bare = { ...engine, slotCount: 0, promptTokensPerSecond: 0 }
    expect(Number.isFinite(estimateGroupTimeMs(bare, small, { promptTokenCount: 714, eventCount: 28 }))).to.equal(true)
  })
})
