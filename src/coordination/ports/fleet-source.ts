import type { Result } from '../../shared/result.js'
import type { StoreChanges, StoreError, StoreSnapshot } from './revisioned-store.js'

/** How current an answer is; it may have come by way of another gateway. */
export interface SourceAge {
  /** Time since the store confirmed the content, when the answer was made; 0 for the store's own answer. */
  readonly ageMs: number
  /** The store was away a moment ago, so that entries may be missing that are about to return. */
  readonly isStoreBack: boolean
}

export type SourceResponse =
  | { readonly isWhole: true, readonly snapshot: StoreSnapshot, readonly age: SourceAge }
  | { readonly isWhole: false, readonly changes: StoreChanges, readonly age: SourceAge }

/** Where a gateway learns what the store holds. */
export interface FleetSource {
  /** Whether the last answer was the store's own; then whole reads must repair what watches missed. */
  isDirect (): boolean
  /** Reads everything, as of the known revision or a later one. */
  readAll (knownRevision: number): Promise<Result<SourceResponse, StoreError>>
  /** Waits for changes after the revision; may answer with everything instead. */
  watch (afterRevision: number, waitMs: number): Promise<Result<SourceResponse, StoreError>>
}
