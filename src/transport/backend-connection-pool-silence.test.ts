import { once } from 'node:events'
import { spawn, type ChildProcess } from 'node:child_process'
import net from 'node:net'

import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool, ExchangeFailureKind, type BackendConnectionPool } from './backend-connection-pool.js'

interface Outcome {
  readonly body: string
  readonly end: string
}

function exchange (connections: BackendConnectionPool, port: number, isDedicated: boolean): Promise<Outcome> {
  return new Promise(resolve => {
    let body = ''
    connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated }, {
      onHead () {},
      onData: chunk => { body += chunk.toString() },
      onEnd: () => resolve({ body, end: 'end' }),
      onFailure: failure => resolve({ body, end: `${failure.kind}: ${failure.reason}` })
    })
  })
}

function wait (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}

describe('backend connection pool: silence', () => {
  let connections: BackendConnectionPool

  beforeEach(() => {
    connections = createBackendConnectionPool({ timers: createSystemTimerService(), maxIdleConnectionsPerServer: 4 })
  })

  afterEach(() => connections.close())

  describe('of a server in the middle of a response', () => {
    const servers: net.Server[] = []
    let connectionCount: number

    /** Answers with these parts, each after its pause. */
    async function startServer (parts: ReadonlyArray<readonly [pauseMs: number, text: string]>): Promise<number> {
      connectionCount = 0
      const server = net.createServer(socket => {
        connectionCount += 1
        socket.on('error', () => {})
        socket.on('data', () => {
          void (async () => {
            for (const [pauseMs, text] of parts) {
              if (pauseMs > 0) await wait(pauseMs)
              socket.write(text)
            }
          })()
        })
      })
      servers.push(server)
      server.listen(0, '127.0.0.1')
      await once(server, 'listening')
      return (server.address() as net.AddressInfo).port
    }

    afterEach(() => { for (const server of servers.splice(0)) server.close() })

    const head = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
    const places = {
      'before the head': ['', head + 'body'],
      'in the status line': ['HTTP/1.1 20', `0 OK\r\n${head.slice(17)}body`],
      'in a header': [head.slice(0, 30), `${head.slice(30)}body`],
      'behind the head': [head, 'body'],
      'in the body': [`${head}bo`, 'dy'],
      'in a chunk': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo', 'dy\r\n0\r\n\r\n'],
      'before the last chunk': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n', '0\r\n\r\n']
    } as const

    for (const isDedicated of [true, false]) {
      // 4000 ms is the agent's timeout for idle connections.
      it(`does not end an exchange on a ${isDedicated ? 'dedicated' : 'pooled'} connection: 1.2 s and 4.6 s at any place`, async () => {
        const cases = Object.entries(places).flatMap(([place, parts]) => [1200, 4600].map(silenceMs => ({ place, parts, silenceMs })))
        const outcomes = await Promise.all(cases.map(async ({ parts: [first, second], ...tried }) => {
          const port = await startServer([[0, first], [tried.silenceMs, second]])
          return { ...tried, ...await exchange(connections, port, isDedicated) }
        }))
        expect(outcomes).to.deep.equal(cases.map(({ place, silenceMs }) => ({ place, silenceMs, body: 'body', end: 'end' })))
      })
    }

    it('does not end an exchange on a kept connection whose idle time began before it', async () => {
      const port = await startServer([[0, `${head}bo`], [2800, 'dy']])
      expect(await exchange(connections, port, false)).to.deep.equal({ body: 'body', end: 'end' })
      await wait(1500)
      // The agent's timeout passes in the middle of this response, counted from the end of the first one.
      expect(await exchange(connections, port, false)).to.deep.equal({ body: 'body', end: 'end' })
      expect(connectionCount).to.equal(1)
    })
  })

  describe('of a server whose kernel answers no connection', () => {
    let child: ChildProcess

    afterEach(() => {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    })

    /** Starts a server in a process of its own, which writes the path of each request that it receives. */
    async function startChild (): Promise<{ readonly port: number, output (): string }> {
      const program = `
        const server = require('net').createServer(socket => {
          socket.on('error', () => {})
          socket.on('data', data => console.log('received ' + data.toString().split(' ')[1]))
        })
        server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => console.log('port ' + server.address().port))`
      child = spawn(process.execPath, ['-e', program], { stdio: ['ignore', 'pipe', 'inherit'] })
      let output = ''
      child.stdout?.on('data', chunk => { output += String(chunk) })
      while (!output.includes('\n')) await once(child.stdout as NodeJS.ReadableStream, 'data')
      return { port: Number(/port (\d+)/.exec(output)?.[1]), output: () => output }
    }

    it('is NotSent, and no byte is sent when the connection would open later', async () => {
      const { port, output } = await startChild()
      child.kill('SIGSTOP')
      // These fill the queue of the stopped server, so that its kernel drops what comes then.
      const fillers = Array.from({ length: 4 }, () => net.connect(port, '127.0.0.1').on('error', () => {}))
      await wait(100)
      const startedAtMs = performance.now()
      const outcomes = await Promise.all([true, false].map(isDedicated => exchange(connections, port, isDedicated)))
      expect(performance.now() - startedAtMs).to.be.within(250, 900)
      expect(outcomes.map(({ end }) => end.split(':')[0])).to.deep.equal([ExchangeFailureKind.NotSent, ExchangeFailureKind.NotSent])
      for (const filler of fillers) filler.destroy()
      child.kill('SIGCONT')
      // The kernel repeats its connection request after 1 s and 3 s.
      await wait(3500)
      expect(output()).not.to.include('received')
      const late = await Promise.race([exchange(connections, port, true), wait(300)])
      expect(late).to.equal(undefined)
      expect(output()).to.include('received /')
    })
  })
})
