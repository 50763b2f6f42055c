import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { maxColdMs, type ColdPolicy } from '../../state/serving-config.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { createColdServers } from './cold-servers.js'

const server = makeBackendServer({ id: 's', startedAtMs: 5 })
const restarted = { ...server, startedAtMs: 9 }
const coldMs = 3000

function createSample ({ hasTraffic = true, isNeverCold = false } = {}) {
  const policy: ColdPolicy | undefined = isNeverCold ? undefined : { coldMs, requestsPerSecond: 17 }
  const timers = createVirtualTimerService()
  const endedAtMs = new Map<string, number>()
  const announced: string[] = []
  const lines: string[] = []
  const log = (message: string) => { lines.push(message) }
  const cold = createColdServers({
    timers,
    logger: { debug: log, info: log, warn: log, error: log },
    evacuatedZones: { getEndedAtMs: zone => endedAtMs.get(zone) },
    getPolicy: () => policy,
    hasTraffic: () => hasTraffic,
    onCold: ({ id }) => { announced.push(id) }
  })
  return { timers, endedAtMs, announced, lines, cold, getRemainingMs: (process = server) => cold.getState(process)?.remainingMs ?? 0 }
}

describe('cold servers', () => {
  describe('are assumed', () => {
    it('for the time of the entry, from when it was read, until a later entry states another one', () => {
      const { timers, cold, getRemainingMs } = createSample()
      cold.recordEntry({ ...server, coldRemainingMs: 2500 }, true)
      expect(cold.getState(server)).to.deep.equal({ remainingMs: 2500, requestsPerSecond: 17 })
      timers.advance(1000)
      cold.recordEntry({ ...server, coldRemainingMs: 1200 }, false)
      expect(getRemainingMs()).to.equal(1200)
      cold.recordEntry({ ...server, coldRemainingMs: 0 }, false)
      expect(getRemainingMs()).to.equal(0)
    })

    // Guards against a flood of a process that has registered and stated nothing yet (FAILBACK).
    it('for coldS from when a new process is first seen during traffic and states nothing', () => {
      const { timers, cold, getRemainingMs } = createSample()
      cold.recordEntry(server, true)
      expect(getRemainingMs()).to.equal(0)
      timers.advance(5000)
      cold.recordEntry(restarted, false)
      expect(getRemainingMs(restarted)).to.equal(coldMs)
      timers.advance(1000)
      cold.recordEntry(restarted, false)
      expect(getRemainingMs(restarted)).to.equal(coldMs - 1000)
    })

    it('not for servers that were there first, that start without traffic, or that state to be warm', () => {
      const first = createSample()
      first.cold.recordEntry(server, true)
      expect(first.getRemainingMs()).to.equal(0)
      const idle = createSample({ hasTraffic: false })
      idle.cold.recordEntry(server, false)
      expect(idle.getRemainingMs()).to.equal(0)
      const stated = createSample()
      stated.cold.recordEntry({ ...server, coldRemainingMs: 0 }, false)
      expect(stated.getRemainingMs()).to.equal(0)
    })

    // Guards against a flood of a zone whose entries do not say yet that its servers are cold (FAILBACK).
    it('for coldS from the end of an evacuation, whatever the entry says', () => {
      const { timers, endedAtMs, cold, announced, getRemainingMs } = createSample()
      cold.recordEntry({ ...server, coldRemainingMs: 0 }, true)
      timers.advance(5000)
      endedAtMs.set(server.zone, timers.nowMs())
      cold.refresh()
      cold.recordEntry({ ...server, coldRemainingMs: 100 }, false)
      expect(getRemainingMs()).to.equal(coldMs)
      expect(announced).to.deep.equal(['s'])
    })

    it('for the longer time where a response and the entry differ, with one line', () => {
      const { timers, cold, lines, getRemainingMs } = createSample()
      cold.recordEntry({ ...server, coldRemainingMs: 0 }, true)
      cold.recordStatement({ server, remainingMs: 2900, text: '2900' })
      cold.recordStatement({ server, remainingMs: 2900, text: '2900' })
      expect(getRemainingMs()).to.equal(2900)
      expect(lines.filter(line => line.includes('in a response than in its entry'))).to.have.length(1)
      timers.advance(100)
      cold.recordEntry({ ...server, coldRemainingMs: 10 }, false)
      expect(getRemainingMs()).to.equal(2800)
    })
  })

  describe('after a restart', () => {
    it('are not those of the former process', () => {
      const { cold, getRemainingMs } = createSample()
      cold.recordEntry({ ...server, coldRemainingMs: 2500 }, true)
      cold.recordEntry({ ...restarted, coldRemainingMs: 0 }, false)
      expect(getRemainingMs(restarted)).to.equal(0)
    })

    // Guards against a gateway that still knows the former process and floods the new one at the same address.
    it('count for a gateway that still lists the former process', () => {
      const { cold, getRemainingMs } = createSample()
      cold.recordEntry(server, true)
      expect(cold.recordHeard(restarted, { remainingMs: 2000, requestsPerSecond: 17 })).to.equal(true)
      expect(getRemainingMs(server)).to.equal(2000)
    })
  })

  describe('that other gateways tell of', () => {
    // Guards against a time that grows with each message between two gateways, so that a server stays cold for good.
    it('are no news again beyond the time of a message, and are not passed on as own knowledge', () => {
      const { timers, cold, getRemainingMs } = createSample()
      cold.recordEntry(server, true)
      for (let count = 0; count < 100; count += 1) {
        cold.recordHeard(server, { remainingMs: Math.max(0, coldMs - timers.nowMs() + 20), requestsPerSecond: 17 })
        expect(cold.getOwnState(server)).to.equal(undefined)
        timers.advance(20)
      }
      expect(getRemainingMs()).to.be.at.most(coldMs - 100 * 20 + 40)
    })
  })

  describe('with odd statements', () => {
    it('are cut to a longest time, with one line', () => {
      const { cold, lines, getRemainingMs } = createSample()
      cold.recordEntry({ ...server, coldRemainingMs: 1e12 }, true)
      cold.recordEntry({ ...server, coldRemainingMs: 1e12 }, false)
      expect(getRemainingMs()).to.equal(maxColdMs)
      expect(lines.filter(line => line.includes('the time is cut'))).to.have.length(1)
    })

    it('are not cold by what cannot be read, with one line each', () => {
      const { cold, lines, getRemainingMs } = createSample()
      for (let count = 0; count < 3; count += 1) {
        cold.recordEntry({ ...server, invalidCold: '"-1"' }, true)
        cold.recordStatement({ server, remainingMs: undefined, text: 'soon' })
      }
      expect(getRemainingMs()).to.equal(0)
      expect(lines.filter(line => line.includes('is ignored'))).to.have.length(2)
    })

    it('are never cold where the configuration says so', () => {
      const { cold, lines, getRemainingMs } = createSample({ isNeverCold: true })
      cold.recordEntry({ ...server, coldRemainingMs: 2000 }, true)
      expect(cold.recordHeard(server, { remainingMs: 2000, requestsPerSecond: 17 }) && getRemainingMs() > 0).to.equal(false)
      expect(lines.filter(line => line.includes('by the configuration'))).to.have.length(1)
    })
  })

  it('are logged once when they become cold and once when they become warm', () => {
    const { timers, cold, lines } = createSample()
    cold.recordEntry({ ...server, coldRemainingMs: 2000 }, true)
    cold.recordEntry({ ...server, coldRemainingMs: 1500 }, false)
    expect(cold.countCold()).to.equal(1)
    timers.advance(5000)
    expect(lines).to.deep.equal(['A server is cold.', 'A server is no longer cold.'])
    expect(cold.countCold()).to.equal(0)
  })
})
