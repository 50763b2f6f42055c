import type { ConfigSnapshot, ConfigStatus } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { Result } from '../../shared/result.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'

/** The peer did not answer in time; it may have got the message. */
export interface PeerConfigError {
  readonly kind: 'unreachable'
  readonly reason: string
}

/** Configuration calls to one other entry node. Each call ends within a timeout of its own. */
export interface PeerConfigPort {
  /** Asks for the peer's status, and for its configuration when that is newer than the known version. */
  fetch (node: EntryNodeInfo, knownVersion: number): Promise<Result<ConfigSnapshot, PeerConfigError>>
  /** Hands over a configuration; returns the peer's status after it has taken it in. */
  push (node: EntryNodeInfo, snapshot: ConfigSnapshot): Promise<Result<ConfigStatus, PeerConfigError>>
}
