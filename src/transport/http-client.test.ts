import { createServer as createTcpServer, type AddressInfo, type Server, type Socket } from 'node:net'

import { expect } from 'chai'
import { buildConnector } from 'undici'

import { createVirtualTimerService } from '../shared/virtual-timer-service.js'
import { createHttpClient, type HttpClient } from './http-client.js'
import { TransportErrorKind } from './transport-error.js'

const okResponse = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

interface RawServer {
  readonly origin: string
  readonly connectionCount: () => number
  readonly requestCount: () => number
  close (): void
}

/** Starts a TCP server that calls the listener with the socket for each request. */
async function startRawServer (onRequest: (socket: Socket) => void): Promise<RawServer> {
  let connectionCount = 0
  let requestCount = 0
  const sockets = new Set<Socket>()
  const server: Server = createTcpServer(socket => {
    connectionCount += 1
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('data', () => {
      requestCount += 1
      onRequest(socket)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    connectionCount: () => connectionCount,
    requestCount: () => requestCount,
    close () {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

/** undici returns a connection to its pool some turns of the event loop after the end of the response. */
async function waitUntilConnectionIsIdle (): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    await new Promise(resolve => { setImmediate(resolve) })
  }
}

describe('HTTP client', () => {
  let server: RawServer | undefined
  let client: HttpClient | undefined

  afterEach(async () => {
    await client?.close()
    server?.close()
  })

  function send (origin: string, timeoutMs = 5000) {
    return client!.send({ origin, method: 'POST', path: '/', body: 'work', timeoutMs, maxResponseBytes: 1000 })
  }

  describe('NotSent', () => {
    it('is returned for a refused connection', async () => {
      server = await startRawServer(() => {})
      const { origin } = server
      server.close()
      client = createHttpClient()
      const result = await send(origin)
      expect(result.isOk ? undefined : result.error.kind).to.equal(TransportErrorKind.NotSent)
    })

    it('is returned for a timeout while connecting, and the request is not written when the connection opens later', async () => {
      server = await startRawServer(socket => socket.write(okResponse))
      const timers = createVirtualTimerService()
      const open = buildConnector({})
      let openHeld: (() => void) | undefined
      const isWaiting = new Promise<void>(resolve => {
        client = createHttpClient({
          timers,
          connect (options, callback) {
            if (openHeld !== undefined) return open(options, callback)
            openHeld = () => open(options, callback)
            resolve()
          }
        })
      })
      const pending = send(server.origin, 1000)
      await isWaiting
      timers.advance(1000)
      const result = await pending
      expect(result.isOk ? undefined : result.error.kind).to.equal(TransportErrorKind.NotSent)

      openHeld?.()
      const second = await send(server.origin)
      expect(second.isOk).to.equal(true)
      expect(server.requestCount()).to.equal(1)
    })

    it('is returned for a malformed request', async () => {
      client = createHttpClient()
      const result = await client.send({ origin: 'http://127.0.0.1:1', method: 'POST', path: 'no slash', timeoutMs: 1000, maxResponseBytes: 1000 })
      expect(result.isOk ? undefined : result.error.kind).to.equal(TransportErrorKind.NotSent)
    })
  })

  describe('a request that may have arrived', () => {
    it('fails with ConnectionLost when the server resets the connection after bytes were written', async () => {
      server = await startRawServer(socket => socket.resetAndDestroy())
      client = createHttpClient()
      const result = await send(server.origin)
      expect(result.isOk ? undefined : result.error.kind).to.equal(TransportErrorKind.ConnectionLost)
      expect(server.requestCount()).to.equal(1)
    })

    it('fails with ConnectionLost when the response is truncated', async () => {
      server = await startRawServer(socket => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok'))
      client = createHttpClient()
      const result = await send(server.origin)
      expect(result.isOk ? undefined : result.error.kind).to.equal(TransportErrorKind.ConnectionLost)
    })

    // Guards against a caller that gets a status that is none as an answer, or waits for another one until its timeout (MIXED).
    for (const status of ['000', '099', '101', '600', '999', '20', '1000']) {
      it(`fails with ConnectionLost at once when the status of the response is ${status}, also after an informational response`, async () => {
        const heads = ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'].map(informational => `${informational}HTTP/1.1 ${status} Odd\r\n`)
        for (const bytes of heads.flatMap(head => [`${head}content-length: 2\r\n\r\nok`, `${head}\r\n`])) {
          server = await startRawServer(socket => socket.write(bytes))
          client = createHttpClient()
          const startedAtMs = performance.now()
          const result = await send(server.origin)
          expect(result.isOk ? result.value.statusCode : result.error.kind).to.equal(TransportErrorKind.ConnectionLost)
          expect(performance.now() - startedAtMs).to.be.lessThan(2000)
          expect(server.requestCount()).to.equal(1)
          await client.close()
          server.close()
        }
      })
    }

    for (const { name, head } of [{ name: 'ends with its connection', head: 'HTTP/1.1 200 OK\r\n\r\n' }, { name: 'ends with its connection, which it says', head: 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n' }]) {
      for (const body of ['', 'half']) {
        it(`fails with ConnectionLost when a reset ends a response that ${name}, after a body of ${body.length} bytes`, async () => {
          server = await startRawServer(socket => {
            socket.write(head + body)
            setTimeout(() => socket.resetAndDestroy(), 50)
          })
          client = createHttpClient()
          const result = await send(server.origin)
          expect(result.isOk ? result.value.body.toString() : result.error.kind).to.equal(TransportErrorKind.ConnectionLost)
        })
      }
    }

    // Guards against a caller that gets a body that nobody decoded (MIXED).
    for (const coding of ['gzip', 'chunke', 'gzip, chunked', 'chunked\r\nTransfer-Encoding: chunked', '']) {
      it(`fails with ConnectionLost when the transfer coding of the response is ${JSON.stringify(coding)}`, async () => {
        server = await startRawServer(socket => socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n2\r\nok\r\n0\r\n\r\n`))
        client = createHttpClient()
        const result = await send(server.origin)
        expect(result.isOk ? result.value.body.toString() : result.error.kind).to.equal(TransportErrorKind.ConnectionLost)
      })
    }

    it('fails with TimedOut when the timeout passes during the wait for the response', async () => {
      const timers = createVirtualTimerService()
      client = createHttpClient({ timers })
      let arrive = () => {}
      const hasArrived = new Promise<void>(resolve => { arrive = resolve })
      server = await startRawServer(() => arrive())
      const pending = send(server.origin, 1000)
      await hasArrived
      timers.advance(1000)
      const result = await pending
      expect(result.isOk ? undefined : result.error.kind).to.equal(TransportErrorKind.TimedOut)
    })

    it('fails with ConnectionLost, without a retry, when the server resets a reused connection', async () => {
      let requestCount = 0
      server = await startRawServer(socket => {
        requestCount += 1
        if (requestCount === 1) socket.write(okResponse)
        else socket.resetAndDestroy()
      })
      client = createHttpClient()
      expect((await send(server.origin)).isOk).to.equal(true)
      await waitUntilConnectionIsIdle()
      const second = await send(server.origin)
      expect(second.isOk ? undefined : second.error.kind).to.equal(TransportErrorKind.ConnectionLost)
      expect(server.connectionCount()).to.equal(1)
      expect(server.requestCount()).to.equal(2)
    })
  })

  describe('the limit on a response', () => {
    const respond = (size: number) => (socket: Socket) => socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`)

    it('accepts a body of exactly this size', async () => {
      server = await startRawServer(respond(1000))
      client = createHttpClient()
      const result = await send(server.origin)
      expect(result.isOk ? result.value.body.length : result.error).to.equal(1000)
    })

    it('fails a larger one with ConnectionLost, and the request is not sent again', async () => {
      server = await startRawServer(respond(1001))
      client = createHttpClient()
      const result = await send(server.origin)
      expect(result.isOk ? undefined : result.error).to.deep.equal({
        kind: TransportErrorKind.ConnectionLost,
        reason: `call to ${server.origin} failed: the response is larger than 1000 bytes`
      })
      await send(server.origin)
      expect(server.requestCount()).to.equal(2)
    })
  })

  describe('connections', () => {
    it('are new for each call when they are not reused', async () => {
      server = await startRawServer(socket => socket.write(okResponse))
      client = createHttpClient({ reusesConnections: false })
      expect((await send(server.origin)).isOk).to.equal(true)
      expect((await send(server.origin)).isOk).to.equal(true)
      expect(server.connectionCount()).to.equal(2)
    })
  })
})
