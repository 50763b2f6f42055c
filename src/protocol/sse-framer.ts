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
}

/** Bytes before a chunk that can be part of an event's end, which is a line feed, perhaps a carriage return, and a line feed. */
const endContextLength = 2

/** Creates a framer at the beginning of a stream. Each byte is searched and copied a bounded number of times, however small the chunks are. */
export function createSseFramer (): SseFramer {
  let pendingChunks: Buffer[] = []
  let pendingLength = 0

  /** Returns the last bytes before the next chunk. */
  function getContext (): Buffer {
    const context = Buffer.concat(pendingChunks.slice(-endContextLength))
    return context.subarray(Math.max(0, context.length - endContextLength))
  }

  function setPending (bytes: Buffer): void {
    pendingChunks = bytes.length === 0 ? [] : [bytes]
    pendingLength = bytes.length
  }

  return {
    push (chunk) {
      if (chunk.length === 0) return []
      const context = pendingLength === 0 ? undefined : getContext()
      const firstEnd = findEventEnd(context === undefined ? chunk : Buffer.concat([context, chunk]), 0)
      if (firstEnd < 0) {
        pendingChunks.push(chunk)
        pendingLength += chunk.length
        return []
      }
      const bytes = pendingLength === 0 ? chunk : Buffer.concat([...pendingChunks, chunk])
      const events: FramedSseEvent[] = []
      let start = 0
      for (let end = pendingLength - (context?.length ?? 0) + firstEnd; end > 0; end = findEventEnd(bytes, start)) {
        const event = bytes.subarray(start, end)
        // Only the id line is read; latin1 maps each byte to one character.
        events.push({ bytes: event, id: idLinePattern.exec(event.toString('latin1'))?.[1]?.trim() })
        start = end
      }
      setPending(bytes.subarray(start))
      return events
    },
    hasPartialEvent: () => pendingLength > 0
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
