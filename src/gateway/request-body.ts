import type { IncomingMessage } from 'node:http'

import type { BufferBudget } from '../shared/buffer-budget.js'
import { createByteCollector } from '../shared/byte-collector.js'
import { framingBytesPerChunk, maxFramingBytes } from '../transport/response-limits.js'

export enum BodyResultKind {
  /** Read to the end; the body is undefined for a request without one. */
  Whole = 'whole',
  TooLarge = 'tooLarge',
  /** There is no memory for it, and others needed less. */
  NoMemory = 'noMemory',
  /** The client disconnected before the end. */
  Aborted = 'aborted'
}

export type BodyResult =
  | { readonly kind: BodyResultKind.Whole, readonly body: Buffer | undefined }
  | { readonly kind: Exclude<BodyResultKind, BodyResultKind.Whole> }

export interface RequestBodyOptions {
  readonly maxBytes: number
  /** Counts the body until `release` is called. */
  readonly budget: BufferBudget
}

/** A body that is being read. */
export interface RequestBody {
  readonly result: Promise<BodyResult>
  /** The body is no longer needed. */
  release (): void
}

/** Lets a large body of some megabytes arrive within a few seconds. */
const tightPauseMs = 50

/** Reads a request's body. */
export function readRequestBody (request: IncomingMessage, { maxBytes, budget }: RequestBodyOptions): RequestBody {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  if (!hasBody) return endedBody({ kind: BodyResultKind.Whole, body: undefined })
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return endedBody({ kind: BodyResultKind.TooLarge })
  const isChunked = request.headers['transfer-encoding'] !== undefined
  const { remoteAddress, remotePort } = request.socket
  let end: (result: BodyResult) => void = () => {}
  const account = budget.open({ owner: `client ${remoteAddress}:${remotePort}`, evict: () => end({ kind: BodyResultKind.NoMemory }) })
  const result = new Promise<BodyResult>(resolve => {
    const collector = createByteCollector(maxBytes, account)
    let byteCount = 0
    let chunkCount = 0

    function onData (chunk: Buffer): void {
      byteCount += chunk.length
      chunkCount += 1
      const framingByteCount = isChunked ? chunkCount * framingBytesPerChunk : 0
      if (byteCount > maxBytes || framingByteCount > maxFramingBytes + byteCount) end({ kind: BodyResultKind.TooLarge })
      else if (!collector.append(chunk)) end({ kind: BodyResultKind.NoMemory })
      else if (budget.isTight()) pauseBriefly(request)
    }

    end = ended => {
      request.off('data', onData)
      if (ended.kind === BodyResultKind.Whole) account.keep()
      else account.close()
      // What follows is read and dropped by the connection, which closes after the response.
      if (ended.kind === BodyResultKind.TooLarge || ended.kind === BodyResultKind.NoMemory) request.pause()
      resolve(ended)
    }
    request.on('data', onData)
    request.on('end', () => end({ kind: BodyResultKind.Whole, body: collector.toBuffer() }))
    request.on('error', () => end({ kind: BodyResultKind.Aborted }))
    request.on('close', () => { if (!request.complete) end({ kind: BodyResultKind.Aborted }) })
  })
  return { result, release: account.close }
}

/** Reads more slowly while much memory is in use, since what has been read takes memory until it is collected. */
function pauseBriefly (request: IncomingMessage): void {
  request.pause()
  setTimeout(() => request.resume(), tightPauseMs)
}

function endedBody (result: BodyResult): RequestBody {
  return { result: Promise.resolve(result), release () {} }
}
