import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createReplicaLoads } from './replica-loads.js'

describe('replica loads', () => {
  describe('what gateways state of the pace of replicas', () => {
    const low = { limitPercent: 25, factorPercent: 100, isFallen: false }
    const fallen = { limitPercent: 50, factorPercent: 400, isFallen: true }

    it('passes relays as the lowest statement, is not returned to its gateway, and ages out', () => {
      const timers = createVirtualTimerService()
      const relay = createReplicaLoads(timers)
      const first = createReplicaLoads(timers, { listPace: () => ({ r: low }) })
      const second = createReplicaLoads(timers, { listPace: () => ({ r: fallen }) })
      relay.applyDependentReport(first.createOwnReport('first'))
      relay.applyDependentReport(second.createOwnReport('second'))
      expect(relay.createReport('relay').pace).to.deep.equal({ r: { limitPercent: 25, factorPercent: 400, isFallen: true } })
      expect(relay.createTotalReport('first').pace).to.deep.equal({ r: fallen })
      first.applyReport(relay.createTotalReport('first'))
      expect(first.getPaceStatement('r')).to.deep.equal(fallen)
      timers.advance(2600)
      expect(first.getPaceStatement('r')).to.equal(undefined)
      expect(relay.createReport('relay').pace).to.equal(undefined)
    })

    it('holds the 40 lowest limits at most', () => {
      const timers = createVirtualTimerService()
      const relay = createReplicaLoads(timers)
      const state = (node: string) => createReplicaLoads(timers, { listPace: () => Object.fromEntries(Array.from({ length: 40 }, (_, index) => [`${node}${index}`, { ...low, limitPercent: 12 + index }])) }).createOwnReport(node)
      relay.applyDependentReport(state('a'))
      relay.applyDependentReport(state('b'))
      const limits = Object.values(relay.createReport('relay').pace ?? {}).map(({ limitPercent }) => limitPercent)
      expect(limits).to.have.lengthOf(40)
      expect(Math.max(...limits)).to.equal(31)
    })
  })

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
