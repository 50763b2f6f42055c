import type { NetworkAddress } from '../shared/network-address.js'

/** What a gateway process is told about its place and the deployment's bounds. */
export interface GatewaySettings {
  readonly nodeId: string
  readonly zone: string
  /** Where callers connect. */
  readonly clientAddress: NetworkAddress
  /** Where the balancer asks for readiness. */
  readonly readinessAddress: NetworkAddress
  /** Where datagrams of other gateways arrive. */
  readonly peerAddress: NetworkAddress
  readonly metricsAddress: NetworkAddress
  /** The shortest lease that the store grants. */
  readonly minLeaseMs: number
  readonly bounds: GatewayBounds
}

/** Bounds of the deployment; a running gateway takes over new ones. */
export interface GatewayBounds {
  /** Time from SIGTERM until the process is killed. */
  readonly shutdownLimitMs: number
  /** Time after which a removed API key is refused everywhere; undefined where there is no bound. */
  readonly keyRevocationLimitMs: number | undefined
  /** Time after which a group that lost a member is broken. */
  readonly stallLimitMs: number
  /** Second attempts that a service may get, as a part of its requests. */
  readonly retryRatio: number
  readonly retryWindowMs: number
  /** Second attempts in a window on top of the ratio, of all gateways together. */
  readonly retrySlackCount: number
}
