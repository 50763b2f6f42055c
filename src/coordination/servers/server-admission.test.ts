import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import type { ColdPolicy } from '../../state/serving-config.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { createServerHolds } from '../dispatch/server-holds.js'
import { createServerLimits, StatementSource } from '../limits/server-limits.js'
import { defaultColdBounds } from '../limits/permit-rules.js'
import { createServerPermits } from '../limits/server-permits.js'
import { createColdServers } from './cold-servers.js'
import { BlockReason, createServerAdmission } from './server-admission.js'

const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }
const server = makeBackendServer({ id: 's' })

function createSample (policy: ColdPolicy = { coldMs: 3000, requestsPerSecond: 10 }) {
  const timers = createVirtualTimerService()
  const evacuated = new Set<string>()
  const holds = createServerHolds(timers)
  const limits = createServerLimits({ timers, logger: silentLogger })
  const cold = createColdServers({
    timers,
    logger: silentLogger,
    evacuatedZones: { getEndedAtMs: () => undefined },
    getPolicy: name => name === server.serviceName ? policy : undefined,
    hasTraffic: () => true,
    onCold: process => permits.announceCold(process)
  })
  const permits = createServerPermits({
    nodeId: 'g', timers, random: createRandomSource(1), limits, cold, getColdBounds: () => defaultColdBounds, listGatewayIds: () => ['g'], countGateways: () => 1, send () {}
  })
  return { timers, holds, limits, cold, evacuated, admission: createServerAdmission({ evacuatedZones: evacuated, holds, cold, permits }) }
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

  // Guards against a flood of a server that has just started (FAILBACK), and against one that stays idle.
  it('allows a cold server one request for each permit, at its rate, and any number once it is warm', () => {
    const { timers, cold, admission } = createSample()
    cold.recordEntry({ ...server, coldRemainingMs: 2000 }, false)
    let count = 0
    for (let elapsedMs = 0; elapsedMs < 2000; elapsedMs += 10) {
      if (admission.take(server)) count += 1
      else expect(admission.check(server)).to.deep.include({ reason: BlockReason.Cold })
      admission.request(server)
      timers.advance(10)
    }
    expect(count).to.be.within(18, 20)
    expect(admission.check(server)).to.deep.equal({ isAllowed: true })
    expect([admission.take(server), admission.take(server)]).to.deep.equal([true, true])
  })

  it('allows the lower rate where a cold server states a limit too', () => {
    const { timers, cold, limits, admission } = createSample()
    cold.recordEntry({ ...server, coldRemainingMs: 10_000 }, false)
    limits.record(server, 2, timers.nowMs(), StatementSource.Response)
    let count = 0
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 10) {
      if (admission.take(server)) count += 1
      admission.request(server)
      timers.advance(10)
    }
    expect(count).to.be.within(17, 21)
  })

  it('blocks a cold server without a rate until it is warm', () => {
    const { timers, cold, admission } = createSample({ coldMs: 3000, requestsPerSecond: 0 })
    cold.recordEntry({ ...server, coldRemainingMs: 2000 }, false)
    admission.request(server)
    timers.advance(500)
    expect(admission.take(server)).to.equal(false)
    expect(admission.check(server)).to.deep.equal({ isAllowed: false, reason: BlockReason.Cold, waitMs: 1500 })
    timers.advance(1500)
    expect(admission.check(server)).to.deep.equal({ isAllowed: true })
  })
})
