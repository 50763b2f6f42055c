import type { FleetConfig } from '../../state/fleet-config.js'
import type { WriteError } from './config-writer.js'

export enum ChangeOutcomeKind {
  /** Stored, and no node acts on an older version any more. */
  InForce = 'inForce',
  /** Stored for good, but not yet known to be in force: too few witnesses answered in time. */
  Accepted = 'accepted',
  /** Not stored, or not known to be; see the error. */
  Failed = 'failed'
}

export type ChangeOutcome =
  | StoredChange
  | { readonly kind: ChangeOutcomeKind.Failed, readonly error: WriteError }

export interface StoredChange {
  readonly kind: ChangeOutcomeKind.InForce | ChangeOutcomeKind.Accepted
  readonly config: FleetConfig
  /** Nodes known to act on the version or a newer one, of those known. */
  readonly confirmedNodeCount: number
  readonly knownNodeCount: number
}
