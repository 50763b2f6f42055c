import type { IncomingHttpHeaders } from 'node:http'

/** Returns the value of a header, the first of several: undici lists all values of a repeated header, whatever its name. */
export function getFirstValue (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}
