export interface NetworkAddress {
  readonly host: string
  readonly port: number
}

const maxPort = 65535

/** Parses `host:port`; undefined for anything else. */
export function parseAddress (text: string): NetworkAddress | undefined {
  const separator = text.lastIndexOf(':')
  const port = Number(text.slice(separator + 1))
  if (separator <= 0 || !Number.isInteger(port) || port <= 0 || port > maxPort) return undefined
  return { host: text.slice(0, separator), port }
}
