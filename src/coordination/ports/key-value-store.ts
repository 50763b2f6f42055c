import type { Result } from '../../shared/result.js'

/** One stored value with the revision of its last write. */
export interface KeyValueEntry {
  readonly key: string
  /** JSON text, at most 1 MB. */
  readonly value: string
  readonly revision: number
}

/** What a failed call proves about its effect. */
export enum KeyValueErrorKind {
  /**
   * Nothing was written: the expected revision did not match, or the store does not know the lease of the write,
   * in which case `current` has the expected revision.
   */
  Conflict = 'conflict',
  /** The call had no effect and will have none later. */
  Unavailable = 'unavailable',
  /** No response arrived: a write may have taken effect, or may still do so. */
  Ambiguous = 'ambiguous'
}

export type KeyValueError =
  | { readonly kind: KeyValueErrorKind.Conflict, readonly current: KeyValueEntry | undefined }
  | { readonly kind: KeyValueErrorKind.Unavailable, readonly reason: string }
  | { readonly kind: KeyValueErrorKind.Ambiguous, readonly reason: string }

/** A conditional write of one key. */
export interface CompareAndSwapRequest {
  readonly key: string
  /** Revision the key must have now; 0 means that the key must be absent. */
  readonly expectedRevision: number
  /** New JSON text; undefined deletes the key. */
  readonly value: string | undefined
  /** Removes the key when this lease expires. */
  readonly leaseId?: string
}

/** A long poll for a change of one key. */
export interface WatchRequest {
  readonly key: string
  /** The watch returns as soon as the key has a revision above this one. */
  readonly afterRevision: number
  /** The watch returns undefined when nothing changes within this time. */
  readonly timeoutMs: number
}

/** The platform's key-value service, as the entry nodes use it. Each call counts against its rate limit; a watch counts as one call. */
export interface KeyValueStore {
  get (key: string): Promise<Result<KeyValueEntry | undefined, KeyValueError>>
  /** Lists the entries whose key starts with the prefix, ordered by key. */
  list (prefix: string): Promise<Result<readonly KeyValueEntry[], KeyValueError>>
  /** Returns the new revision. */
  compareAndSwap (request: CompareAndSwapRequest): Promise<Result<number, KeyValueError>>
  watch (request: WatchRequest): Promise<Result<KeyValueEntry | undefined, KeyValueError>>
  /** Returns the id of a new lease. */
  grantLease (durationMs: number): Promise<Result<string, KeyValueError>>
  /** Renews a lease; false when it has expired. */
  renewLease (leaseId: string): Promise<Result<boolean, KeyValueError>>
}
