import { createServer, type AddressInfo, type Server } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import { expect } from 'chai'

import { EngineStreamErrorKind, ModelRequestShape, type EngineStreamRequest } from '../coordination/ports/engine-streams.js'
import { describeEndlessReader } from '../testing/endless-reader-tests.js'
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

describe('engine stream client: a response that ends while its reader waits', () => {
  const event = `data: ${JSON.stringify({ id: 'cmpl-r', choices: [{ text: 'x'.repeat(1000) }] })}\n\n`
  /** More than a response buffers, so that its connection is not read on until the reader goes on. */
  const laterEventCount = 66
  const bodyLength = event.length * (1 + laterEventCount)
  const lengthHeaders = `Connection: close\r\nContent-Length: ${bodyLength}\r\n`
  const readPauseMs = 300
  let server: Server
  let client: EngineStreamClient

  beforeEach(() => { client = createEngineStreamClient({ connectTimeoutMs: 500, idleTimeoutMs: 5000 }) })

  afterEach(async () => {
    await client.close()
    server.close()
  })

  /** Reads one event, pauses until the connection has ended, and reads the rest. */
  async function readSlowly (headers: string, endsInOrder: boolean): Promise<{ eventCount: number, errorKind: EngineStreamErrorKind | undefined }> {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', async () => {
        socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${event}`)
        for (let part = 0; part < 2; part += 1) {
          await sleep(50)
          socket.write(event.repeat(laterEventCount / 2))
        }
        await sleep(50)
        if (endsInOrder) socket.end()
        else socket.resetAndDestroy()
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const chunks = client.open(`127.0.0.1:${(server.address() as AddressInfo).port}`, request, new AbortController().signal)
    let eventCount = 0
    for (let next = await chunks.next(); ; next = await chunks.next()) {
      if (next.done === true) return { eventCount, errorKind: next.value?.kind }
      eventCount += 1
      if (eventCount === 1) await sleep(readPauseMs)
    }
  }

  // Each guards against an exception of the HTTP client in an event of the socket, which ends the process with all its requests.
  for (const [name, headers] of [
    ['neither a length nor chunks', ''],
    ['a length', lengthHeaders],
    ['a spoilt name of its length', `Content-Lengt: ${bodyLength}\r\n`]
  ] as const) {
    it(`is read whole when it has ${name} and the connection ends in order`, async () => {
      expect(await readSlowly(headers, true)).to.deep.equal({ eventCount: 1 + laterEventCount, errorKind: undefined })
    })

    it(`is broken, or whole by its length, when it has ${name} and the connection is reset`, async () => {
      const { eventCount, errorKind } = await readSlowly(headers, false)
      if (errorKind === undefined) expect({ headers, eventCount }).to.deep.equal({ headers: lengthHeaders, eventCount: 1 + laterEventCount })
      else expect(errorKind).to.equal(EngineStreamErrorKind.Broken)
    })
  }

  it('is broken when its length is not reached', async () => {
    expect((await readSlowly(`Connection: close\r\nContent-Length: ${bodyLength + 1}\r\n`, true)).errorKind).to.equal(EngineStreamErrorKind.Broken)
  })
})

describe('engine stream client: bytes without end', () => {
  let client: EngineStreamClient

  before(() => { client = createEngineStreamClient({ connectTimeoutMs: 500, idleTimeoutMs: 500 }) })

  after(() => client.close())

  describeEndlessReader({
    name: 'a stream',
    timeoutMs: 1000,
    async call (address) {
      const chunks = client.open(address, request, new AbortController().signal)
      for (;;) {
        const { done, value } = await chunks.next()
        if (done === true) return value === undefined
      }
    }
  })
})
