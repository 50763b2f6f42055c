import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { findFreePorts } from '../testing/free-ports.js'
import { ConnectionEnd, createClientServer, type ClientServer, type IncompleteResponse } from './client-server.js'

const request = 'GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n'

describe('client server', () => {
  describe('responses that were not completed', () => {
    let port = 0
    let server: ClientServer
    let incomplete: IncompleteResponse[]
    let destroysResponse: boolean

    beforeEach(async () => {
      incomplete = []
      destroysResponse = false
      const [freePort = 0] = await findFreePorts(1)
      port = freePort
      server = createClientServer({
        address: { host: '127.0.0.1', port },
        maxHeaderBytes: 16_384,
        handle (_request, response) {
          response.write('start')
          if (destroysResponse) response.destroy()
        },
        onIncomplete: ended => incomplete.push(ended)
      })
      await server.start()
    })

    afterEach(() => server.stop())

    async function connect (): Promise<net.Socket> {
      const socket = net.connect(port, '127.0.0.1')
      socket.on('error', () => {})
      socket.resume()
      await once(socket, 'connect')
      return socket
    }

    async function waitForEnd (): Promise<ConnectionEnd | undefined> {
      while (incomplete.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
      return incomplete[0]?.endedBy
    }

    it('names the gateway when it gives a response up', async () => {
      destroysResponse = true
      const socket = await connect()
      socket.write(request)
      expect(await waitForEnd()).to.equal(ConnectionEnd.Gateway)
    })

    it('names the client when it closes or resets its connection', async () => {
      for (const close of [(socket: net.Socket) => socket.end(), (socket: net.Socket) => socket.resetAndDestroy()]) {
        incomplete = []
        const socket = await connect()
        socket.write(request)
        await once(socket, 'data')
        close(socket)
        expect(await waitForEnd()).to.equal(ConnectionEnd.Client)
      }
    })

    it('names the HTTP server when it closes a connection for bytes that are no request', async () => {
      const socket = await connect()
      socket.write(request)
      await once(socket, 'data')
      socket.write('no request\r\n\r\n')
      expect(await waitForEnd()).to.equal(ConnectionEnd.HttpServer)
    })
  })
})
