import { expect } from 'chai'

import { makeBackendServer } from '../../testing/serving-samples.js'
import { createLossRecord } from './loss-record.js'

describe('loss record', () => {
  it('counts new lives under one id and times without an answer, and forgets them', () => {
    const record = createLossRecord()
    const server = makeBackendServer({ id: 'a', startedAtMs: 1 })
    record.update([server], 0)
    expect(record.countRecent('a', 0)).to.equal(0)
    record.update([{ ...server, startedAtMs: 2 }], 1000)
    record.update([{ ...server, startedAtMs: 2 }], 1200)
    record.noteLoss('a', 3000)
    expect(record.countRecent('a', 3000)).to.equal(2)
    expect(record.countRecent('a', 12_000)).to.equal(1)
    expect(record.countRecent('a', 14_000)).to.equal(0)
  })
})
