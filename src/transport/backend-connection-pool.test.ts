import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool, ExchangeFailureKind, type BackendConnectionPool } from './backend-connection-pool.js'

/** Runs one request against a server that acts on each connection, and returns how the exchange went. */
async function exchangeWith (connections: BackendConnectionPool, port: number, isDedicated = true): Promise<string[]> {
  return new Promise(resolve => {
    const heard: string[] = []
    connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated }, {
      onHead: head => heard.push(`head ${head.statusCode}`),
      onData: chunk => heard.push(`data ${chunk.toString()}`),
      onEnd: () => resolve([...heard, 'end']),
      onFailure: failure => resolve([...heard, failure.kind])
    })
  })
}

describe('server exchange', () => {
  let connections: BackendConnectionPool
  let server: net.Server
  let act: (socket: net.Socket, requestCount: number) => void
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
        act(socket, requestCount)
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

  describe('an answer without a length', () => {
    it('is whole when the connection ends in order', async () => {
      act = socket => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole')
      expect(await exchangeWith(connections, getPort())).to.deep.equal(['head 200', 'data whole', 'end'])
    })

    it('is lost when the connection is reset, also together with the last bytes', async () => {
      act = socket => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart')
        socket.resetAndDestroy()
      }
      expect((await exchangeWith(connections, getPort())).at(-1)).to.equal(ExchangeFailureKind.Lost)
    })
  })

  describe('an answer that ends early', () => {
    it('is lost with a length', async () => {
      act = socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart')
      expect((await exchangeWith(connections, getPort())).at(-1)).to.equal(ExchangeFailureKind.Lost)
    })

    it('is lost in chunks', async () => {
      act = socket => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n')
      expect((await exchangeWith(connections, getPort())).at(-1)).to.equal(ExchangeFailureKind.Lost)
    })
  })

  describe('bytes after a whole answer', () => {
    it('never answer the next request on the connection', async () => {
      act = (socket, requestCount) => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${requestCount}`)
        setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'), 5)
      }
      expect(await exchangeWith(connections, getPort(), false)).to.deep.equal(['head 200', 'data 1', 'end'])
      await new Promise(resolve => setTimeout(resolve, 40))
      expect(await exchangeWith(connections, getPort(), false)).to.deep.equal(['head 200', 'data 1', 'end'])
      expect(connectionCount).to.equal(2)
    })
  })

  describe('a server that is not there', () => {
    it('proves that nothing was sent', async () => {
      const port = getPort()
      server.close()
      await once(server, 'close')
      expect(await exchangeWith(connections, port)).to.deep.equal([ExchangeFailureKind.NotSent])
      server.listen(0, '127.0.0.1')
      await once(server, 'listening')
    })
  })
})
