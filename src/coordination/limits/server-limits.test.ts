import { expect } from 'chai'

import type { LogFields } from '../../observability/log.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createServerLimits, StatementSource } from './server-limits.js'

const server = { id: 's', startedAtMs: 1 }

function createFixture () {
  const timers = createVirtualTimerService()
  const lines: Array<{ readonly message: string, readonly fields: LogFields }> = []
  const limits = createServerLimits({ timers, logger: { debug () {}, info: (message, fields = {}) => lines.push({ message, fields }), warn () {}, error () {} } })
  return { timers, lines, limits, hear: (limitPerSecond: number, process = server) => limits.record(process, limitPerSecond, timers.nowMs(), StatementSource.Response) }
}

describe('server limits', () => {
  describe('a response without a limit', () => {
    it('ends one that was stated before its request was sent', () => {
      const { timers, limits, hear } = createFixture()
      hear(5)
      timers.advance(100)
      expect(limits.recordEnd(server, timers.nowMs(), StatementSource.Response)).to.equal(true)
      expect(limits.getLimit(server)).to.equal(undefined)
    })

    it('leaves one that was stated after its request was sent', () => {
      const { timers, limits, hear } = createFixture()
      timers.advance(100)
      hear(5)
      expect(limits.recordEnd(server, timers.nowMs() - 50, StatementSource.Response)).to.equal(false)
      expect(limits.getLimit(server)).to.equal(5)
    })
  })

  describe('a limit heard through another gateway', () => {
    it('does not replace a later statement', () => {
      const { timers, limits, hear } = createFixture()
      timers.advance(1000)
      hear(5)
      expect(limits.record(server, 9, timers.nowMs() - 500, StatementSource.OtherGateway)).to.equal(false)
      expect(limits.getLimit(server)).to.equal(5)
    })
  })

  describe('a restart under the same id', () => {
    it('ends the limit, and a late statement of the process before it does not count', () => {
      const { limits, hear } = createFixture()
      hear(5)
      const restarted = { ...server, startedAtMs: 2 }
      expect(limits.getLimit(restarted)).to.equal(undefined)
      hear(7, restarted)
      hear(0)
      expect(limits.getLimit(restarted)).to.equal(7)
    })
  })

  describe('small changes', () => {
    it('lower the limit without a log line, and raise it once they add up', () => {
      const { limits, lines, hear } = createFixture()
      hear(10)
      expect(hear(9.5)).to.equal(false)
      expect(limits.getLimit(server)).to.equal(9.5)
      expect(hear(10)).to.equal(false)
      expect(limits.getLimit(server)).to.equal(9.5)
      expect(hear(11)).to.equal(true)
      expect(limits.getLimit(server)).to.equal(11)
      expect(lines.length).to.equal(2)
    })
  })

  it('logs what was sent to the server while it stated the limit', () => {
    const { timers, limits, lines, hear } = createFixture()
    hear(2)
    limits.countRequest(server)
    limits.countRequest(server)
    timers.advance(3000)
    limits.recordEnd(server, timers.nowMs() - 1, StatementSource.Response)
    expect(lines.map(({ message }) => message)).to.deep.equal(['A server states a limit on its requests.', 'A server no longer states a limit.'])
    expect(lines[1]?.fields).to.include({ formerLimitPerSecond: 2, sentCount: 2, durationMs: 3000 })
    expect(limits.countLimited()).to.equal(0)
  })
})
