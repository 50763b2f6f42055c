import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { createLossRecord } from './loss-record.js'

describe('loss record', () => {
  it('counts restarts under one ID and missing answers, and drops them after ten seconds', () => {
    const record = createLossRecord()
    const server = makeBackendServer({ id: 'a', startedAtMs: 1 })
    record.update([server], 0)
    expect(record.countRecent('a', 0)).to.equal(0)
    record.update([{ ...server, startedAtMs: 2 }], 1000)
    record.update([{ ...server, startedAtMs: 2 }], 1200)
    record.recordLoss('a', 3000)
    expect(record.countRecent('a', 3000)).to.equal(2)
    expect(record.countRecent('a', 12_000)).to.equal(1)
    expect(record.countRecent('a', 14_000)).to.equal(0)
  })

  it('counts a missing answer and the restart that follows as one loss', () => {
    const record = createLossRecord()
    const server = makeBackendServer({ id: 'a', startedAtMs: 1 })
    record.update([server], 0)
    record.recordLoss('a', 1000)
    record.update([{ ...server, startedAtMs: 2 }], 2000)
    expect(record.countRecent('a', 2000)).to.equal(1)
    record.update([{ ...server, startedAtMs: 3 }], 3000)
    expect(record.countRecent('a', 3000)).to.equal(2)
  })

  it('counts a restart after the server had answered again', () => {
    const record = createLossRecord()
    const server = makeBackendServer({ id: 'a', startedAtMs: 1 })
    record.update([server], 0)
    record.recordLoss('a', 1000)
    record.recordRecovery('a')
    record.update([{ ...server, startedAtMs: 2 }], 2000)
    expect(record.countRecent('a', 2000)).to.equal(2)
  })
})
