import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { createServerHolds } from './server-holds.js'
import { createServerOverruns } from './server-overruns.js'

describe('server overruns', () => {
  const server = makeBackendServer({ id: 's' })
  const other = makeBackendServer({ id: 'other' })

  function createSample () {
    const timers = createVirtualTimerService()
    const holds = createServerHolds(timers)
    return { timers, holds, overruns: createServerOverruns({ timers, holds, logger: { debug () {}, info () {}, warn () {}, error () {} } }) }
  }

  it('keep requests from a server after the third one, for some time', () => {
    const { timers, holds, overruns } = createSample()
    for (let count = 0; count < 2; count += 1) overruns.record(server, 'too large')
    overruns.record(other, 'too large')
    expect(holds.getRemainingMs(server)).to.equal(0)
    overruns.record(server, 'too large')
    expect([holds.getRemainingMs(server), holds.getRemainingMs(other)]).to.deep.equal([5000, 0])
    timers.advance(5000)
    expect(holds.getRemainingMs(server)).to.equal(0)
    overruns.record(server, 'too large')
    expect(holds.getRemainingMs(server)).to.equal(5000)
  })

  it('are forgotten when they are rare', () => {
    const { timers, holds, overruns } = createSample()
    for (let count = 0; count < 9; count += 1) {
      overruns.record(server, 'too large')
      timers.advance(6000)
    }
    expect(holds.getRemainingMs(server)).to.equal(0)
  })
})
