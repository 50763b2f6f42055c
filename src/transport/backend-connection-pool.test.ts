import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool, ExchangeFailureKind, type BackendConnectionPool } from './backend-connection-pool.js'

/** Sends one request to the test's server and returns the calls of the listener in order. */
async function exchangeWith (connections: BackendConnectionPool, port: number, isDedicated = true): Promise<string[]> {
  return new Promise(resolve => {
    const calls: string[] = []
    connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated }, {
      onHead: head => calls.push(`head ${head.statusCode}`),
      onData: chunk => calls.push(`data ${chunk.toString()}`),
      onEnd: () => resolve([...calls, 'end']),
      onFailure: failure => resolve([...calls, failure.kind])
    })
  })
}

describe('backend connection pool', () => {
  let connections: BackendConnectionPool
  let server: net.Server
  let handleRequest: (socket: net.Socket, requestCount: number) => void
  let connectionCount = 0

  beforeEach(async () => {
    connections = createBackendConnectionPool({ timers: createSystemTimerService(), maxIdleConnectionsPerServer: 4 })
    connectionCount = 0
    server = net.createServer(socket => {
      connectionCount += 1
      let requestCount = 0
      socket.on('error', () => {})
      socket.on('data', () => {
        requestCount += 1
        handleRequest(socket, requestCount)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    connections.close()
    server.close()
  })

  const getPort = () => (server.address() as net.AddressInfo).port

  describe('a response without a length', () => {
    it('is complete when the connection closes in order', async () => {
      handleRequest = socket => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole')
      expect(await exchangeWith(connections, getPort())).to.deep.equal(['head 200', 'data whole', 'end'])
    })

    it('is lost when the connection is reset, also together with the last bytes', async () => {
      handleRequest = socket => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart')
        socket.resetAndDestroy()
      }
      expect((await exchangeWith(connections, getPort())).at(-1)).to.equal(ExchangeFailureKind.Lost)
    })
  })

  describe('a response that ends early', () => {
    it('is lost with a content length', async () => {
      handleRequest = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart')
      expect((await exchangeWith(connections, getPort())).at(-1)).to.equal(ExchangeFailureKind.Lost)
    })

    it('is lost with chunked transfer encoding', async () => {
      handleRequest = socket => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n')
      expect((await exchangeWith(connections, getPort())).at(-1)).to.equal(ExchangeFailureKind.Lost)
    })
  })

  describe('bytes after a complete response', () => {
    it('are never taken as the response to the next request', async () => {
      handleRequest = (socket, requestCount) => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${requestCount}`)
        setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'), 5)
      }
      expect(await exchangeWith(connections, getPort(), false)).to.deep.equal(['head 200', 'data 1', 'end'])
      await new Promise(resolve => setTimeout(resolve, 40))
      expect(await exchangeWith(connections, getPort(), false)).to.deep.equal(['head 200', 'data 1', 'end'])
      expect(connectionCount).to.equal(2)
    })
  })

  describe('a server that refuses connections', () => {
    it('gives NotSent', async () => {
      const port = getPort()
      server.close()
      await once(server, 'close')
      expect(await exchangeWith(connections, port)).to.deep.equal([ExchangeFailureKind.NotSent])
      server.listen(0, '127.0.0.1')
      await once(server, 'listening')
    })
  })
})
