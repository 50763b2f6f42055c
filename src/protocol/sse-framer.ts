import type { BufferAccount } from '../shared/buffer-budget.js'
import { createByteCollector, type ByteCollector } from '../shared/byte-collector.js'

const lineFeed = 0x0a
const carriageReturn = 0x0d
const idLinePattern = /^id: ?(.*)$/m

/** A complete server-sent event with its bytes as received. */
export interface FramedSseEvent {
  readonly bytes: Buffer
  /** Value of the event's `id` line; undefined without one. */
  readonly id: string | undefined
}

/** Splits a byte stream into complete server-sent events: for gateways, which forward the bytes unchanged and read only the ids. */
export interface SseFramer {
  push (chunk: Buffer): FramedSseEvent[]
  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent (): boolean
  /** Whether an event exceeds the limit, complete or not. The framer then ignores all further bytes. */
  isTooLarge (): boolean
}

export interface SseFramerOptions {
  readonly maxEventBytes?: number
  /** Counts the bytes of an incomplete event. An event that it may not hold counts as too large. */
  readonly account?: BufferAccount
}

/** Bytes before a chunk that can be part of an event's end, which is a line feed, perhaps a carriage return, and a line feed. */
const endContextLength = 2
/** An event holds one token or a few; this only bounds memory. */
const defaultMaxEventBytes = 4_194_304
const noBytes = Buffer.alloc(0)

/** Creates a framer at the beginning of a stream. Each byte is searched and copied a bounded number of times, however small the chunks are. */
export function createSseFramer ({ maxEventBytes = defaultMaxEventBytes, account }: SseFramerOptions = {}): SseFramer {
  let pending: ByteCollector | undefined
  let isTooLarge = false

  /** Keeps bytes of an incomplete event. */
  function keep (bytes: Buffer): void {
    if (bytes.length === 0) return
    pending ??= createByteCollector(maxEventBytes, account)
    isTooLarge = !pending.append(bytes)
    // What is kept only stands for the event that is too large.
    if (isTooLarge) pending = undefined
  }

  return {
    push (chunk) {
      if (chunk.length === 0 || isTooLarge) return []
      const pendingBytes = pending?.toBuffer() ?? noBytes
      const context = pendingBytes.subarray(-endContextLength)
      const firstEnd = findEventEnd(context.length === 0 ? chunk : Buffer.concat([context, chunk]), 0)
      if (firstEnd < 0) {
        keep(chunk)
        return []
      }
      const bytes = pendingBytes.length === 0 ? chunk : Buffer.concat([pendingBytes, chunk])
      pending = undefined
      account?.resize(0)
      const events: FramedSseEvent[] = []
      let start = 0
      for (let end = pendingBytes.length - context.length + firstEnd; end > 0; end = findEventEnd(bytes, start)) {
        const event = bytes.subarray(start, end)
        if (event.length > maxEventBytes) {
          isTooLarge = true
          return events
        }
        // Only the id line is read; latin1 maps each byte to one character.
        events.push({ bytes: event, id: idLinePattern.exec(event.toString('latin1'))?.[1]?.trim() })
        start = end
      }
      keep(bytes.subarray(start))
      return events
    },
    hasPartialEvent: () => pending !== undefined || isTooLarge,
    isTooLarge: () => isTooLarge
  }
}

/** Returns the index after the blank line that ends the event that begins at `start`, or -1 if it is incomplete. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(lineFeed, start); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
    if (bytes[index + 1] === lineFeed) return index + 2
    if (bytes[index + 1] === carriageReturn && bytes[index + 2] === lineFeed) return index + 3
  }
  return -1
}
