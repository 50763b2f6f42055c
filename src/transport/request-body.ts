import type { IncomingMessage } from 'node:http'

import type { BufferBudget } from '../shared/buffer-budget.js'
import { createByteCollector } from '../shared/byte-collector.js'
import { framingBytesPerChunk, maxFramingBytes } from './response-limits.js'

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
/** Smaller chunks are not paused after: those that were read with them would be kept one by one, which takes more memory than their bytes. */
const minPausedChunkBytes = 1024

/** Reads a request's body. */
export function readRequestBody (request: IncomingMessage, { maxBytes, budget }: RequestBodyOptions): RequestBody {
  const hasBody = request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
  if (!hasBody) return endedBody({ kind: BodyResultKind.Whole, body: undefined })
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return endedBody({ kind: BodyResultKind.TooLarge })
  const { remoteAddress, remotePort } = request.socket
  let end: (result: BodyResult) => void = () => {}
  const account = budget.open({ owner: `client ${remoteAddress}:${remotePort}`, evict: () => end({ kind: BodyResultKind.NoMemory }) })
  const result = new Promise<BodyResult>(resolve => {
    const collector = createByteCollector(maxBytes, account)
    const meter = createBodyMeter(request, maxBytes)

    function onData (chunk: Buffer): void {
      if (!meter.isWithinLimits(chunk)) end({ kind: BodyResultKind.TooLarge })
      else if (!collector.append(chunk)) end({ kind: BodyResultKind.NoMemory })
      else if (budget.isTight() && chunk.length >= minPausedChunkBytes) pauseBriefly(request)
    }

    end = ended => {
      request.off('data', onData)
      if (ended.kind === BodyResultKind.Whole) account.keep()
      else account.close()
      // The connection closes after the response. What the parser still gives is dropped: a paused request would keep each chunk.
      if (ended.kind === BodyResultKind.TooLarge || ended.kind === BodyResultKind.NoMemory) request.resume()
      resolve(ended)
    }
    request.on('data', onData)
    request.on('end', () => end({ kind: BodyResultKind.Whole, body: collector.toBuffer() }))
    request.on('error', () => end({ kind: BodyResultKind.Aborted }))
    request.on('close', () => { if (!request.complete) end({ kind: BodyResultKind.Aborted }) })
  })
  return { result, release: account.close }
}

/**
 * Reads and drops the body of a request that was refused by its head, so that its connection stays in use. Beyond the limits of a body
 * the connection is closed, since chunks take processor time.
 */
export function discardRequestBody (request: IncomingMessage, maxBytes: number): void {
  if (request.complete) return
  const meter = createBodyMeter(request, maxBytes)
  const onData = (chunk: Buffer): void => {
    if (meter.isWithinLimits(chunk)) return
    request.off('data', onData)
    request.socket.destroySoon()
  }
  request.on('error', () => request.destroy())
  request.on('data', onData)
  // Without a read before the response ends, Node.js drops the body itself, and the listener sees nothing of it.
  request.read(0)
}

/** Compares a body that arrives with its limits: its length, and the number of its chunks. */
function createBodyMeter (request: IncomingMessage, maxBytes: number) {
  const isChunked = request.headers['transfer-encoding'] !== undefined
  let byteCount = 0
  let chunkCount = 0
  return {
    isWithinLimits (chunk: Buffer): boolean {
      byteCount += chunk.length
      chunkCount += 1
      const framingByteCount = isChunked ? chunkCount * framingBytesPerChunk : 0
      return byteCount <= maxBytes && framingByteCount <= maxFramingBytes + byteCount
    }
  }
}

/** Reads more slowly while much memory is in use, since what has been read takes memory until it is collected. */
function pauseBriefly (request: IncomingMessage): void {
  request.pause()
  setTimeout(() => request.resume(), tightPauseMs)
}

function endedBody (result: BodyResult): RequestBody {
  return { result: Promise.resolve(result), release () {} }
}
