import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createReplicaLoads, type LoadReport } from '../dispatch/replica-loads.js'
import type { DemandReport } from './demand-report.js'

const ownDemand: DemandReport = { gatewayCount: 1, services: { drafting: { small: { arrivalsPerSecond: 2, busyServerCount: 0.5 } } } }

function createGateways () {
  const timers = createVirtualTimerService()
  const create = () => createReplicaLoads(timers, { createDemandReport: () => ownDemand })
  return { timers, create }
}

describe('demand of several gateways', () => {
  it('is added up by relays and counts each gateway once at the planner', () => {
    const { create } = createGateways()
    const [planner, relay, dependent] = [create(), create(), create()]
    for (let turn = 0; turn < 3; turn += 1) {
      relay.applyDependentReport(dependent.createOwnReport('dependent'))
      planner.applyReport(relay.createReport('relay'))
      // What the dependent gateway tells the planner directly has no demand, and a relay's total has none.
      planner.applyReport({ ...dependent.createOwnReport('dependent'), demand: undefined })
      planner.applyReport(relay.createTotalReport('planner'))
    }
    expect(planner.getDemand()).to.deep.include({ gatewayCount: 3, services: { drafting: { small: { arrivalsPerSecond: 6, busyServerCount: 1.5 } } } })
  })

  it('leaves out gateways that are no longer heard from', () => {
    const { timers, create } = createGateways()
    const [planner, other] = [create(), create()]
    planner.applyReport(other.createReport('other'))
    timers.advance(2000)
    expect(planner.getDemand()).to.deep.include({ gatewayCount: 2, ageMs: 2000 })
    timers.advance(1000)
    expect(planner.getDemand()).to.deep.include({ gatewayCount: 1, ageMs: 0 })
  })

  it('does not count gateways of earlier releases as heard', () => {
    const { create } = createGateways()
    const planner = create()
    const former: LoadReport = { nodeId: 'former', sequence: 1, streamCounts: { r: 1 }, stalledIds: [], quietIds: [] }
    planner.applyReport(former)
    expect(planner.getDemand().gatewayCount).to.equal(1)
    expect(planner.getStreamCount('r')).to.equal(1)
  })
})
