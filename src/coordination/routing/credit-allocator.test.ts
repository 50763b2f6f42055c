import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createCreditAllocator } from './credit-allocator.js'
import { createCreditCache } from './credit-cache.js'
import { defaultCreditSettings } from './credit-settings.js'

const { creditLifetimeMs, forgetRouterAfterMs } = defaultCreditSettings

function createFixture () {
  const timers = createVirtualTimerService()
  const state = { live: ['a', 'b'], isFirst: true }
  const allocator = createCreditAllocator({
    timers,
    settings: defaultCreditSettings,
    getSlotCount: () => 20,
    getShares: () => [{ partner: 'vrany', capacityPercent: 100, priority: 1 }],
    getLiveNodeIds: () => state.live,
    isFirstOwner: () => state.isFirst
  })
  let sequence = 0
  /** Returns the credits granted in response to a poll, or -1 without an entry. */
  function poll (nodeId: string, inFlightCount: number, waitingCount: number, heldCreditCount: number): number {
    const partners = [{ partner: 'vrany', inFlightCount, waitingCount, heldCreditCount, preferredCount: 0 }]
    sequence += 1
    allocator.recordPoll(nodeId, 1, [{ groupId: 'g', partners }], sequence)
    return allocator.grant('g', nodeId)[0]?.slotCount ?? -1
  }
  return { timers, state, allocator, poll }
}

describe('credit allocator', () => {
  it('grants no additional credits until every live router has reported what it holds', () => {
    const { poll } = createFixture()
    expect(poll('a', 3, 50, 4)).to.equal(4)
    expect(poll('b', 0, 0, 0)).to.equal(1)
    expect(poll('a', 4, 50, 4)).to.equal(19)
  })

  it('reclaims a slot before it grants it to another router', () => {
    const { poll } = createFixture()
    poll('a', 0, 0, 0)
    poll('b', 0, 0, 0)
    // Of the 20 slots, router b keeps the 10 that it may still use.
    expect(poll('a', 0, 50, 0)).to.equal(19 - 9)
    expect(poll('b', 0, 50, 10)).to.equal(10)
    expect(poll('a', 10, 50, 10)).to.equal(10)
  })

  it('counts the credits of a silent router until they expire', () => {
    const { poll, state, timers } = createFixture()
    poll('a', 0, 0, 0)
    expect(poll('b', 0, 50, 0)).to.equal(19)
    state.live = ['a']
    timers.advance(creditLifetimeMs)
    expect(poll('a', 0, 50, 0)).to.equal(1)
    timers.advance(1)
    expect(poll('a', 0, 50, 1)).to.equal(20)
  })

  it('counts the credits of a silent but live router until forgetRouterAfterMs', () => {
    const { poll, timers } = createFixture()
    poll('a', 0, 0, 0)
    poll('b', 0, 50, 0)
    timers.advance(forgetRouterAfterMs)
    expect(poll('a', 0, 50, 0)).to.equal(1)
    timers.advance(1)
    expect(poll('a', 0, 50, 1)).to.equal(20)
  })

  it('reclaims unused credits when more are granted than there are slots', () => {
    const { poll } = createFixture()
    poll('a', 20, 0, 20)
    poll('b', 0, 20, 10)
    expect(poll('a', 20, 0, 20)).to.equal(10)
    expect(poll('b', 0, 20, 10)).to.equal(0)
    expect(poll('a', 12, 0, 10)).to.equal(10)
    expect(poll('b', 0, 20, 0)).to.equal(8)
  })

  it('ignores a poll that arrives after a newer one', () => {
    const { allocator } = createFixture()
    const report = (inFlightCount: number) => [{ groupId: 'g', partners: [{ partner: 'vrany', inFlightCount, waitingCount: 0, heldCreditCount: 0, preferredCount: 0 }] }]
    allocator.recordPoll('a', 1, report(7), 2)
    allocator.recordPoll('a', 1, report(0), 1)
    expect(allocator.grant('g', 'a')[0]?.slotCount).to.equal(7)
  })

  it('grants nothing while another node is first owner', () => {
    const { allocator, poll, state } = createFixture()
    state.isFirst = false
    expect(poll('a', 0, 5, 0)).to.equal(-1)
    expect(allocator.grant('g', 'a')).to.deep.equal([])
  })
})

describe('credit cache', () => {
  it('applies only the response to the latest poll, with its expiry time', () => {
    const timers = createVirtualTimerService()
    const cache = createCreditCache(timers, creditLifetimeMs)
    const first = cache.startPoll('owner')
    const second = cache.startPoll('owner')
    cache.applyResponse(first, 'g', [{ partner: 'vrany', slotCount: 9 }])
    expect(cache.get('g').creditsByPartner.size).to.equal(0)
    cache.applyResponse(second, 'g', [{ partner: 'vrany', slotCount: 5 }])
    cache.applyResponse(second, 'g', [])
    expect(cache.get('g').creditsByPartner.get('vrany')).to.equal(5)
    expect(cache.get('g').creditsExpireAtMs).to.equal(creditLifetimeMs)
  })
})
