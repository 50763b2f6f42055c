import type { EngineControlErrorKind, EngineOrderKind } from '../ports/engine-control.js'
import type { KeyValueErrorKind } from '../ports/key-value-store.js'

export enum GroupEventKind {
  /** A new record of a domain is in force. */
  RecordWritten = 'recordWritten',
  /** Another owner changed the record first. */
  RecordConflict = 'recordConflict',
  StoreFailed = 'storeFailed',
  /** The stored record breaks a rule and is left alone. */
  RecordRejected = 'recordRejected',
  OrderSent = 'orderSent',
  OrderFailed = 'orderFailed',
  /** The record's confirmation had run out right before an order, for example after a pause. */
  OrderWithheld = 'orderWithheld'
}

/** What the owner of a domain did, for logs, metrics and tests. */
export type GroupEvent =
  | { readonly kind: GroupEventKind.RecordWritten, readonly fabricDomain: string, readonly revision: number }
  | { readonly kind: GroupEventKind.RecordConflict, readonly fabricDomain: string }
  | { readonly kind: GroupEventKind.StoreFailed, readonly fabricDomain: string, readonly errorKind: KeyValueErrorKind }
  | { readonly kind: GroupEventKind.RecordRejected, readonly fabricDomain: string, readonly reason: string }
  | { readonly kind: GroupEventKind.OrderSent, readonly orderKind: EngineOrderKind, readonly vmId: string, readonly groupId: string, readonly epoch: number }
  | { readonly kind: GroupEventKind.OrderFailed, readonly vmId: string, readonly groupId: string, readonly errorKind: EngineControlErrorKind }
  | { readonly kind: GroupEventKind.OrderWithheld, readonly vmId: string, readonly groupId: string }
