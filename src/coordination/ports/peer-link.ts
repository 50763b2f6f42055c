import type {
  ConfigSnapshot,
  ConfigStatus,
  DescribeDomainsResponse,
  PollGroupsRequest,
  PollGroupsResponse
} from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { Result } from '../../shared/result.js'

/** Why a call to a peer failed. */
export enum PeerErrorKind {
  Unreachable = 'unreachable',
  /** The peer responded that it cannot execute the call. */
  Refused = 'refused'
}

export interface PeerError {
  readonly kind: PeerErrorKind
  readonly reason: string
}

/** Calls to another entry node. Addresses are `host:port` of the peer's RPC server. */
export interface PeerLink {
  pollGroups (peerAddress: string, request: PollGroupsRequest): Promise<Result<PollGroupsResponse, PeerError>>
  fetchConfig (peerAddress: string, knownVersion: number): Promise<Result<ConfigSnapshot, PeerError>>
  pushConfig (peerAddress: string, snapshot: ConfigSnapshot): Promise<Result<ConfigStatus, PeerError>>
  describeDomains (peerAddress: string): Promise<Result<DescribeDomainsResponse, PeerError>>
}

/** Handlers for the calls of other entry nodes. */
export interface PeerHandlers {
  pollGroups (request: PollGroupsRequest): PollGroupsResponse
  fetchConfig (knownVersion: number): ConfigSnapshot
  pushConfig (snapshot: ConfigSnapshot): ConfigStatus
  describeDomains (): DescribeDomainsResponse
}
