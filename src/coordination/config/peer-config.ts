import type { ConfigSnapshot, ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { Result } from '../../shared/result.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'

/** The peer did not respond in time; it may have received the request. */
export interface PeerConfigError {
  readonly kind: 'unreachable'
  readonly reason: string
}

/** Configuration calls to other entry nodes, implemented over `PeerLink`; all its errors become `unreachable`. Each call has its own timeout. */
export interface PeerConfigClient {
  /** Fetches the peer's status, and its configuration when that is newer than the known version. */
  fetch (node: EntryNodeInfo, knownVersion: number): Promise<Result<ConfigSnapshot, PeerConfigError>>
  /** Pushes a configuration; returns the peer's status after it has applied it. */
  push (node: EntryNodeInfo, snapshot: ConfigSnapshot): Promise<Result<ConfigStatus, PeerConfigError>>
}
