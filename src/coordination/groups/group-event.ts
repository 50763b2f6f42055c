import type { EngineControlErrorKind, EngineCommandKind } from '../ports/engine-control.js'
import type { KeyValueErrorKind } from '../ports/key-value-store.js'

export enum GroupEventKind {
  /** This node stored a new domain record. */
  RecordWritten = 'recordWritten',
  /** Another owner changed the record first. */
  RecordConflict = 'recordConflict',
  /** A read or write of the record failed; the outcome of a write may be unknown. */
  StoreFailed = 'storeFailed',
  /** A stored or planned domain record is invalid, so it is neither used nor written. */
  RecordRejected = 'recordRejected',
  CommandSent = 'orderSent',
  CommandFailed = 'orderFailed',
  /** The command was not sent, because the record had changed or its last read was too old, for example after a process pause. */
  CommandWithheld = 'orderWithheld'
}

/** An action or failure of this node as owner of a domain, for logs, metrics and tests. All fields except `kind` are log fields. */
export type GroupEvent =
  | { readonly kind: GroupEventKind.RecordWritten, readonly fabricDomain: string, readonly revision: number }
  | { readonly kind: GroupEventKind.RecordConflict, readonly fabricDomain: string }
  | { readonly kind: GroupEventKind.StoreFailed, readonly fabricDomain: string, readonly errorKind: KeyValueErrorKind }
  | { readonly kind: GroupEventKind.RecordRejected, readonly fabricDomain: string, readonly reason: string }
  | { readonly kind: GroupEventKind.CommandSent, readonly orderKind: EngineCommandKind, readonly vmId: string, readonly groupId: string, readonly epoch: number }
  | { readonly kind: GroupEventKind.CommandFailed, readonly vmId: string, readonly groupId: string, readonly errorKind: EngineControlErrorKind }
  | { readonly kind: GroupEventKind.CommandWithheld, readonly vmId: string, readonly groupId: string }
