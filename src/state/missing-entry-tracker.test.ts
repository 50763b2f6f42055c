import { expect } from 'chai'

import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createMissingEntryTracker } from './missing-entry-tracker.js'

describe('missing entry tracker', () => {
  it('drops a missing entry at once while the store responds', () => {
    const tracker = createMissingEntryTracker(createVirtualTimerService(), 2000)
    tracker.recordStoreResponse()
    expect(tracker.shouldKeep('a')).to.equal(false)
  })

  it('keeps missing entries for the grace period after an outage, then drops those that have not returned', () => {
    const timers = createVirtualTimerService()
    const tracker = createMissingEntryTracker(timers, 2000)
    tracker.recordStoreFailure()
    timers.advance(5000)
    tracker.recordStoreResponse()
    expect(tracker.shouldKeep('a')).to.equal(true)
    expect(tracker.shouldKeep('b')).to.equal(true)
    tracker.markPresent('b')
    timers.advance(1999)
    expect(tracker.takeExpired()).to.deep.equal([])
    timers.advance(1)
    expect(tracker.takeExpired()).to.deep.equal(['a'])
    expect(tracker.shouldKeep('a')).to.equal(false)
  })
})
