import { failure, success, type Result } from '../shared/result.js'
import { ProtocolErrorKind, type ProtocolError } from './protocol-error.js'

const eventEnd = '\n\n'
const dataPrefix = 'data:'

/** Extracts the data of server-sent events from a text stream: for engine streams, of which an entry node reads every chunk. */
export interface SseParser {
  /** Takes the next chunk of text and returns the data of the events that it completes; events without data are left out. */
  push (text: string): Result<string[], ProtocolError>
}

/**
 * Creates a parser that fails with `TooLarge` for an event of more than `maxEventCharacters` characters, complete or not. Each
 * character is searched and copied a bounded number of times, however small the chunks are.
 */
export function createSseParser (maxEventCharacters: number): SseParser {
  let pendingParts: string[] = []
  let pendingLength = 0
  /** A carriage return at the end of a chunk, which may belong to a line end. */
  let heldReturn = ''

  function append (part: string): void {
    if (part !== '') pendingParts.push(part)
    pendingLength += part.length
  }

  /** Returns the text of the event that ends with `rest`, and starts the next one. */
  function takeEvent (rest: string): string {
    append(rest)
    const event = pendingParts.join('')
    pendingParts = []
    pendingLength = 0
    return event
  }

  return {
    push (text) {
      const received = heldReturn + text
      heldReturn = received.endsWith('\r') ? '\r' : ''
      const chunk = received.slice(0, received.length - heldReturn.length).replaceAll('\r\n', '\n')
      const endsInLineFeed = pendingParts.at(-1)?.endsWith('\n') === true
      const events: string[] = []
      let start = 0
      // The first line feed of an event's end may be the last character before this chunk.
      if (endsInLineFeed && chunk.startsWith('\n')) {
        events.push(takeEvent(''))
        start = 1
      }
      for (let end = chunk.indexOf(eventEnd, start); end >= 0; end = chunk.indexOf(eventEnd, start)) {
        events.push(takeEvent(chunk.slice(start, end)))
        start = end + eventEnd.length
      }
      append(chunk.slice(start))
      if (pendingLength > maxEventCharacters || events.some(event => event.length > maxEventCharacters)) {
        return failure({ kind: ProtocolErrorKind.TooLarge, reason: `event is larger than ${maxEventCharacters} characters` })
      }
      return success(events.map(getData).filter(data => data.length > 0))
    }
  }
}

function getData (event: string): string {
  return event.split('\n')
    .filter(line => line.startsWith(dataPrefix))
    .map(line => line.slice(dataPrefix.length).trimStart())
    .join('\n')
}
