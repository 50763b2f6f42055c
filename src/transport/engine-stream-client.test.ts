import { createServer, type AddressInfo } from 'node:net'

import { expect } from 'chai'

import { EngineStreamErrorKind, ModelRequestShape, type EngineStreamRequest } from '../coordination/ports/engine-streams.js'
import { describeEndlessReader } from '../testing/endless-reader-tests.js'
import { EndlessKind } from '../testing/endless-server.js'
import { createEngineStreamClient, type EngineStreamClient } from './engine-stream-client.js'

const request: EngineStreamRequest = { shape: ModelRequestShape.Chat, groupId: 'g', epoch: 1, requestId: 'r', body: {}, priority: 1, resumeFromToken: 0 }

describe('engine stream client', () => {
  it('does not take a reset for the end of a stream that has no length', async () => {
    const server = createServer(socket => socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n')
      setTimeout(() => socket.resetAndDestroy(), 50)
    }))
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const client = createEngineStreamClient({ connectTimeoutMs: 500, idleTimeoutMs: 500 })
    const { done, value } = await client.open(`127.0.0.1:${(server.address() as AddressInfo).port}`, request, new AbortController().signal).next()
    expect({ done, kind: value !== undefined && 'kind' in value ? value.kind : undefined }).to.eql({ done: true, kind: EngineStreamErrorKind.Broken })
    await client.close()
    server.close()
  })
})

describe('engine stream client: a status that HTTP does not have', () => {
  // Guards against an answer that is none, and against a wait for another one that never comes.
  for (const status of ['000', '099', '101', '600', '999']) {
    it(`breaks the stream at once: ${status}`, async () => {
      const server = createServer(socket => {
        socket.on('error', () => {})
        socket.once('data', () => { socket.write(`HTTP/1.1 ${status} Odd\r\n\r\n`) })
      })
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      const client = createEngineStreamClient({ connectTimeoutMs: 500, idleTimeoutMs: 5000 })
      const startedAtMs = performance.now()
      const { done, value } = await client.open(`127.0.0.1:${(server.address() as AddressInfo).port}`, request, new AbortController().signal).next()
      expect({ done, kind: value !== undefined && 'kind' in value ? value.kind : undefined }).to.eql({ done: true, kind: EngineStreamErrorKind.Broken })
      expect(performance.now() - startedAtMs).to.be.lessThan(2000)
      await client.close()
      server.close()
    })
  }
})

describe('engine stream client: bytes without end', () => {
  let client: EngineStreamClient

  before(() => { client = createEngineStreamClient({ connectTimeoutMs: 500, idleTimeoutMs: 500 }) })

  after(() => client.close())

  describeEndlessReader({
    name: 'a stream',
    // undici's timers are up to a second late; a kept connection is closed after 4 s without a request.
    timeoutMs: 5000,
    kindsLimitedByTime: [
      EndlessKind.StatusLine, EndlessKind.EmptyLines, EndlessKind.HeaderSpaces, EndlessKind.ChunkSize, EndlessKind.ChunkExtension, EndlessKind.TrailerSpaces, EndlessKind.EmptyLinesAfterLength
    ],
    async call (address) {
      const chunks = client.open(address, request, new AbortController().signal)
      for (;;) {
        const { done, value } = await chunks.next()
        if (done === true) return value === undefined
      }
    }
  })
})
