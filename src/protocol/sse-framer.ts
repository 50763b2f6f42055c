const lineFeed = 0x0a
const carriageReturn = 0x0d
const idLine = /^id: ?(.*)$/m

/** A whole server-sent event as its bytes arrived. */
export interface FramedSseEvent {
  readonly bytes: Buffer
  /** Undefined for an event without an id. */
  readonly id: string | undefined
}

/** Cuts a byte stream into whole server-sent events and leaves their bytes unchanged. */
export interface SseFramer {
  push (chunk: Buffer): FramedSseEvent[]
  /** Whether bytes of an unfinished event have arrived. */
  hasPartialEvent (): boolean
}

/** Creates a framer at the beginning of a stream. */
export function createSseFramer (): SseFramer {
  let rest: Buffer = Buffer.alloc(0)
  return {
    push (chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const events: FramedSseEvent[] = []
      let start = 0
      for (let end = findEventEnd(bytes, start); end > 0; end = findEventEnd(bytes, start)) {
        const event = bytes.subarray(start, end)
        events.push({ bytes: event, id: idLine.exec(event.toString('latin1'))?.[1]?.trim() })
        start = end
      }
      rest = bytes.subarray(start)
      return events
    },
    hasPartialEvent: () => rest.length > 0
  }
}

/** Returns the index after the blank line that ends the event, or -1. */
function findEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(lineFeed, start); index >= 0; index = bytes.indexOf(lineFeed, index + 1)) {
    if (bytes[index + 1] === lineFeed) return index + 2
    if (bytes[index + 1] === carriageReturn && bytes[index + 2] === lineFeed) return index + 3
  }
  return -1
}
