import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createServerScores } from './server-scores.js'

describe('server scores', () => {
  it('keep a request in flight whose silence was recorded, and count that silence once', () => {
    const silent = createServerScores(createVirtualTimerService())
    const failed = createServerScores(createVirtualTimerService())
    for (const scores of [silent, failed]) scores.beginRequest('a')
    silent.recordOutcome('a', 200, true)
    expect(silent.countInFlight('a')).to.equal(1)
    silent.endRecordedRequest('a')
    failed.endRequest('a', 200, true)
    expect(silent.countInFlight('a')).to.equal(0)
    expect(silent.getCost('a')).to.equal(failed.getCost('a'))
  })
})
