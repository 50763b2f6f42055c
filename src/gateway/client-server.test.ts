import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { findFreePorts } from '../testing/free-ports.js'
import { ConnectionEnd, type ClientExchange, type IncompleteResponse } from './client-connection.js'
import { createClientServer, type ClientServer, type ClientServerOptions } from './client-server.js'

const request = 'GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n'
const post = 'POST /a HTTP/1.1\r\nHost: h.example\r\n'
const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

const quietLimitMs = 1000

interface Client {
  readonly socket: net.Socket
  text: string
  isClosed: boolean
}

function sleep (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}

async function waitFor (isDone: () => boolean): Promise<void> {
  while (!isDone()) await sleep(5)
}

describe('client server', () => {
  let port = 0
  let server: ClientServer
  let incomplete: IncompleteResponse[]
  let exchanges: ClientExchange[]
  let clients: Client[]
  /** What the gateway does with a request. */
  let handle: (exchange: ClientExchange) => void

  beforeEach(() => {
    incomplete = []
    exchanges = []
    clients = []
    handle = ({ response }) => { response.end('whole') }
  })

  afterEach(async () => {
    for (const { socket } of clients) socket.destroy()
    await server.stop(quietLimitMs)
  })

  async function start (options: Partial<ClientServerOptions> = {}, startLimits = limits): Promise<void> {
    const [freePort = 0] = await findFreePorts(1)
    port = freePort
    server = createClientServer({
      address: { host: '127.0.0.1', port },
      maxHeaderBytes: limits.maxHeaderBytes,
      timers: createSystemTimerService(),
      handle (exchange) {
        exchanges.push(exchange)
        handle(exchange)
      },
      onIncomplete: ended => incomplete.push(ended),
      ...options
    })
    await server.start()
    server.applyLimits(startLimits)
  }

  async function connect (): Promise<Client> {
    const client: Client = { socket: net.connect({ port, host: '127.0.0.1', allowHalfOpen: true }), text: '', isClosed: false }
    const recordClose = () => { client.isClosed = true }
    client.socket.on('error', () => {})
    client.socket.on('data', chunk => { client.text += chunk })
    client.socket.on('end', recordClose)
    client.socket.on('close', recordClose)
    await once(client.socket, 'connect')
    clients.push(client)
    return client
  }

  /** Sends a request and waits for the whole response. */
  async function exchange (client: Client): Promise<void> {
    const { length } = client.text
    client.socket.write(request)
    await waitFor(() => client.text.slice(length).includes('whole'))
  }

  describe('responses that were not completed', () => {
    beforeEach(async () => {
      handle = ({ response, setMustComplete }) => {
        setMustComplete(false)
        response.write('start')
      }
      await start()
    })

    async function waitForEnd (): Promise<ConnectionEnd | undefined> {
      await waitFor(() => incomplete.length > 0)
      return incomplete[0]?.endedBy
    }

    it('names the gateway when it gives a response up', async () => {
      handle = ({ response }) => {
        response.write('start')
        response.destroy()
      }
      const { socket } = await connect()
      socket.write(request)
      expect(await waitForEnd()).to.equal(ConnectionEnd.Gateway)
    })

    it('names the client when it closes or resets its connection', async () => {
      for (const close of [(socket: net.Socket) => socket.end(), (socket: net.Socket) => socket.resetAndDestroy()]) {
        incomplete = []
        const { socket } = await connect()
        socket.write(request)
        await once(socket, 'data')
        close(socket)
        expect(await waitForEnd()).to.equal(ConnectionEnd.Client)
      }
    })

    it('names the HTTP server when a response has begun and the rest of its request is no body', async () => {
      const { socket } = await connect()
      socket.write(`${post}Transfer-Encoding: chunked\r\n\r\n`)
      await once(socket, 'data')
      socket.write('no chunk\r\n')
      expect(await waitForEnd()).to.equal(ConnectionEnd.HttpServer)
      expect(incomplete[0]?.reason).to.match(/^HPE_/)
    })

    it('names the gateway when it gives up a response with bytes that are no request behind it', async () => {
      const { socket } = await connect()
      socket.write(request)
      await once(socket, 'data')
      socket.write('no request\r\n\r\n')
      await sleep(20)
      expect(incomplete).to.eql([])
      exchanges[0]?.response.destroy()
      expect(await waitForEnd()).to.equal(ConnectionEnd.Gateway)
    })

    it('are counted and reported once each when a client leaves with several requests sent', async () => {
      const client = await connect()
      client.socket.write(request.repeat(3))
      await waitFor(() => server.countInFlight() === 3)
      client.socket.destroy()
      await waitFor(() => server.countInFlight() === 0)
      expect(incomplete.map(({ endedBy }) => endedBy)).to.eql(Array.from({ length: 3 }, () => ConnectionEnd.Client))
    })
  })

  describe('refusals of bytes that are no request', () => {
    it('wait for the responses to the whole requests before them', async () => {
      handle = ({ response }) => { setTimeout(() => response.end('whole'), 50) }
      await start()
      const client = await connect()
      client.socket.write(`${request}${request}no request\r\n\r\n`)
      await waitFor(() => client.isClosed)
      expect(client.text.match(/HTTP\/1\.1 \d+/g)).to.eql(['HTTP/1.1 200', 'HTTP/1.1 200'])
      expect(client.text).to.match(/Connection: close[^]*whole$/)
      expect(incomplete).to.eql([])
    })

    it('reach the client in the place of a request whose body breaks off', async () => {
      handle = ({ request: { method }, response }) => { if (method === 'GET') setTimeout(() => response.end('whole'), 50) }
      await start()
      const client = await connect()
      client.socket.write(`${request}${post}Transfer-Encoding: chunked\r\n\r\nno chunk\r\n`)
      await waitFor(() => client.isClosed)
      expect(client.text.match(/HTTP\/1\.1 \d+/g)).to.eql(['HTTP/1.1 200', 'HTTP/1.1 400'])
      expect(exchanges).to.have.length(1)
    })

    it('answer CONNECT without harm to the response in progress', async () => {
      handle = ({ response }) => { setTimeout(() => response.end('whole'), 50) }
      await start()
      const client = await connect()
      client.socket.write(`${request}CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n`)
      await waitFor(() => client.isClosed)
      expect(client.text).to.match(/^HTTP\/1\.1 200 [^]*whole/)
      expect(incomplete).to.eql([])
    })
  })

  describe('a client that closes its sending half', () => {
    it('does not keep its connection when it is gone by the time of the response', async () => {
      handle = ({ response, setMustComplete }) => {
        setMustComplete(true)
        setTimeout(() => response.end('x'.repeat(8_000_000)), 100)
      }
      await start()
      const client = await connect()
      client.socket.end(request)
      await waitFor(() => exchanges.length === 1)
      client.socket.resetAndDestroy()
      await waitFor(() => server.countInFlight() === 0)
      expect(exchanges[0]?.request.socket.destroyed).to.equal(true)
      expect(incomplete.map(({ endedBy }) => endedBy)).to.eql([ConnectionEnd.Client])
    })

    it('is refused when its request is not whole', async () => {
      handle = () => {}
      await start()
      const client = await connect()
      client.socket.end(`${post}Content-Length: 10\r\n\r\nhalf`)
      await waitFor(() => client.isClosed)
      expect(client.text).to.match(/^HTTP\/1\.1 400 /)
      expect(server.countInFlight()).to.equal(0)
    })
  })

  describe('idle connections', () => {
    it('are told the configured limit and closed only after a margin', async () => {
      await start({}, { ...limits, idleTimeoutMs: 1000 })
      const client = await connect()
      await exchange(client)
      expect(client.text).to.match(/Keep-Alive: timeout=1\r\n/)
      await sleep(1800)
      await exchange(client)
      const idleSinceMs = Date.now()
      await waitFor(() => client.isClosed)
      expect(Date.now() - idleSinceMs).to.be.within(2900, 4500)
    })

    it('are not told a limit of less than a second, which would read as none', async () => {
      await start({}, { ...limits, idleTimeoutMs: 500 })
      const client = await connect()
      await exchange(client)
      expect(client.text).to.not.match(/Keep-Alive: timeout/)
    })

    it('stay open for as long as they were told when the limit is lowered before the response ends', async () => {
      handle = ({ response }) => { setTimeout(() => response.end('whole'), 50) }
      await start({}, { ...limits, idleTimeoutMs: 2000 })
      const client = await connect()
      client.socket.write(request)
      await waitFor(() => exchanges.length === 1)
      server.applyLimits({ ...limits, idleTimeoutMs: 100 })
      await waitFor(() => client.text.includes('whole'))
      const [, toldS = '0'] = /Keep-Alive: timeout=(\d+)/.exec(client.text) ?? []
      await sleep(Number(toldS) * 1000 - 100)
      await exchange(client)
    })

    it('stay open for a raised limit', async () => {
      await start({}, { ...limits, idleTimeoutMs: 100 })
      const client = await connect()
      await exchange(client)
      server.applyLimits({ ...limits, idleTimeoutMs: 3500 })
      await sleep(3400)
      await exchange(client)
    })

    it('are not refused for a slow head while nothing has been sent', async () => {
      await start({}, { ...limits, headerTimeoutMs: 200, idleTimeoutMs: 2000 })
      const client = await connect()
      await sleep(1500)
      await exchange(client)
      expect(client.text).to.match(/^HTTP\/1\.1 200 /)
    })
  })

  describe('a changed limit on heads', () => {
    it('does not cut a head that is arriving under the former one', async () => {
      await start({}, { ...limits, headerTimeoutMs: 2000 })
      const client = await connect()
      client.socket.write(request.slice(0, 20))
      server.applyLimits({ ...limits, headerTimeoutMs: 100 })
      await sleep(1500)
      client.socket.write(request.slice(20))
      await waitFor(() => client.text.includes('whole'))
    })

    it('takes effect although configurations follow each other', async () => {
      await start({}, { ...limits, headerTimeoutMs: 800 })
      for (let round = 0; round < 10; round += 1) {
        server.applyLimits({ ...limits, headerTimeoutMs: 100, idleTimeoutMs: 15_000 + round })
        await sleep(100)
      }
      const client = await connect()
      const startedAtMs = Date.now()
      client.socket.write(request.slice(0, 20))
      await waitFor(() => client.isClosed)
      expect(Date.now() - startedAtMs).to.be.lessThan(1000)
      expect(client.text).to.match(/^HTTP\/1\.1 408 /)
    })
  })

  describe('bytes without end', () => {
    const maxSentBytes = 2_000_000

    /** Sends until the server closes; fails by the test's timeout if it does not. Returns the bytes sent. */
    async function sendUntilClosed (client: Client, head: string, piece: string, intervalMs: number): Promise<number> {
      let sentBytes = 0
      client.socket.write(head)
      while (!client.isClosed) {
        if (client.socket.writableLength === 0) {
          client.socket.write(piece)
          sentBytes += piece.length
        }
        await sleep(intervalMs)
      }
      return sentBytes
    }

    for (const { name, head, piece, status } of [
      { name: 'a head', head: 'GET /a HTTP/1.1\r\nHost: h.example\r\n', piece: `X-Long: ${'x'.repeat(1000)}\r\n`, status: 431 },
      { name: 'a header', head: 'GET /a HTTP/1.1\r\nHost: h.example\r\nX-Long: ', piece: 'x'.repeat(1000), status: 431 },
      { name: 'a request line', head: 'GET /', piece: 'x'.repeat(1000), status: 431 },
      { name: 'trailers', head: `${post}Transfer-Encoding: chunked\r\n\r\n0\r\n`, piece: `X-Long: ${'x'.repeat(1000)}\r\n`, status: 431 },
      { name: 'a chunk extension', head: `${post}Transfer-Encoding: chunked\r\n\r\n5;`, piece: 'x'.repeat(1000), status: 400 }
    ]) {
      it(`are refused by their number: ${name}`, async () => {
        handle = ({ request: { headers }, response }) => { if (headers['transfer-encoding'] === undefined) response.end('whole') }
        await start()
        const client = await connect()
        expect(await sendUntilClosed(client, head, piece, 1)).to.be.lessThan(maxSentBytes)
        expect(client.text).to.match(new RegExp(`^HTTP/1\\.1 ${status} `))
        client.socket.destroy()
        await waitFor(() => server.countInFlight() === 0)
      })
    }

    for (const { name, head, piece } of [
      { name: 'a head', head: 'GET /a HTTP/1.1\r\n', piece: 'X-Slow: 1\r\n' },
      { name: 'empty lines', head: '', piece: '\r\n' },
      { name: 'a body', head: `${post}Content-Length: 1000000\r\n\r\n`, piece: 'x' },
      { name: 'chunks with extensions', head: `${post}Transfer-Encoding: chunked\r\n\r\n`, piece: `1;${'x'.repeat(1000)}\r\nx\r\n` }
    ]) {
      it(`are refused by their time, when they come slowly: ${name}`, async () => {
        handle = ({ request: incoming }) => { incoming.resume() }
        await start({ bodyLimitMs: 500 }, { ...limits, headerTimeoutMs: 500 })
        const client = await connect()
        const startedAtMs = Date.now()
        await sendUntilClosed(client, head, piece, 50)
        expect(Date.now() - startedAtMs).to.be.lessThan(2000)
        expect(client.text).to.match(/^HTTP\/1\.1 408 /)
        client.socket.destroy()
        await waitFor(() => server.countInFlight() === 0)
      })
    }

    it('do not keep a connection whose last response was sent', async () => {
      handle = ({ response }) => {
        response.shouldKeepAlive = false
        response.end('whole')
      }
      await start()
      for (const piece of ['x', 'x'.repeat(500_000)]) {
        const client = await connect()
        client.socket.write(`${post}Content-Length: 1000000000\r\n\r\n`)
        const writer = setInterval(() => { if (client.socket.writableLength === 0) client.socket.write(piece) }, 5)
        await waitFor(() => client.socket.destroyed)
        clearInterval(writer)
        expect(client.text).to.match(/whole$/)
      }
    })

    it('do not keep a connection idle for longer when they are empty lines', async () => {
      await start({}, { ...limits, headerTimeoutMs: 500, idleTimeoutMs: 100 })
      const client = await connect()
      await exchange(client)
      await sleep(100)
      await sendUntilClosed(client, '', '\r\n', 100)
    })

    it('that a client does not read do not stay in memory', async () => {
      handle = ({ response }) => { response.end('x'.repeat(16_000_000)) }
      await start({ sendStallLimitMs: 300 })
      const client = await connect()
      client.socket.pause()
      client.socket.write(request)
      await waitFor(() => incomplete.length === 1)
      expect(incomplete[0]?.endedBy).to.equal(ConnectionEnd.HttpServer)
    })
  })

  describe('the stop', () => {
    it('lets a response be read that was made before it', async () => {
      handle = ({ response }) => { response.end(`${'x'.repeat(16_000_000)}whole`) }
      await start()
      const client = await connect()
      client.socket.pause()
      client.socket.write(request)
      await waitFor(() => exchanges.length === 1)
      await sleep(50)
      const stopped = server.stop(quietLimitMs)
      await sleep(50)
      client.socket.resume()
      await waitFor(() => client.isClosed)
      expect(client.text.endsWith('whole')).to.equal(true)
      await stopped
    })

    it('asks clients to close after the responses that are due at its begin', async () => {
      handle = ({ response }) => { setTimeout(() => response.end('whole'), 50) }
      await start()
      const client = await connect()
      client.socket.write(request)
      await waitFor(() => exchanges.length === 1)
      server.beginDrain()
      await waitFor(() => client.isClosed)
      expect(client.text).to.match(/Connection: close\r\n[^]*whole$/)
    })

    it('answers all requests that were sent at once', async () => {
      handle = ({ response }) => { setTimeout(() => response.end('whole'), 50) }
      await start()
      const client = await connect()
      client.socket.write(request.repeat(3))
      await waitFor(() => server.countInFlight() === 3)
      const stopped = server.stop(quietLimitMs)
      await waitFor(() => client.isClosed)
      expect(client.text.match(/whole/g)).to.have.length(3)
      await stopped
    })
  })
})
