import { failure, success, type Result } from '../shared/result.js'
import { ProtocolErrorKind, type ProtocolError } from './protocol-error.js'

const eventEnd = '\n\n'
const dataPrefix = 'data:'

/** Cuts a byte stream of server-sent events into the data of its events. */
export interface SseParser {
  /** Takes the next piece of text and returns the data of the events that it completes. */
  push (text: string): Result<string[], ProtocolError>
}

/** Creates a parser that refuses an event larger than the bound. */
export function createSseParser (maxEventCharacters: number): SseParser {
  let rest = ''
  return {
    push (text) {
      const events = (rest + text).replaceAll('\r\n', '\n').split(eventEnd)
      rest = events.pop() ?? ''
      if (rest.length > maxEventCharacters) {
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
