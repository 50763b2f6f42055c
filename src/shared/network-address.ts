/** Host name or IP address with a TCP or UDP port. */
export interface NetworkAddress {
  readonly host: string
  readonly port: number
}

const maxPort = 65535
const addressPattern = /^([^\s\0]{1,253}):(\d{1,5})$/

/** Parses `host:port`; undefined for any other text, also for ports outside 1 to 65535 and for text that no host name has. */
export function parseAddress (text: string): NetworkAddress | undefined {
  const [, host, digits] = addressPattern.exec(text) ?? []
  const port = Number(digits)
  return host === undefined || port === 0 || port > maxPort ? undefined : { host, port }
}
