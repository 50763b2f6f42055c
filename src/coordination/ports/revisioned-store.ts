import type { Result } from '../../shared/result.js'

/** One stored value with the revision of its last write. */
export interface StoredItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** A change of one key; a value of undefined means that the key was deleted. */
export interface StoredChange {
  readonly key: string
  readonly revision: number
  readonly value: string | undefined
}

export interface StoreSnapshot {
  readonly items: readonly StoredItem[]
  /** Revision of the store; changes above it are not in the snapshot. */
  readonly asOfRevision: number
}

export interface StoreChanges {
  readonly changes: readonly StoredChange[]
  readonly asOfRevision: number
}

export enum StoreErrorKind {
  /** An expected revision did not match; nothing was written. */
  Conflict = 'conflict',
  /** The lease of the write has ended; nothing was written. */
  LeaseEnded = 'leaseEnded',
  /** Changes after the given revision are no longer known. */
  HistoryDropped = 'historyDropped',
  /** The call was not carried out, and will not be. */
  Unavailable = 'unavailable',
  /** No usable reply arrived; a write may have taken effect, or may still. */
  Ambiguous = 'ambiguous'
}

/** An error of the store. */
export interface StoreError {
  readonly kind: StoreErrorKind
  readonly reason: string
}

export interface WriteRequest {
  readonly key: string
  /** Revision that the key must have now; 0 means that it must be absent. */
  readonly expectedRevision: number
  readonly value: string
  /** The key is removed when this lease ends. */
  readonly leaseId: number
}

/** A key-value service whose revisions count all changes of all keys. */
export interface RevisionedStore {
  /** Reads the items whose key begins with the prefix. */
  read (prefix: string): Promise<Result<StoreSnapshot, StoreError>>
  /** Waits until a key with the prefix changes after the revision, or until the wait ends. */
  watch (prefix: string, afterRevision: number, waitMs: number): Promise<Result<StoreChanges, StoreError>>
  /** Writes one key under a condition and returns its new revision. */
  write (request: WriteRequest): Promise<Result<number, StoreError>>
  grantLease (durationMs: number): Promise<Result<number, StoreError>>
  renewLease (leaseId: number): Promise<Result<undefined, StoreError>>
  revokeLease (leaseId: number): Promise<Result<undefined, StoreError>>
}
