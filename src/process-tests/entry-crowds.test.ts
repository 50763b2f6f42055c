import { expect } from 'chai'

import { pollUntil } from '../testing/child-program.js'
import { createChunk, readProcessUse, startCrowd, startGrpcCrowd, waitUntilIdle, type Crowd, type CrowdOptions } from '../testing/client-crowd.js'
import { startEntryProcess, type EntryProcess } from '../testing/entry-process.js'
import { clientSecret } from '../testing/test-fleet.js'

/** Memory of the VM, as the test's settings state it. */
const memoryMb = 350
const bytesPerMegabyte = 1_000_000
const maxBodyBytes = 1_048_576
const maxConnectionCount = 400
/** Connections of clients, and of operators and peers; the rest is files, sockets to servers, and those that are being closed. */
const maxDescriptorCount = maxConnectionCount + 500
const answerTimeoutMs = 30_000
/** Above the time that a crowd takes to send, the wait for the process, and the time for the answer. */
const testTimeoutMs = 120_000
const requestTimeoutMs = 5000
const largeResponseBytes = 8_000_000

const settings = {
  callers: { maxBodyBytes, maxConnectionCount, headersTimeoutMs: 2000, requestTimeoutMs: 10_000 },
  peers: { maxConnectionCount: maxConnectionCount / 2 },
  operators: { maxConnectionCount: maxConnectionCount / 2 },
  limits: { memoryMb }
}

const authorization = `Authorization: Bearer ${clientSecret}`
const largeChunkBytes = 65_520
const chunkedHead = `POST /services/quarry-orders/orders HTTP/1.1\r\nHost: a\r\n${authorization}\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n`
const announcedHead = chunkedHead.replace('Transfer-Encoding: chunked', 'Content-Length: 1000000000000')
const smallChunks = createChunk(1)
const repeat = (block: Buffer, count: number) => Buffer.concat(Array.from({ length: count }, () => block))
const request = (path: string) => Buffer.from(`GET ${path} HTTP/1.1\r\nHost: a\r\n${authorization}\r\n\r\n`)

const clientCrowds: Readonly<Record<string, Omit<CrowdOptions, 'port'>>> = {
  'bodies in large chunks that stop one byte short': {
    connectionCount: 300, head: chunkedHead, block: createChunk(largeChunkBytes), blockCount: 16, tail: Buffer.from('100\r\n' + 'x'.repeat(255))
  },
  'bodies in chunks of one byte that stop short': { connectionCount: 40, head: chunkedHead, block: repeat(smallChunks, 1000), blockCount: 80 },
  'bodies of a huge announced length': { connectionCount: 60, head: announcedHead, block: Buffer.alloc(largeChunkBytes, 'x'), blockCount: 120 },
  'bodies far over the limit that are just sent': { connectionCount: 60, head: chunkedHead, block: createChunk(largeChunkBytes), blockCount: 120 },
  'bodies in chunks of one byte under a wrong key': {
    connectionCount: 40, head: chunkedHead.replace(clientSecret, 'wrong'), block: repeat(smallChunks, 1000), blockCount: 80
  },
  'heads without end': { connectionCount: 300, head: 'GET / HTTP/1.1\r\n', block: Buffer.from('X-Line: value\r\n'.repeat(4000)), blockCount: 20 },
  'requests behind one another': { connectionCount: 100, block: repeat(request('/v1/models'), 500), blockCount: 10 },
  'requests behind one another whose responses are not read': { connectionCount: 100, block: repeat(request('/metrics'), 500), blockCount: 10, readsNothing: true },
  'clients that read nothing of large responses': { connectionCount: 60, block: request('/services/quarry-orders/prices'), blockCount: 1, readsNothing: true },
  'clients that say nothing': { connectionCount: 1000 }
}

// Each case guards against a process that runs out of memory or descriptors because a bound of one request was taken for one of the process.
describe('an entry node before a crowd', () => {
  let entry: EntryProcess
  let crowd: Crowd | undefined

  beforeEach(async () => {
    entry = await startEntryProcess({ settings, responseBytes: largeResponseBytes })
    await answerOne()
  })

  afterEach(async () => {
    crowd?.close()
    crowd = undefined
    await entry.stop()
  })

  /** Sends an ordinary request until it is answered; others may be refused meanwhile. */
  async function answerOne (): Promise<void> {
    await pollUntil('an ordinary request is answered', answerTimeoutMs, async () => {
      const response = await fetch(`http://127.0.0.1:${entry.clientPort}/v1/models`, {
        headers: { authorization: `Bearer ${clientSecret}` }, signal: AbortSignal.timeout(requestTimeoutMs)
      }).catch(() => undefined)
      await response?.text().catch(() => '')
      return response?.status === 200
    })
  }

  async function play (started: Crowd): Promise<void> {
    crowd = started
    await crowd.waitUntilSent()
    await waitUntilIdle(entry.program.processId)
    const { peakResidentBytes, descriptorCount } = readProcessUse(entry.program.processId)
    const figures = `${Math.round(peakResidentBytes / bytesPerMegabyte)} MB, ${descriptorCount} descriptors`
    if (process.env['CROWD_FIGURES'] !== undefined) console.log(`      ${figures}`)
    expect(peakResidentBytes, figures).to.be.lessThan(memoryMb * bytesPerMegabyte)
    expect(descriptorCount, figures).to.be.lessThan(maxDescriptorCount)
    await answerOne()
  }

  describe('at the port for clients', () => {
    for (const [name, options] of Object.entries(clientCrowds)) {
      it(`outlives ${name}`, () => play(startCrowd({ port: entry.clientPort, ...options })))
    }
  })

  describe('at the ports for operators and peers', () => {
    it('outlives operators\' messages that stop one byte short', () => play(startGrpcCrowd({
      port: entry.operatorPort, connectionCount: 40, callsPerConnection: 5, path: '/egretpaddle.operator.v1.OperatorService/Apply', messageBytes: 2_000_000
    })))

    it('outlives peers\' messages that stop one byte short', () => play(startGrpcCrowd({
      port: entry.peerPort, connectionCount: 20, callsPerConnection: 5, path: '/egretpaddle.peer.v1.PeerService/PushConfig', messageBytes: 4_000_000
    })))

    it('outlives operators that say nothing', () => play(startCrowd({ port: entry.operatorPort, connectionCount: 1000 })))

    it('outlives peers that say nothing', () => play(startCrowd({ port: entry.peerPort, connectionCount: 1000 })))
  })
}).timeout(testTimeoutMs)
