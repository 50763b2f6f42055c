import { once } from 'node:events'
import http from 'node:http'
import net from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool, type BackendConnectionPool, type ResponseHead } from '../transport/backend-connection-pool.js'
import { filterResponseHeaders } from './response-headers.js'

const body = 'abc'
/** Places of a head at which a byte is inserted, marked by `@`. */
const places: Readonly<Record<string, string>> = {
  'the version': 'HTTP/1.@1 200 OK\r\nX-Odd: a\r\nContent-Length: 3\r\n\r\n',
  'the status': 'HTTP/1.1 20@0 OK\r\nX-Odd: a\r\nContent-Length: 3\r\n\r\n',
  'the reason phrase': 'HTTP/1.1 200 O@K\r\nX-Odd: a\r\nContent-Length: 3\r\n\r\n',
  'the end of the status line': 'HTTP/1.1 200 OK@\r\nX-Odd: a\r\nContent-Length: 3\r\n\r\n',
  'the begin of a name': 'HTTP/1.1 200 OK\r\n@X-Odd: a\r\nContent-Length: 3\r\n\r\n',
  'a name': 'HTTP/1.1 200 OK\r\nX-@Odd: a\r\nContent-Length: 3\r\n\r\n',
  'the end of a name': 'HTTP/1.1 200 OK\r\nX-Odd@: a\r\nContent-Length: 3\r\n\r\n',
  'a value': 'HTTP/1.1 200 OK\r\nX-Odd: a@b\r\nContent-Length: 3\r\n\r\n',
  'the end of a value': 'HTTP/1.1 200 OK\r\nX-Odd: a@\r\nContent-Length: 3\r\n\r\n',
  'a file name behind the length': 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Disposition: attachment; filename="a@b"\r\n\r\n',
  'a file name before the length': 'HTTP/1.1 200 OK\r\nContent-Disposition: attachment; filename="a@b"\r\nContent-Length: 3\r\n\r\n',
  'the length': 'HTTP/1.1 200 OK\r\nX-Odd: a\r\nContent-Length: @3\r\n\r\n',
  'the end of the head': 'HTTP/1.1 200 OK\r\nX-Odd: a\r\nContent-Length: 3\r\n@\r\n'
}

/** Returns what Node.js says against the head in a response of its own, and the lines that it would send otherwise. */
function writeHead ({ statusCode, statusMessage, rawHeaders }: ResponseHead, keepsContentLength: boolean): { readonly refusal?: string, readonly text: string } {
  const response = new http.ServerResponse({ method: 'GET', httpVersionMajor: 1, httpVersionMinor: 1 } as http.IncomingMessage)
  try {
    response.writeHead(statusCode, statusMessage, filterResponseHeaders(rawHeaders, keepsContentLength) as never)
    return { text: (response as unknown as { _header: string })._header }
  } catch (error) {
    return { refusal: (error as Error).message, text: '' }
  }
}

describe('response headers: heads with any byte at any place', () => {
  let connections: BackendConnectionPool
  let server: net.Server
  let head = Buffer.alloc(0)

  before(async () => {
    connections = createBackendConnectionPool({ timers: createSystemTimerService(), maxIdleConnectionsPerServer: 1 })
    server = net.createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => socket.end(Buffer.concat([head, Buffer.from(body)])))
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  after(() => {
    connections.close()
    server.close()
  })

  function readHead (): Promise<ResponseHead | undefined> {
    return new Promise(resolve => {
      let received: ResponseHead | undefined
      const { port } = server.address() as net.AddressInfo
      connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated: true }, {
        onHead (accepted) { received = accepted },
        onData () {},
        onEnd: () => resolve(received),
        onFailure: () => resolve(received)
      })
    })
  }

  // Node.js's parser and its writer have different rules. Each case guards against a head that the one accepts and the other
  // refuses, in a listener of the connection, or changes on its way to the client.
  for (const [name, text] of Object.entries(places)) {
    it(`can be written as they were read: ${name}`, async () => {
      const [begin = '', end = ''] = text.split('@')
      const problems: string[] = []
      for (let byte = 0; byte < 256; byte += 1) {
        head = Buffer.concat([Buffer.from(begin), Buffer.from([byte]), Buffer.from(end)])
        const received = await readHead()
        if (received === undefined) continue
        for (const keepsContentLength of [true, false]) {
          const { refusal, text: written } = writeHead(received, keepsContentLength)
          const kept = filterResponseHeaders(received.rawHeaders, keepsContentLength)
          const isUnchanged = kept.every((part, index) => index % 2 === 0 || written.includes(`${kept[index - 1]}: ${part}\r\n`))
          if (refusal !== undefined || !isUnchanged) problems.push(`byte ${byte}: ${refusal ?? 'changed'}`)
        }
      }
      expect(problems).to.deep.equal([])
    })
  }
})
