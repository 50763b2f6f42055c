import type { ConfigStatus, GossipMessage } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EntryNodeInfo } from '../ports/membership-view.js'

/** Inputs of the membership protocol. */
export enum MembershipEventKind {
  /** Periodic check for due work. */
  Tick = 'tick',
  Received = 'received',
  /** Addresses of nodes through which this node may join. */
  SeedsFound = 'seedsFound',
  /** The node had no live peer at two checks in a row, so the nodes read from the directory at the first did not respond. */
  AloneConfirmed = 'aloneConfirmed',
  Leave = 'leave'
}

/** An input of the membership protocol. */
export type MembershipEvent =
  | { readonly kind: MembershipEventKind.Tick }
  | { readonly kind: MembershipEventKind.Received, readonly message: GossipMessage }
  | { readonly kind: MembershipEventKind.SeedsFound, readonly addresses: readonly string[] }
  | { readonly kind: MembershipEventKind.AloneConfirmed }
  | { readonly kind: MembershipEventKind.Leave }

/** Outputs of the membership protocol. */
export enum MembershipActionKind {
  Send = 'send',
  /** The set of live nodes changed. */
  ViewChanged = 'viewChanged',
  PeerConfig = 'peerConfig',
  /** The node started or stopped trusting its view. */
  TrustChanged = 'trustChanged'
}

/** An output of the membership protocol, for its caller to perform. */
export type MembershipAction =
  | { readonly kind: MembershipActionKind.Send, readonly address: string, readonly message: GossipMessage }
  | { readonly kind: MembershipActionKind.ViewChanged, readonly liveNodes: readonly EntryNodeInfo[] }
  | { readonly kind: MembershipActionKind.PeerConfig, readonly node: EntryNodeInfo, readonly status: ConfigStatus }
  | { readonly kind: MembershipActionKind.TrustChanged, readonly isTrusted: boolean }
