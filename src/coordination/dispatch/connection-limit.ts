/** Kept for connections that idle or are being closed, and for gateways that are not in the list yet. */
const usedPart = 0.7
const minLimit = 2

/** Requests that one gateway may have at a server which accepts so many connections from all. */
export function computeConnectionLimit (maxConnectionCount: number, gatewayCount: number): number {
  return Math.max(minLimit, Math.floor(maxConnectionCount * usedPart / gatewayCount))
}
