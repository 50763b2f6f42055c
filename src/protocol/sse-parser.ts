import { failure, success, type Result } from '../shared/result.js'
import { ProtocolErrorKind, type ProtocolError } from './protocol-error.js'

const eventEnd = '\n\n'
const dataPrefix = 'data:'

/** Extracts the data of server-sent events from a text stream: for engine streams, of which an entry node reads every chunk. */
export interface SseParser {
  /** Takes the next chunk of text and returns the data of the events that it completes; events without data are left out. */
  push (text: string): Result<string[], ProtocolError>
}

/** Creates a parser that fails with `TooLarge` when more than `maxEventCharacters` characters of an incomplete event are buffered. */
export function createSseParser (maxEventCharacters: number): SseParser {
  let pendingText = ''
  return {
    push (text) {
      const events = (pendingText + text).replaceAll('\r\n', '\n').split(eventEnd)
      pendingText = events.pop() ?? ''
      if (pendingText.length > maxEventCharacters) {
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
