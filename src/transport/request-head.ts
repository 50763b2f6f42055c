import type { IncomingMessage } from 'node:http'

/** Bytes of the request line and the headers as they were sent, with a space and a line end each. */
export function countHeadBytes ({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  const separatorLength = 2
  const httpVersionLength = 'HTTP/1.1'.length
  const requestLineLength = method.length + url.length + httpVersionLength + 2 * separatorLength
  return rawHeaders.reduce((sum, text) => sum + text.length + separatorLength, requestLineLength)
}
