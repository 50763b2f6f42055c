import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createServerHolds, maxHoldMs } from './server-holds.js'

const server = { id: 'a', startedAtMs: 5 }

describe('server holds', () => {
  it('last for the time that the server stated', () => {
    const timers = createVirtualTimerService()
    const holds = createServerHolds(timers)
    holds.record(server, 1500)
    timers.advance(1499)
    expect(holds.getRemainingMs(server)).to.equal(1)
    timers.advance(1)
    expect(holds.getRemainingMs(server)).to.equal(0)
  })

  it('are not shortened by a later, shorter one', () => {
    const timers = createVirtualTimerService()
    const holds = createServerHolds(timers)
    holds.record(server, 1500)
    holds.record(server, 10)
    expect(holds.getRemainingMs(server)).to.equal(1500)
  })

  it('end when the server restarts', () => {
    const holds = createServerHolds(createVirtualTimerService())
    holds.record(server, 1500)
    expect(holds.getRemainingMs({ ...server, startedAtMs: 6 })).to.equal(0)
  })

  it('are bounded', () => {
    const holds = createServerHolds(createVirtualTimerService())
    holds.record(server, Number.MAX_VALUE)
    expect(holds.getRemainingMs(server)).to.equal(maxHoldMs)
  })
})
