import type { FleetConfig } from '../../state/fleet-config.js'
import type { WriteError } from './config-writer.js'

/** How far a configuration change got. */
export enum ChangeOutcomeKind {
  /** Stored, and no node uses an older version any more. */
  InForce = 'inForce',
  /** Stored permanently, but not known to be in force: too few witnesses responded in time. */
  Accepted = 'accepted',
  /** Not stored, or with unknown outcome; see the error. */
  Failed = 'failed'
}

/** Outcome of a configuration change. */
export type ChangeOutcome =
  | StoredConfigChange
  | { readonly kind: ChangeOutcomeKind.Failed, readonly error: WriteError }

/** A stored change, and how many nodes use it. */
export interface StoredConfigChange {
  readonly kind: ChangeOutcomeKind.InForce | ChangeOutcomeKind.Accepted
  readonly config: FleetConfig
  /** Number of known nodes, including this one, that confirmed using this version or a newer one. */
  readonly confirmedNodeCount: number
  /** Number of known nodes, including this one. */
  readonly knownNodeCount: number
}
