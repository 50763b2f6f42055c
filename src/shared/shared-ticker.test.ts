import { expect } from 'chai'

import { createSharedTicker } from './shared-ticker.js'
import { createVirtualTimerService } from './virtual-timer-service.js'

describe('shared ticker', () => {
  it('uses one timer for all subscribers, and none without them', () => {
    const timers = createVirtualTimerService()
    let tickCount = 0
    const ticker = createSharedTicker(timers, 50, () => { tickCount += 1 })
    expect(timers.pendingCount()).to.equal(0)
    const calls = [0, 0, 0]
    const subscriptions = calls.map((_, index) => ticker.subscribe(() => { (calls[index] as number) += 1 }))
    expect(timers.pendingCount()).to.equal(1)
    timers.advance(100)
    expect(calls).to.deep.equal([2, 2, 2])
    expect(tickCount).to.equal(2)
    subscriptions.forEach(subscription => subscription.cancel())
    expect(timers.pendingCount()).to.equal(0)
  })

  it('does not call a listener that another one cancelled in the same tick', () => {
    const timers = createVirtualTimerService()
    const ticker = createSharedTicker(timers, 50)
    let count = 0
    ticker.subscribe(() => second.cancel())
    const second = ticker.subscribe(() => { count += 1 })
    timers.advance(200)
    expect(count).to.equal(0)
  })

  it('goes on after it had no subscribers', () => {
    const timers = createVirtualTimerService()
    const ticker = createSharedTicker(timers, 50)
    ticker.subscribe(() => {}).cancel()
    let count = 0
    ticker.subscribe(() => { count += 1 })
    timers.advance(100)
    expect(count).to.equal(2)
  })
})
