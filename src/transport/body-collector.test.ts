import { expect } from 'chai'

import { createBodyCollector } from './body-collector.js'

describe('body collector', () => {
  it('returns all chunks in order, and nothing for none', () => {
    const collector = createBodyCollector(100)
    expect(collector.toBuffer().length).to.equal(0)
    for (const part of ['a', '', 'bcd', 'e'.repeat(20)]) expect(collector.append(Buffer.from(part))).to.equal(true)
    expect(collector.toBuffer().toString()).to.equal(`abcd${'e'.repeat(20)}`)
  })

  it('accepts a body of exactly the limit, and nothing beyond it', () => {
    const collector = createBodyCollector(5)
    expect(collector.append(Buffer.from('abc'))).to.equal(true)
    expect(collector.append(Buffer.from('def'))).to.equal(false)
    expect(collector.append(Buffer.from('de'))).to.equal(true)
    expect(collector.append(Buffer.from('f'))).to.equal(false)
    expect(collector.toBuffer().toString()).to.equal('abcde')
  })

  it('does not keep a chunk object for each byte of a body that arrives byte by byte', () => {
    const collector = createBodyCollector(1_000_000)
    const before = process.memoryUsage()
    for (let count = 0; count < 1_000_000; count += 1) collector.append(Buffer.of(1))
    const after = process.memoryUsage()
    expect(collector.toBuffer().length).to.equal(1_000_000)
    // A list of a million chunks takes about 100 MB.
    expect(after.heapUsed + after.external - before.heapUsed - before.external).to.be.lessThan(60_000_000)
  })
})
