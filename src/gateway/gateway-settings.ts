import type { NetworkAddress } from '../shared/network-address.js'

/** Settings of a gateway process: its identity, its addresses and the deployment's bounds. */
export interface GatewaySettings {
  readonly nodeId: string
  readonly zone: string
  /** Where clients connect. */
  readonly clientAddress: NetworkAddress
  /** Where the load balancer checks readiness. */
  readonly readinessAddress: NetworkAddress
  /** Where load reports (UDP) and relay requests (HTTP) of other gateways arrive. */
  readonly peerAddress: NetworkAddress
  readonly metricsAddress: NetworkAddress
  /** The shortest lease that the store grants. */
  readonly minLeaseMs: number
  readonly bounds: GatewayBounds
  /** Whether replicas that have just opened or that answer late get fewer streams than they have slots; false when undefined. */
  readonly hasPace?: boolean
}

/** Bounds of the deployment; they can change while the gateway runs. */
export interface GatewayBounds {
  /** Time from SIGTERM until the process is killed. */
  readonly shutdownLimitMs: number
  /** Time within which a removed API key must be refused everywhere; undefined where there is no bound. */
  readonly keyRevocationLimitMs: number | undefined
  /** Time after which a replica that has lost a member stops serving by itself. */
  readonly stallLimitMs: number
  /** Retry budget of a service, as a fraction of its requests in the window. */
  readonly retryRatio: number
  readonly retryWindowMs: number
  /** Retries that a window allows on top of the ratio, for all gateways together. */
  readonly retrySlackCount: number
  /** Requests to a cold server in any second, as a multiple of its rate; `defaultColdBounds` when left out. */
  readonly coldOverrunRatio?: number
  /** Requests that it may get on top in any second. */
  readonly coldSlackCount?: number
}
