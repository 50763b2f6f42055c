import { expect } from 'chai'

import { makeServingConfig } from '../testing/serving-samples.js'
import { createReadiness, maxFollowedViewAgeMs } from './readiness.js'

function createFixture () {
  const state = { configAgeMs: 100, viewAgeMs: 100, isStoreReachable: true, hasConfig: true, hasDrainBegun: false, maxConfigAgeMs: Infinity }
  const lines: string[] = []
  const log = (message: string) => { lines.push(message) }
  const readiness = createReadiness({
    fleet: {
      getConfig: () => state.hasConfig ? makeServingConfig() : undefined,
      getConfigAgeMs: () => state.configAgeMs,
      getViewAgeMs: () => state.viewAgeMs,
      isStoreReachable: () => state.isStoreReachable
    },
    logger: { debug: log, info: log, warn: log, error: log },
    hasDrainBegun: () => state.hasDrainBegun,
    getMaxConfigAgeMs: () => state.maxConfigAgeMs
  })
  return { state, lines, readiness }
}

describe('readiness', () => {
  it('needs a configuration that is young enough, and ends with the drain', () => {
    const { state, readiness } = createFixture()
    expect(readiness.isReady()).to.equal(true)
    state.hasConfig = false
    expect(readiness.isReady()).to.equal(false)
    Object.assign(state, { hasConfig: true, maxConfigAgeMs: 4700, configAgeMs: 4701 })
    expect(readiness.isReady()).to.equal(false)
    Object.assign(state, { configAgeMs: 4700, hasDrainBegun: true })
    expect(readiness.isReady()).to.equal(false)
  })

  // Guards against a gateway that says it is ready while its reader of the store stands still, where no API key limits the age of the configuration.
  it('ends when the view is no longer followed although the store responds', () => {
    const { state, lines, readiness } = createFixture()
    expect(readiness.check()).to.equal(true)
    Object.assign(state, { viewAgeMs: maxFollowedViewAgeMs + 1, configAgeMs: maxFollowedViewAgeMs + 1 })
    expect(readiness.check()).to.equal(false)
    expect(readiness.check()).to.equal(false)
    state.viewAgeMs = 10
    expect(readiness.check()).to.equal(true)
    expect(lines).to.deep.equal(['The gateway is ready.', 'The gateway is no longer ready.', 'The gateway is ready.'])
  })

  it('outlasts an outage of the store', () => {
    const { state, readiness } = createFixture()
    Object.assign(state, { viewAgeMs: 60_000, configAgeMs: 60_000, isStoreReachable: false })
    expect(readiness.isReady()).to.equal(true)
  })
})
