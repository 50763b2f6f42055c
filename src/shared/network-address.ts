/** Host name or IP address with a TCP or UDP port. */
export interface NetworkAddress {
  readonly host: string
  readonly port: number
}

const maxPort = 65535

/** Parses `host:port`; undefined for any other text and for ports outside 1 to 65535. */
export function parseAddress (text: string): NetworkAddress | undefined {
  const separator = text.lastIndexOf(':')
  const port = Number(text.slice(separator + 1))
  if (separator <= 0 || !Number.isInteger(port) || port <= 0 || port > maxPort) return undefined
  return { host: text.slice(0, separator), port }
}
