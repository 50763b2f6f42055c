import { expect } from 'chai'

import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createLeavingServers } from './leaving-servers.js'

describe('leaving servers', () => {
  it('are known by process, so that a restart under the same id is not leaving', () => {
    const leaving = createLeavingServers(createVirtualTimerService())
    expect(leaving.record('a', 5)).to.equal(true)
    expect(leaving.record('a', 5)).to.equal(false)
    expect(leaving.has({ id: 'a', startedAtMs: 5 })).to.equal(true)
    expect(leaving.has({ id: 'a', startedAtMs: 6 })).to.equal(false)
  })

  it('are not forgotten for a late announcement of an earlier process', () => {
    const leaving = createLeavingServers(createVirtualTimerService())
    leaving.record('a', 6)
    expect(leaving.record('a', 5)).to.equal(false)
    expect(leaving.has({ id: 'a', startedAtMs: 6 })).to.equal(true)
  })

  it('are listed for a while and dropped in the end', () => {
    const timers = createVirtualTimerService()
    const leaving = createLeavingServers(timers)
    leaving.record('a', 5)
    timers.advance(1000)
    expect(leaving.listRecent(1000)).to.deep.equal({ a: 5 })
    timers.advance(1)
    expect(leaving.listRecent(1000)).to.deep.equal({})
    timers.advance(600_000)
    leaving.record('b', 1)
    expect(leaving.has({ id: 'a', startedAtMs: 5 })).to.equal(false)
  })
})
