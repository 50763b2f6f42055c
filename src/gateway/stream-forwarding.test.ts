import { expect } from 'chai'

import type { BackendServer } from '../state/backend-server.js'
import { createStreamHarness } from '../testing/stream-harness.js'

describe('forwardStream', () => {
  describe('the wait of a stream in progress for a replica', () => {
    it('begins when the last attempt fails, not at the last event before a silence', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { pauseObjectiveMs: 500 } })
      const other = harness.servers.get('b') as BackendServer
      harness.servers.delete('b')
      const first = harness.start()
      first.sendEvent(1)
      harness.timers.advance(1700)
      first.reset()
      harness.timers.advance(1000)
      expect(harness.response.destroyed).to.equal(false)
      harness.servers.set('b', other)
      harness.timers.advance(100)
      const [resumed] = harness.listAttempts('b')
      expect(resumed?.lastEventId).to.equal('1')
      resumed?.sendEvent(2)
      resumed?.end()
      expect(harness.response).to.include({ isEnded: true, destroyed: false })
    })

    it('does not count the time in which the client did not read', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'] })
      const first = harness.start()
      harness.response.isReading = false
      first.sendEvent(1)
      harness.timers.advance(2500)
      harness.drain()
      harness.servers.delete(first.serverId === 'a' ? 'b' : 'a')
      first.reset()
      expect(harness.response.destroyed).to.equal(false)
      harness.timers.advance(1400)
      expect(harness.response.destroyed).to.equal(false)
      harness.timers.advance(400)
      expect(harness.response.destroyed).to.equal(true)
    })

    it('ends before its client gives up, also after a silence', () => {
      const harness = createStreamHarness({ serverIds: ['a'] })
      const first = harness.start()
      first.sendEvent(1)
      harness.timers.advance(1000)
      first.reset()
      harness.timers.advance(1000)
      expect(harness.response.destroyed).to.equal(true)
      expect(harness.response.endedAtMs).to.be.within(1600, 1999)
    })
  })
})
