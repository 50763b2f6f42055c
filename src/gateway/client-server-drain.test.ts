import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { findFreePorts } from '../testing/free-ports.js'
import type { ClientExchange } from './client-connection.js'
import { createClientServer, type ClientServer } from './client-server.js'

const request = 'GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n'
const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

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

describe('client server: connections with several requests', () => {
  let port = 0
  let server: ClientServer
  let client: Client
  let exchanges: ClientExchange[]
  /** What the gateway does with a request. */
  let handle: (exchange: ClientExchange) => void

  beforeEach(async () => {
    exchanges = []
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
      onIncomplete () {}
    })
    await server.start()
    server.applyLimits(limits)
    const socket = net.connect({ port, host: '127.0.0.1' })
    client = { socket, text: '', isClosed: false }
    socket.on('error', () => {})
    socket.on('data', chunk => { client.text += chunk })
    socket.on('close', () => { client.isClosed = true })
    await once(socket, 'connect')
  })

  afterEach(async () => {
    client.socket.destroy()
    await server.stop(0)
  })

  describe('requests behind others in a drain', () => {
    it('are answered when they were sent at once, and the last response announces the close', async () => {
      handle = ({ response }) => { setTimeout(() => response.end('whole'), 50) }
      server.beginDrain()
      client.socket.write(request.repeat(3))
      await waitFor(() => client.isClosed)
      expect(client.text.match(/whole/g)).to.have.length(3)
      expect(client.text.match(/Connection: close/g)).to.have.length(1)
    })

    it('are answered when they arrive before the head of the response in progress', async () => {
      handle = ({ response }) => { setTimeout(() => response.end('whole'), 100) }
      client.socket.write(request)
      await waitFor(() => exchanges.length === 1)
      server.beginDrain()
      await sleep(20)
      client.socket.write(request)
      await waitFor(() => client.isClosed)
      expect(client.text.match(/whole/g)).to.have.length(2)
    })

    it('are answered behind a response that had begun and ends in time', async () => {
      handle = ({ response }) => {
        response.write('start')
        setTimeout(() => response.end('whole'), 100)
      }
      client.socket.write(request)
      await waitFor(() => client.text.includes('start'))
      server.beginDrain()
      client.socket.write(request)
      await waitFor(() => client.isClosed)
      expect(client.text.match(/whole/g)).to.have.length(2)
    })

    // HTTP/1.1 has responses in the order of requests, and a chunked one that is cut must not look complete.
    it('are neither run nor answered behind a response that has begun and lasts past the end', async () => {
      handle = ({ response }) => { response.write('start') }
      client.socket.write(request)
      await waitFor(() => client.text.includes('start'))
      server.beginDrain()
      client.socket.write(request)
      await waitFor(() => server.countInFlight() === 2)
      server.giveUp()
      await sleep(50)
      // The end of the process.
      exchanges[0]?.request.socket.destroy()
      await waitFor(() => client.isClosed)
      expect(client.text.match(/HTTP\/1\.1 \d+/g)).to.eql(['HTTP/1.1 200'])
      expect(client.text).to.match(/start\r\n$/)
      expect(exchanges).to.have.length(1)
    })
  })

  describe('idle times', () => {
    it('are kept as they were told last when a later response states none', async () => {
      handle = ({ response }) => { response.end('whole') }
      server.applyLimits({ ...limits, idleTimeoutMs: 4000 })
      client.socket.write(request)
      await waitFor(() => client.text.includes('whole'))
      server.applyLimits({ ...limits, idleTimeoutMs: 200 })
      client.socket.write(request)
      await waitFor(() => client.text.match(/whole/g)?.length === 2)
      expect(client.text.match(/Keep-Alive: timeout=\d+/g)).to.eql(['Keep-Alive: timeout=4'])
      await sleep(3900)
      expect(client.isClosed).to.equal(false)
    })
  })

  it('are given up with a last response that announces the close', async () => {
    handle = exchange => exchange.setMustComplete(true)
    server.beginDrain()
    client.socket.write(request.repeat(2))
    await waitFor(() => server.countInFlight() === 2)
    server.giveUp()
    await waitFor(() => client.text.match(/HTTP\/1\.1 /g)?.length === 2)
    expect(client.text.match(/HTTP\/1\.1 \d+/g)).to.deep.equal(['HTTP/1.1 504', 'HTTP/1.1 503'])
    expect(client.text.match(/Connection: close/g)).to.have.length(1)
  })

  it('are read before a stop counts their connection as quiet, also when the process was held up', async () => {
    handle = ({ response }) => { response.end('whole') }
    await sleep(50)
    void server.stop(200)
    await sleep(50)
    client.socket.write(request)
    const heldUpUntilMs = Date.now() + 400
    while (Date.now() < heldUpUntilMs);
    await waitFor(() => client.isClosed)
    expect(client.text).to.include('whole')
  })
})
