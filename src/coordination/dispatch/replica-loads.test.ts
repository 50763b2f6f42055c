import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createReplicaLoads } from './replica-loads.js'

describe('replica loads', () => {
  describe('a mark of a stalled replica', () => {
    /** Sound servers are silent for about a second. */
    const endsWithinMs = 3000

    it('does not renew itself between gateways that report it to each other', () => {
      const timers = createVirtualTimerService()
      const gateways = [createReplicaLoads(timers), createReplicaLoads(timers), createReplicaLoads(timers)]
      gateways[0]?.markStalled('r')
      for (let elapsedMs = 0; elapsedMs < 2 * endsWithinMs; elapsedMs += 100) {
        timers.advance(100)
        gateways.forEach((sender, index) => {
          for (const receiver of gateways.filter(gateway => gateway !== sender)) {
            for (const replicaId of sender.createOwnReport(`n${index}`).stalledIds) receiver.markReportedStalled(replicaId)
          }
        })
      }
      expect(gateways.map(gateway => gateway.isStalled('r'))).to.deep.equal([false, false, false])
    })

    it('ends soon after a silence, when no stream is left to show that the replica goes on', () => {
      const timers = createVirtualTimerService()
      const loads = createReplicaLoads(timers)
      loads.markStalled('r')
      timers.advance(endsWithinMs)
      expect(loads.isStalled('r')).to.equal(false)
    })
  })
})
