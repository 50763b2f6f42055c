import { expect } from 'chai'

import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createMissingEntryTracker } from './missing-entry-tracker.js'

describe('missing entry tracker', () => {
  it('drops a missing entry at once while the store responds', () => {
    const lapsed = createMissingEntryTracker(createVirtualTimerService(), 2000)
    lapsed.recordStoreResponse()
    expect(lapsed.shouldKeep('a')).to.equal(false)
  })

  it('keeps missing entries for the grace period after an outage, then drops those that have not returned', () => {
    const timers = createVirtualTimerService()
    const lapsed = createMissingEntryTracker(timers, 2000)
    lapsed.recordStoreFailure()
    timers.advance(5000)
    lapsed.recordStoreResponse()
    expect(lapsed.shouldKeep('a')).to.equal(true)
    expect(lapsed.shouldKeep('b')).to.equal(true)
    lapsed.markPresent('b')
    timers.advance(1999)
    expect(lapsed.takeExpired()).to.deep.equal([])
    timers.advance(1)
    expect(lapsed.takeExpired()).to.deep.equal(['a'])
    expect(lapsed.shouldKeep('a')).to.equal(false)
  })
})
