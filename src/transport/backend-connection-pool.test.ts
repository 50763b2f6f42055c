import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool, ExchangeFailureKind, type BackendConnectionPool, type ExchangeListener } from './backend-connection-pool.js'

/** Sends one request to the test's server and returns the calls of the listener in order. */
async function exchangeWith (connections: BackendConnectionPool, port: number, isDedicated = true, rawHeaders: readonly string[] = ['Host', 'test']): Promise<string[]> {
  return new Promise(resolve => {
    const calls: string[] = []
    connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders, body: undefined, isDedicated }, {
      onHead: head => calls.push(`head ${head.statusCode}`),
      onData: chunk => calls.push(`data ${chunk.toString()}`),
      onEnd: () => resolve([...calls, 'end']),
      onFailure: failure => resolve([...calls, failure.kind])
    })
  })
}

interface PausedOutcome {
  readonly byteCount: number
  readonly outcome: string
}

/** Sends one request, pauses the exchange in its first chunk and resumes it after `pauseMs`. */
async function exchangeWithPause (connections: BackendConnectionPool, port: number, isDedicated: boolean, pauseMs = 300): Promise<PausedOutcome> {
  return new Promise(resolve => {
    let byteCount = 0
    let hasPaused = false
    const exchange = connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated }, {
      onHead () {},
      onData (chunk) {
        byteCount += chunk.length
        if (hasPaused) return
        hasPaused = true
        exchange.pause()
        setTimeout(() => exchange.resume(), pauseMs)
      },
      onEnd: () => resolve({ byteCount, outcome: 'end' }),
      onFailure: failure => resolve({ byteCount, outcome: `${failure.kind}: ${failure.reason}` })
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

  // Guards against the end of the process for a value that no header can hold.
  it('fails an exchange whose headers cannot be sent', async () => {
    expect(await exchangeWith(connections, getPort(), true, ['X-Tenant', 'Hořice'])).to.deep.equal([ExchangeFailureKind.NotSent])
  })

  // Guards against an exception in an event of a socket, which ends the process with all that it serves.
  describe('a listener that throws', () => {
    const response = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'

    for (const thrower of ['onHead', 'onData', 'onEnd', 'onFailure'] as const) {
      it(`loses its own exchange alone: ${thrower}`, async () => {
        const errors: string[] = []
        connections.close()
        connections = createBackendConnectionPool({
          timers: createSystemTimerService(), maxIdleConnectionsPerServer: 4, onListenerError: (error, request) => errors.push(`${request.requestId}: ${error.message}`)
        })
        const sockets: net.Socket[] = []
        const firstArrived = new Promise<void>(resolve => {
          handleRequest = socket => {
            sockets.push(socket)
            resolve()
            if (sockets.length < 2) return
            if (thrower === 'onFailure') sockets[0]?.destroy()
            else sockets[0]?.write(response)
            setTimeout(() => sockets[1]?.write(response), 50)
          }
        })
        const calls: string[] = []
        const record = (call: keyof ExchangeListener) => {
          calls.push(call)
          if (call === thrower) throw new Error('unexpected')
        }
        connections.open({ host: '127.0.0.1', port: getPort(), method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated: true, requestId: 'r1' }, {
          onHead: () => record('onHead'), onData: () => record('onData'), onEnd: () => record('onEnd'), onFailure: () => record('onFailure')
        })
        await firstArrived
        expect(await exchangeWith(connections, getPort())).to.deep.equal(['head 200', 'data whole', 'end'])
        expect(errors).to.deep.equal(['r1: unexpected'])
        expect(calls.at(-1)).to.equal('onFailure')
        expect(calls.filter(call => call === 'onFailure')).to.have.length(1)
      })
    }

    it('is not called again when it has aborted the exchange', async () => {
      handleRequest = socket => socket.write(response)
      const calls: string[] = []
      const exchange = connections.open({ host: '127.0.0.1', port: getPort(), method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated: true }, {
        onHead () {
          calls.push('onHead')
          exchange.abort()
          throw new Error('unexpected')
        },
        onData: () => calls.push('onData'),
        onEnd: () => calls.push('onEnd'),
        onFailure: () => calls.push('onFailure')
      })
      await new Promise(resolve => setTimeout(resolve, 100))
      expect(calls).to.deep.equal(['onHead'])
    })
  })

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

  describe('a paused exchange whose server closes the connection after the last byte', () => {
    const body = 'x'.repeat(20_000)
    const firstPartLength = 1000
    const responses = {
      'with a length': `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
      'in chunks': `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
      'delimited by the close': `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`
    }
    for (const [framing, response] of Object.entries(responses)) {
      for (const isDedicated of [false, true]) {
        it(`delivers the whole response ${framing} on a ${isDedicated ? 'dedicated' : 'pooled'} connection`, async () => {
          handleRequest = socket => {
            socket.write(response.slice(0, firstPartLength))
            setTimeout(() => socket.end(response.slice(firstPartLength)), 20)
          }
          const { byteCount, outcome } = await exchangeWithPause(connections, getPort(), isDedicated)
          expect({ byteCount, outcome }).to.deep.equal({ byteCount: body.length, outcome: 'end' })
        })
      }
    }
  })

  describe('a paused exchange whose connection breaks', () => {
    const body = 'x'.repeat(20_000)
    const largeBody = 'x'.repeat(4_000_000)

    /** Sends a first part, and the rest when the exchange is paused; `finish` then ends the connection. */
    function respondInParts (response: string, finish: (socket: net.Socket) => void): void {
      handleRequest = socket => {
        socket.write(response.slice(0, 1000))
        setTimeout(() => {
          socket.write(response.slice(1000))
          finish(socket)
        }, 20)
      }
    }

    for (const isDedicated of [false, true]) {
      describe(isDedicated ? 'on a dedicated connection' : 'on a pooled connection', () => {
        for (const [size, text] of Object.entries({ small: body, large: largeBody })) {
          it(`is lost when a ${size} response without a length is reset`, async () => {
            respondInParts(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${text}`, socket => socket.resetAndDestroy())
            expect((await exchangeWithPause(connections, getPort(), isDedicated)).outcome).to.match(/^lost/)
          })

          it(`is lost when a ${size} response without a length is reset later than its last byte`, async () => {
            respondInParts(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${text}`, socket => setTimeout(() => socket.resetAndDestroy(), 50))
            expect((await exchangeWithPause(connections, getPort(), isDedicated)).outcome).to.match(/^lost/)
          })

          it(`is lost when a ${size} response is shorter than its length`, async () => {
            respondInParts(`HTTP/1.1 200 OK\r\nContent-Length: ${text.length + 1}\r\n\r\n${text}`, socket => socket.end())
            expect((await exchangeWithPause(connections, getPort(), isDedicated)).outcome).to.match(/^lost/)
          })

          it(`is lost when a ${size} response in chunks has no last chunk`, async () => {
            respondInParts(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${text.length.toString(16)}\r\n${text}\r\n`, socket => socket.end())
            expect((await exchangeWithPause(connections, getPort(), isDedicated)).outcome).to.match(/^lost/)
          })

          it(`ends when a ${size} response without a length is closed in order`, async () => {
            respondInParts(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${text}`, socket => socket.end())
            expect(await exchangeWithPause(connections, getPort(), isDedicated)).to.deep.equal({ byteCount: text.length, outcome: 'end' })
          })
        }

        it('ends when the connection is reset after a response that is complete by its length', async () => {
          respondInParts(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`, socket => setTimeout(() => socket.resetAndDestroy(), 50))
          expect(await exchangeWithPause(connections, getPort(), isDedicated)).to.deep.equal({ byteCount: body.length, outcome: 'end' })
        })
      })
    }
  })

  describe('a listener that aborts', () => {
    for (const abortAt of ['onHead', 'onData'] as const) {
      it(`in ${abortAt} is not called again, and the server sees the connection closed`, async () => {
        const hasClosed = new Promise<void>(resolve => {
          handleRequest = socket => {
            socket.on('close', () => resolve())
            socket.write('HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\npart')
            setTimeout(() => socket.write('part'), 20)
          }
        })
        const calls: string[] = []
        const record = (call: string) => () => {
          calls.push(call)
          if (call === abortAt) exchange.abort()
        }
        const exchange = connections.open({ host: '127.0.0.1', port: getPort(), method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated: false }, {
          onHead: record('onHead'), onData: record('onData'), onEnd: record('onEnd'), onFailure: record('onFailure')
        })
        await hasClosed
        await new Promise(resolve => setTimeout(resolve, 50))
        expect(calls).to.deep.equal(abortAt === 'onHead' ? ['onHead'] : ['onHead', 'onData'])
      })
    }
  })

  describe('a response that changes the protocol', () => {
    it('is lost, without a head', async () => {
      handleRequest = socket => socket.write('HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\nbytes')
      expect(await exchangeWith(connections, getPort(), false)).to.deep.equal([ExchangeFailureKind.Lost])
    })
  })

  describe('a response with a status that HTTP does not have', () => {
    for (const status of ['000', '099', '101', '600', '999']) {
      it(`is lost, without a head: ${status}`, async () => {
        handleRequest = socket => socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`)
        for (const isDedicated of [true, false]) expect(await exchangeWith(connections, getPort(), isDedicated)).to.deep.equal([ExchangeFailureKind.Lost])
      })
    }
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

    const whole = `HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n${'x'.repeat(1000)}`
    const extras = { 'bytes that are no response': 'extra', 'a second response': whole, 'an empty line': '\r\n' }
    for (const [name, extra] of Object.entries(extras)) {
      for (const isDedicated of [false, true]) {
        for (const isTogether of [true, false]) {
          const title = `${name} ${isTogether ? 'in the same packet' : 'later'}, on a ${isDedicated ? 'dedicated' : 'pooled'} connection`

          it(`leave the response complete: ${title}`, async () => {
            handleRequest = socket => {
              socket.write(isTogether ? whole + extra : whole)
              if (!isTogether) setTimeout(() => socket.write(extra), 5)
            }
            expect((await exchangeWith(connections, getPort(), isDedicated)).at(-1)).to.equal('end')
          })

          it(`leave the response to a paused exchange complete, and the connection is closed: ${title}`, async () => {
            const hasClosed = new Promise<void>(resolve => {
              handleRequest = socket => {
                socket.on('close', () => resolve())
                socket.write(isTogether ? whole + extra : whole)
                if (!isTogether) setTimeout(() => socket.write(extra), 5)
              }
            })
            expect(await exchangeWithPause(connections, getPort(), isDedicated, 100)).to.deep.equal({ byteCount: 1000, outcome: 'end' })
            // An empty line in the packet of the response is read with it and starts no response.
            if (!isTogether || name !== 'an empty line' || isDedicated) await hasClosed
          })
        }
      }
    }
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
