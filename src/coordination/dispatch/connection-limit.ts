/** Fraction of the connections that the gateways share. The rest is for idle and closing connections, and for gateways that are not listed yet. */
const usableFraction = 0.7
/** A gateway gets this many even if all gateways together may then exceed the server's maximum. */
const minLimitPerGateway = 2

/** Returns how many requests one gateway may have in flight at a server that accepts `maxConnectionCount` connections from all gateways. */
export function computeConnectionLimit (maxConnectionCount: number, gatewayCount: number): number {
  return Math.max(minLimitPerGateway, Math.floor(maxConnectionCount * usableFraction / gatewayCount))
}
