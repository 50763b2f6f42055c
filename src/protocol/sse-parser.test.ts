import { expect } from 'chai'

import { createSseParser } from './sse-parser.js'

describe('SSE parser', () => {
  const stream = 'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: lines\r\n\r\n: comment\n\ndata: three\n\n'

  for (const size of [1, 2, 3, 7, 1000]) {
    it(`returns the data of events that arrive in chunks of ${size}`, () => {
      const parser = createSseParser(1000)
      const data: string[] = []
      for (let start = 0; start < stream.length; start += size) {
        const result = parser.push(stream.slice(start, start + size))
        if (result.isOk) data.push(...result.value)
      }
      expect(data).to.deep.equal(['one', 'two\nlines', 'three'])
    })
  }

  it('refuses an event that is too large, complete or not', () => {
    expect(createSseParser(20).push(`data: ${'x'.repeat(30)}`).isOk).to.equal(false)
    expect(createSseParser(20).push(`data: ${'x'.repeat(30)}\n\n`).isOk).to.equal(false)
    expect(createSseParser(20).push('data: short\n\ndata: short\n\ndata: short\n\n').isOk).to.equal(true)
  })

  it('reads a large event in small chunks without searching it again for each of them', () => {
    const chunkCount = 40_000
    const chunk = 'x'.repeat(64)
    const parser = createSseParser(chunkCount * chunk.length + 10)
    const startedAtMs = performance.now()
    parser.push('data: ')
    for (let count = 0; count < chunkCount; count += 1) parser.push(chunk)
    const result = parser.push('\n\n')
    expect(result.isOk && result.value[0]?.length).to.equal(chunkCount * chunk.length)
    // Searching the 2.5 MB again for each chunk takes a minute.
    expect(performance.now() - startedAtMs).to.be.lessThan(5000)
  })
})
