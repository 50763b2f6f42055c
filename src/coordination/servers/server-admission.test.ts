import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { createServerHolds } from '../dispatch/server-holds.js'
import { createServerLimits, StatementSource } from '../limits/server-limits.js'
import { createServerPermits } from '../limits/server-permits.js'
import { BlockReason, createServerAdmission } from './server-admission.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }
const server = makeBackendServer({ id: 's' })

function createSample () {
  const timers = createVirtualTimerService()
  const evacuated = new Set<string>()
  const holds = createServerHolds(timers)
  const limits = createServerLimits({ timers, logger: silentLogger })
  const permits = createServerPermits({
    nodeId: 'g', timers, random: createRandomSource(1), limits, listGatewayIds: () => ['g'], countGateways: () => 1, send () {}
  })
  return { timers, holds, limits, evacuated, admission: createServerAdmission({ evacuatedZones: evacuated, holds, permits }) }
}

describe('server admission', () => {
  // Guards against requests to evacuated servers (EVAC), also where a shorter time is known.
  it('blocks a server of an evacuated zone without a known end, and allows it afterwards', () => {
    const { holds, evacuated, admission } = createSample()
    evacuated.add(server.zone)
    holds.record(server, 700)
    expect(admission.check(server)).to.deep.equal({ isAllowed: false, reason: BlockReason.Evacuated, waitMs: Infinity })
    expect(admission.take(server)).to.equal(false)
    expect(admission.check(makeBackendServer({ id: 't', zone: 'other' })).isAllowed).to.equal(true)
    evacuated.clear()
    expect(admission.check(server)).to.deep.include({ reason: BlockReason.Held })
  })

  // Guards against requests to a server that has asked for none (BUDGET).
  it('blocks a server that is held for the rest of the time, whatever its limit', () => {
    const { timers, holds, limits, admission } = createSample()
    expect(admission.check(server)).to.deep.equal({ isAllowed: true })
    limits.record(server, 1, timers.nowMs(), StatementSource.Response)
    holds.record(server, 700)
    timers.advance(100)
    expect(admission.check(server)).to.deep.equal({ isAllowed: false, reason: BlockReason.Held, waitMs: 600 })
  })

  // Guards against requests beyond a stated limit (LIMIT): each permit lets one through.
  it('allows one request for each permit of a server that states a limit', () => {
    const { timers, limits, admission } = createSample()
    limits.record(server, 2, timers.nowMs(), StatementSource.Response)
    expect(admission.check(server)).to.deep.equal({ isAllowed: false, reason: BlockReason.Limited, waitMs: 0 })
    admission.request(server)
    timers.advance(2000)
    admission.request(server)
    expect(admission.check(server).isAllowed).to.equal(true)
    expect(admission.take(server)).to.equal(true)
    expect(admission.take(server)).to.equal(false)
  })
})
