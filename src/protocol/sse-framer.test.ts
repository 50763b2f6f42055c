import { expect } from 'chai'

import { createSseFramer } from './sse-framer.js'

describe('SSE framer', () => {
  const stream = 'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: comment\ndata: three\n\n'

  for (const size of [1, 2, 3, 7, 1000]) {
    it(`preserves every byte of complete events that arrive in chunks of ${size}`, () => {
      const framer = createSseFramer()
      const bytes = Buffer.from(stream)
      const events = []
      for (let start = 0; start < bytes.length; start += size) events.push(...framer.push(bytes.subarray(start, start + size)))
      expect(Buffer.concat(events.map(event => event.bytes)).toString()).to.equal(stream)
      expect(events.map(event => event.id)).to.deep.equal(['1', '2', undefined])
      expect(framer.hasPartialEvent()).to.equal(false)
    })
  }

  describe('the limit on an event', () => {
    const limit = 100
    const small = 'data: small\n\n'

    /** An event of this many bytes. */
    const createEvent = (byteCount: number) => `data: ${'x'.repeat(byteCount - 8)}\n\n`

    for (const size of [1, 7, 1000]) {
      describe(`with chunks of ${size}`, () => {
        function push (text: string) {
          const framer = createSseFramer({ maxEventBytes: limit })
          const bytes = Buffer.from(text)
          const events = []
          for (let start = 0; start < bytes.length; start += size) events.push(...framer.push(bytes.subarray(start, start + size)))
          return { framer, text: Buffer.concat(events.map(event => event.bytes)).toString() }
        }

        it('accepts an event of exactly this size', () => {
          const { framer, text } = push(small + createEvent(limit) + small)
          expect(text).to.equal(small + createEvent(limit) + small)
          expect(framer.isTooLarge()).to.equal(false)
        })

        it('returns the events before a larger one, and nothing from there on', () => {
          const { framer, text } = push(small + createEvent(limit + 1) + small)
          expect(text).to.equal(small)
          expect(framer.isTooLarge()).to.equal(true)
          expect(framer.hasPartialEvent()).to.equal(true)
        })

        it('does not wait for the end of a larger event', () => {
          const { framer } = push(small + 'x'.repeat(limit + 1))
          expect(framer.isTooLarge()).to.equal(true)
        })
      })
    }

    it('bounds memory when an event never ends and arrives byte by byte', () => {
      const framer = createSseFramer({ maxEventBytes: 500_000 })
      const before = process.memoryUsage()
      for (let count = 0; count < 1_000_000; count += 1) framer.push(Buffer.from('x'))
      const after = process.memoryUsage()
      expect(framer.isTooLarge()).to.equal(true)
      expect(after.heapUsed + after.external - before.heapUsed - before.external).to.be.lessThan(32_000_000)
    })
  })

  it('buffers an incomplete event', () => {
    const framer = createSseFramer()
    expect(framer.push(Buffer.from('id: 1\ndata: on'))).to.deep.equal([])
    expect(framer.hasPartialEvent()).to.equal(true)
  })

  it('reads a large event in small chunks without searching it again for each of them', () => {
    const framer = createSseFramer()
    const chunk = Buffer.alloc(64, 'x')
    const chunkCount = 40_000
    framer.push(Buffer.from('id: 9\ndata: '))
    const startedAtMs = performance.now()
    for (let count = 0; count < chunkCount; count += 1) framer.push(chunk)
    const events = framer.push(Buffer.from('\n\n'))
    expect(events[0]?.id).to.equal('9')
    expect(events[0]?.bytes.length).to.equal(chunkCount * chunk.length + 14)
    // Searching the 2.5 MB again for each chunk takes half a minute.
    expect(performance.now() - startedAtMs).to.be.lessThan(5000)
  })
})
