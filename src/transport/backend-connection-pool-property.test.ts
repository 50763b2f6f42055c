import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'
import fc from 'fast-check'

import { createSystemTimerService } from '../shared/timer-service.js'
import { createBackendConnectionPool, type BackendConnectionPool } from './backend-connection-pool.js'

enum Framing {
  Length = 'length',
  Chunked = 'chunked',
  Close = 'close'
}

enum Ending {
  StaysOpen = 'staysOpen',
  Closes = 'closes',
  Resets = 'resets',
  SendsMore = 'sendsMore'
}

/** How a server plays one response, and how slowly it is read. */
interface Play {
  readonly framing: Framing
  readonly bodyBytes: number
  /** Part of the response that is sent; 1 for all of it. */
  readonly sentShare: number
  /** Where the sent bytes are cut into writes, as shares. */
  readonly cuts: readonly number[]
  readonly writePauseMs: number
  readonly ending: Ending
  readonly endingPauseMs: number
  readonly isDedicated: boolean
  readonly readPauseMs: number
}

const playArbitrary: fc.Arbitrary<Play> = fc.record({
  framing: fc.constantFrom(...Object.values(Framing)),
  bodyBytes: fc.oneof(fc.integer({ min: 0, max: 100 }), fc.integer({ min: 0, max: 300_000 })),
  sentShare: fc.oneof({ weight: 3, arbitrary: fc.constant(1) }, { weight: 1, arbitrary: fc.double({ min: 0, max: 0.999, noNaN: true }) }),
  cuts: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 5 }),
  writePauseMs: fc.constantFrom(0, 1, 5),
  ending: fc.constantFrom(...Object.values(Ending)),
  endingPauseMs: fc.constantFrom(0, 5),
  isDedicated: fc.boolean(),
  readPauseMs: fc.constantFrom(0, 3, 20)
})

interface Outcome {
  /** Calls of `onEnd` and `onFailure`, of which there must be one. */
  readonly ends: readonly string[]
  readonly body: string
}

const patienceMs = 2000

function createBody (byteCount: number): string {
  return 'abcdefghijklmnopqrstuvwxyz'.repeat(Math.ceil(byteCount / 26)).slice(0, byteCount)
}

function encode ({ framing, bodyBytes }: Play): string {
  const body = createBody(bodyBytes)
  switch (framing) {
    case Framing.Length: return `HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n${body}`
    case Framing.Chunked: return `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${bodyBytes === 0 ? '' : `${bodyBytes.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`
    case Framing.Close: return `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`
  }
}

function wait (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}

async function respond (socket: net.Socket, play: Play): Promise<void> {
  const response = encode(play)
  const sent = play.sentShare === 1 ? response : response.slice(0, Math.floor(response.length * play.sentShare))
  const cuts = [0, ...play.cuts.map(share => Math.floor(share * sent.length)).sort((a, b) => a - b), sent.length]
  for (let index = 1; index < cuts.length; index += 1) {
    if (index > 1) await wait(play.writePauseMs)
    socket.write(sent.slice(cuts[index - 1], cuts[index]))
  }
  if (play.endingPauseMs > 0) await wait(play.endingPauseMs)
  if (play.ending === Ending.Closes) socket.end()
  if (play.ending === Ending.Resets) socket.resetAndDestroy()
  if (play.ending === Ending.SendsMore) socket.end('more')
}

function exchange (connections: BackendConnectionPool, port: number, { isDedicated, readPauseMs }: Play): Promise<Outcome> {
  return new Promise(resolve => {
    const ends: string[] = []
    let body = ''
    const timeout = setTimeout(() => resolve({ ends, body }), patienceMs)
    function finish (end: string): void {
      ends.push(end)
      clearTimeout(timeout)
      // A second call would come within this time.
      setTimeout(() => resolve({ ends, body }), 10)
    }
    const opened = connections.open({ host: '127.0.0.1', port, method: 'GET', path: '/', rawHeaders: ['Host', 'test'], body: undefined, isDedicated }, {
      onHead () {},
      onData (chunk) {
        body += chunk.toString()
        if (readPauseMs === 0) return
        opened.pause()
        setTimeout(() => opened.resume(), readPauseMs)
      },
      onEnd: () => finish('end'),
      onFailure: failure => finish(failure.kind)
    })
  })
}

/** Whether the play tells the caller an end at all, and one that can be judged. */
function isJudged ({ framing, sentShare, ending }: Play): boolean {
  if (ending === Ending.StaysOpen) return framing !== Framing.Close && sentShare === 1
  // The additional bytes would count as part of the response.
  return ending !== Ending.SendsMore || (framing !== Framing.Close && sentShare === 1)
}

function check (play: Play, { ends, body }: Outcome): void {
  const expected = createBody(play.bodyBytes)
  const isWhole = play.sentShare === 1
  expect(ends, 'number of ends').to.have.length(1)
  expect(expected.startsWith(body), 'body is a prefix of what the server sent').to.equal(true)
  if (play.ending === Ending.Resets) {
    // A reset may overtake the bytes before it.
    if (play.framing === Framing.Close || !isWhole) expect(ends).to.deep.equal(['lost'])
  } else if (isWhole) expect(ends).to.deep.equal(['end'])
  else if (play.framing !== Framing.Close) expect(ends).to.deep.equal(['lost'])
  if (ends[0] === 'end' && (isWhole || play.framing !== Framing.Close)) expect(body.length).to.equal(play.bodyBytes)
}

describe('backend connection pool: any response', () => {
  let connections: BackendConnectionPool

  beforeEach(() => {
    connections = createBackendConnectionPool({ timers: createSystemTimerService(), maxIdleConnectionsPerServer: 4 })
  })

  afterEach(() => connections.close())

  async function run (play: Play): Promise<void> {
    const server = net.createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => { void respond(socket, play) })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const outcome = await exchange(connections, (server.address() as net.AddressInfo).port, play)
    server.close()
    check(play, outcome)
  }

  it('gets exactly one end, and is complete exactly when the whole response has arrived', async () => {
    await fc.assert(fc.asyncProperty(playArbitrary.filter(isJudged), run), { numRuns: 250 })
  })
})
