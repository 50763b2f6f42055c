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

/** Creates a framer at the beginning of a stream. */
export function createSseFramer (): SseFramer {
  let pendingBytes: Buffer = Buffer.alloc(0)
  return {
    push (chunk) {
      const bytes = pendingBytes.length === 0 ? chunk : Buffer.concat([pendingBytes, chunk])
      const events: FramedSseEvent[] = []
      let start = 0
      for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
        const event = bytes.subarray(start, end)
        // Only the id line is read; latin1 maps each byte to one character.
        events.push({ bytes: event, id: idLinePattern.exec(event.toString('latin1'))?.[1]?.trim() })
        start = end
      }
      pendingBytes = bytes.subarray(start)
      return events
    },
    hasPartialEvent: () => pendingBytes.length > 0
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
