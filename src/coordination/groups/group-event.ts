import type { EngineControlErrorKind, EngineCommandKind } from '../ports/engine-control.js'
import type { KeyValueErrorKind } from '../ports/key-value-store.js'

export enum GroupEventKind {
  /** A new record of a domain is in force. */
  RecordWritten = 'recordWritten',
  /** Another owner changed the record first. */
  RecordConflict = 'recordConflict',
  StoreFailed = 'storeFailed',
  /** The stored record breaks a rule and is left alone. */
  RecordRejected = 'recordRejected',
  CommandSent = 'orderSent',
  CommandFailed = 'orderFailed',
  /** The record's confirmation had run out right before an order, for example after a pause. */
  CommandWithheld = 'orderWithheld'
}

/** What the owner of a domain did, for logs, metrics and tests. */
export type GroupEvent =
  | { readonly kind: GroupEventKind.RecordWritten, readonly fabricDomain: string, readonly revision: number }
  | { readonly kind: GroupEventKind.RecordConflict, readonly fabricDomain: string }
  | { readonly kind: GroupEventKind.StoreFailed, readonly fabricDomain: string, readonly errorKind: KeyValueErrorKind }
  | { readonly kind: GroupEventKind.RecordRejected, readonly fabricDomain: string, readonly reason: string }
  | { readonly kind: GroupEventKind.CommandSent, readonly orderKind: EngineCommandKind, readonly vmId: string, readonly groupId: string, readonly epoch: number }
  | { readonly kind: GroupEventKind.CommandFailed, readonly vmId: string, readonly groupId: string, readonly errorKind: EngineControlErrorKind }
  | { readonly kind: GroupEventKind.CommandWithheld, readonly vmId: string, readonly groupId: string }
