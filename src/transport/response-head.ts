/** Checks of the heads of responses. HTTP parsers accept more than can be read or passed on. */
import type { IncomingHttpHeaders } from 'node:http'

import { isFinalStatus } from './response-status.js'

/** The head of a response, of whatever parser. */
export interface ReceivedHead {
  readonly statusCode: number
  readonly headers: IncomingHttpHeaders
}

/** Returns why the head is not that of a final response whose body can be read, or undefined if it is. */
export function findHeadFault ({ statusCode, headers }: ReceivedHead): string | undefined {
  if (!isFinalStatus(statusCode)) return `the response has status ${statusCode}, which no final response has`
  // undici lists the values of a repeated field.
  const coding: string | readonly string[] | undefined = headers['transfer-encoding']
  // After any other coding parsers hand out what arrives until the end of the connection, undecoded.
  if (coding !== undefined && String(coding).trim().toLowerCase() !== 'chunked') return 'the response has a transfer coding other than "chunked"'
  return undefined
}
