import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'

/** What the server sends without end. */
export enum EndlessKind {
  StatusLine = 'a status line',
  EmptyLines = 'empty lines before the response',
  HeaderLines = 'header lines',
  HeaderValue = 'one header value',
  HeaderSpaces = 'spaces in headers',
  TrickledHead = 'a head, byte by byte',
  EarlyHints = '103 responses',
  Continue = '100 responses',
  BodyUntilClose = 'a body without a length',
  BodyOfLength = 'a body of a huge length',
  Chunks = 'chunks',
  SmallChunks = 'chunks of one byte',
  ChunkSize = 'zeros in a chunk size',
  ChunkExtension = 'a chunk extension',
  Trailers = 'trailers',
  TrailerSpaces = 'spaces in trailers',
  ErrorBody = 'the body of a 500 response',
  BytesAfterLength = 'bytes after a complete response',
  EmptyLinesAfterLength = 'empty lines after a complete response',
  ResponsesAfterLength = 'responses after a complete response',
  Event = 'an event'
}

/** The kinds that begin with a complete response, which may be delivered. */
export const kindsAfterResponse: readonly EndlessKind[] = [EndlessKind.BytesAfterLength, EndlessKind.EmptyLinesAfterLength, EndlessKind.ResponsesAfterLength]

/** The kinds that are a proper response of any length. */
export const endlessBodyKinds: readonly EndlessKind[] = [
  EndlessKind.BodyUntilClose, EndlessKind.BodyOfLength, EndlessKind.Chunks, EndlessKind.SmallChunks, EndlessKind.ErrorBody, EndlessKind.Event
]

interface Script {
  readonly start: string
  readonly repeated: string
}

const ok = 'HTTP/1.1 200 OK\r\n'
const chunked = `${ok}Transfer-Encoding: chunked\r\n\r\n`
const whole = `${ok}Content-Length: 2\r\n\r\n{}`
const filler = 'x'.repeat(1000)
const spaces = ' '.repeat(65_000)

const scripts: Readonly<Record<EndlessKind, Script>> = {
  [EndlessKind.StatusLine]: { start: 'HTTP/1.1 200 ', repeated: filler },
  [EndlessKind.EmptyLines]: { start: '', repeated: '\r\n' },
  [EndlessKind.HeaderLines]: { start: ok, repeated: 'X-Line: value\r\n' },
  [EndlessKind.HeaderValue]: { start: `${ok}X-Line: `, repeated: filler },
  [EndlessKind.HeaderSpaces]: { start: ok, repeated: `a:${spaces}b\r\n` },
  [EndlessKind.TrickledHead]: { start: '', repeated: `${ok}X-Line: ${filler}` },
  [EndlessKind.EarlyHints]: { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  [EndlessKind.Continue]: { start: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n' },
  [EndlessKind.BodyUntilClose]: { start: `${ok}Connection: close\r\n\r\n`, repeated: filler },
  [EndlessKind.BodyOfLength]: { start: `${ok}Content-Length: 1000000000000\r\n\r\n`, repeated: filler },
  [EndlessKind.Chunks]: { start: chunked, repeated: `3e8\r\n${filler}\r\n` },
  [EndlessKind.SmallChunks]: { start: chunked, repeated: '1\r\nx\r\n' },
  [EndlessKind.ChunkSize]: { start: chunked, repeated: '0000000000' },
  [EndlessKind.ChunkExtension]: { start: `${chunked}5;a=`, repeated: filler },
  [EndlessKind.Trailers]: { start: `${chunked}2\r\n{}\r\n0\r\n`, repeated: 'X-Line: value\r\n' },
  [EndlessKind.TrailerSpaces]: { start: `${chunked}2\r\n{}\r\n0\r\n`, repeated: `a:${spaces}b\r\n` },
  [EndlessKind.ErrorBody]: { start: 'HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n', repeated: `3e8\r\n${filler}\r\n` },
  [EndlessKind.BytesAfterLength]: { start: whole, repeated: filler },
  [EndlessKind.EmptyLinesAfterLength]: { start: whole, repeated: '\r\n' },
  [EndlessKind.ResponsesAfterLength]: { start: whole, repeated: whole },
  [EndlessKind.Event]: { start: `${ok}Content-Type: text/event-stream\r\n\r\ndata: `, repeated: filler }
}

/** How a connection on which the server sent ended. */
export interface EndlessEnd {
  /** Bytes that the server handed to its socket, including those that only the kernel took. */
  readonly sentByteCount: number
}

export interface EndlessServer {
  /** `host:port`. */
  readonly address: string
  readonly port: number
  sentByteCount (): number
  /** Resolves when the first connection that brought a request is closed by the caller. */
  readonly closed: Promise<EndlessEnd>
  stop (): void
}

const blockBytes = 16_384
const trickleIntervalMs = 2

/** Starts a raw TCP server that answers each first request on a connection with endless bytes, but stops silently after `maxBytes`. */
export async function startEndlessServer (kind: EndlessKind, maxBytes = 32 * 1024 * 1024): Promise<EndlessServer> {
  const { start, repeated } = scripts[kind]
  const block = Buffer.from(repeated.repeat(Math.ceil(blockBytes / repeated.length)))
  const sockets = new Set<Socket>()
  let sentByteCount = 0
  let resolveClosed: (end: EndlessEnd) => void
  const closed = new Promise<EndlessEnd>(resolve => { resolveClosed = resolve })

  function sendBlocks (socket: Socket): void {
    while (!socket.destroyed && sentByteCount < maxBytes) {
      sentByteCount += block.length
      if (!socket.write(block)) {
        socket.once('drain', () => sendBlocks(socket))
        return
      }
    }
  }

  function trickle (socket: Socket, index: number): void {
    if (socket.destroyed) return
    sentByteCount += 1
    socket.write(block.subarray(index, index + 1))
    setTimeout(() => trickle(socket, index + 1), trickleIntervalMs)
  }

  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.once('data', () => {
      socket.on('close', () => resolveClosed({ sentByteCount }))
      socket.write(start)
      if (kind === EndlessKind.TrickledHead) trickle(socket, 0)
      else sendBlocks(socket)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    port,
    sentByteCount: () => sentByteCount,
    closed,
    stop () {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
