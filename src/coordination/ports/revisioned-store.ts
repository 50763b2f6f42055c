import type { Result } from '../../shared/result.js'

/**
 * A state of the store's content. The store may come back from an older copy: what it acknowledged since is gone then, and
 * its era has risen by one. Revisions are comparable only within one era, since later eras give them out again.
 */
export interface StorePosition {
  /** 0 for a store that states no era. */
  readonly era: number
  readonly revision: number
}

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

/** All items with a prefix, at one revision. */
export interface StoreSnapshot {
  readonly era: number
  readonly items: readonly StoredItem[]
  /** Revision of the store; changes above it are not in the snapshot. */
  readonly asOfRevision: number
}

/** The changes with a prefix after one revision, up to `asOfRevision`. */
export interface StoreChanges {
  readonly era: number
  readonly changes: readonly StoredChange[]
  readonly asOfRevision: number
}

/** What a failed call proves about its effect. */
export enum StoreErrorKind {
  /** An expected revision did not match; nothing was written. */
  Conflict = 'conflict',
  /** The lease of the write has expired or was revoked; nothing was written. */
  LeaseEnded = 'leaseEnded',
  /** The store no longer keeps all changes after the given revision. */
  HistoryDropped = 'historyDropped',
  /** The call had no effect and will have none later. */
  Unavailable = 'unavailable',
  /** No usable response arrived; a write may have taken effect, or may still do so. */
  Ambiguous = 'ambiguous'
}

export interface StoreError {
  readonly kind: StoreErrorKind
  readonly reason: string
}

/** The store's ID of a lease; a bigint beyond `Number.MAX_SAFE_INTEGER`. */
export type LeaseId = number | bigint

/** A conditional write of one key that expires with a lease. */
export interface WriteRequest {
  readonly key: string
  /** Revision that the key must have for the write to succeed; 0 means that it must be absent. */
  readonly expectedRevision: number
  readonly value: string
  /** The key is removed when this lease ends. */
  readonly leaseId: LeaseId
}

/** A lease. Leases of an earlier era are gone, and the store may give their IDs to others. */
export interface StoreLease {
  readonly era: number
  readonly leaseId: LeaseId
}

/** The key-value service that the gateways use; it has one revision counter for all keys. */
export interface RevisionedStore {
  /** Reads the items whose key begins with the prefix. */
  read (prefix: string): Promise<Result<StoreSnapshot, StoreError>>
  /** Waits until a key with the prefix changes after the revision, or until the wait ends. */
  watch (prefix: string, afterRevision: number, waitMs: number): Promise<Result<StoreChanges, StoreError>>
  /** Writes one key if it has the expected revision, and returns its new position. */
  write (request: WriteRequest): Promise<Result<StorePosition, StoreError>>
  /** Removes one key if it has the expected revision. */
  remove (key: string, expectedRevision: number): Promise<Result<undefined, StoreError>>
  grantLease (durationMs: number): Promise<Result<StoreLease, StoreError>>
  /** Extends a lease by its full duration, and returns the era in which that happened: in a later one the ID names another lease. */
  renewLease (leaseId: LeaseId): Promise<Result<number, StoreError>>
  /** Ends a lease and removes its keys. */
  revokeLease (leaseId: LeaseId): Promise<Result<undefined, StoreError>>
}
