import { expect } from 'chai'

import { createSystemTimerService } from '../shared/timer-service.js'
import { EndlessKind, endlessBodyKinds, kindsAfterResponse, startEndlessServer, type EndlessServer } from '../testing/endless-server.js'
import { createBackendConnectionPool, ExchangeFailureKind, type BackendConnectionPool, type BackendExchange } from './backend-connection-pool.js'

/** The kernel takes some megabytes more than the pool reads. */
const maxSentBytes = 12 * 1024 * 1024

interface Observed {
  readonly exchange: BackendExchange
  readonly outcome: Promise<string>
  readonly hasHead: Promise<void>
}

function openExchange (connections: BackendConnectionPool, port: number, isDedicated: boolean, pausesAtData: boolean): Observed {
  let exchange!: BackendExchange
  let notifyHead!: () => void
  const hasHead = new Promise<void>(resolve => { notifyHead = resolve })
  const outcome = new Promise<string>(resolve => {
    exchange = connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated }, {
      onHead: () => notifyHead(),
      onData: () => { if (pausesAtData) exchange.pause() },
      onEnd: () => resolve('end'),
      onFailure: failure => resolve(failure.kind)
    })
  })
  return { exchange, outcome, hasHead }
}

function wait (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}

describe('backend connection pool: bytes without end', () => {
  let connections: BackendConnectionPool
  let server: EndlessServer

  beforeEach(() => {
    connections = createBackendConnectionPool({ timers: createSystemTimerService(), maxIdleConnectionsPerServer: 4 })
  })

  afterEach(() => {
    connections.close()
    server.stop()
  })

  for (const isDedicated of [true, false]) {
    describe(isDedicated ? 'on a dedicated connection' : 'on a pooled connection', () => {
      const kindsWithoutBody = Object.values(EndlessKind).filter(kind => !endlessBodyKinds.includes(kind) && !kindsAfterResponse.includes(kind) && kind !== EndlessKind.TrickledHead)
      for (const kind of kindsWithoutBody) {
        it(`${kind}: the exchange is lost, and the connection is closed`, async () => {
          server = await startEndlessServer(kind)
          expect(await openExchange(connections, server.port, isDedicated, false).outcome).to.equal(ExchangeFailureKind.Lost)
          expect((await server.closed).sentByteCount).to.be.lessThan(maxSentBytes)
        })
      }

      for (const kind of [EndlessKind.ChunkSize, EndlessKind.ChunkExtension, EndlessKind.Trailers, EndlessKind.TrailerSpaces]) {
        it(`${kind} behind a paused body: the connection is closed without a resume`, async () => {
          server = await startEndlessServer(kind)
          const { exchange, hasHead } = openExchange(connections, server.port, isDedicated, true)
          await hasHead
          exchange.pause()
          expect((await server.closed).sentByteCount).to.be.lessThan(maxSentBytes)
        })
      }

      for (const kind of kindsAfterResponse) {
        for (const isPaused of [false, true]) {
          it(`${kind}${isPaused ? ' to a paused exchange' : ''}: the response is delivered, and the connection is closed`, async () => {
            server = await startEndlessServer(kind)
            const { exchange, outcome, hasHead } = openExchange(connections, server.port, isDedicated, false)
            await hasHead
            if (isPaused) exchange.pause()
            expect((await server.closed).sentByteCount).to.be.lessThan(maxSentBytes)
            exchange.resume()
            expect(await outcome).to.equal('end')
          })
        }
      }

      for (const kind of endlessBodyKinds) {
        it(`${kind} to a paused exchange: the server cannot send on, and an abort closes the connection`, async () => {
          server = await startEndlessServer(kind)
          const { exchange } = openExchange(connections, server.port, isDedicated, true)
          await wait(200)
          const sentByteCount = server.sentByteCount()
          expect(sentByteCount).to.be.lessThan(maxSentBytes)
          await wait(100)
          expect(server.sentByteCount()).to.equal(sentByteCount)
          exchange.abort()
          await server.closed
        })
      }

      it(`${EndlessKind.TrickledHead}: an abort closes the connection`, async () => {
        server = await startEndlessServer(EndlessKind.TrickledHead)
        const { exchange } = openExchange(connections, server.port, isDedicated, false)
        await wait(50)
        exchange.abort()
        expect((await server.closed).sentByteCount).to.be.greaterThan(1)
      })
    })
  }
})
