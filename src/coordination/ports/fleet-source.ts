import type { Result } from '../../shared/result.js'
import type { StoreChanges, StoreError, StorePosition, StoreSnapshot } from './revisioned-store.js'

/** Age of a response, which may have been relayed by another gateway. */
export interface SourceAge {
  /** Time between the store's last confirmation of the content and the response; 0 when the store itself responded. */
  readonly ageMs: number
  /** The store has just recovered from an outage: entries may be missing until servers and gateways register again. */
  readonly isStoreBack: boolean
}

/** A full snapshot (`isWhole`) or the changes after the requested revision. */
export type SourceResponse =
  | {
    readonly isWhole: true
    readonly snapshot: StoreSnapshot
    /**
     * Keys of the snapshot that nobody has written since the store came back from a copy, as far as a relay knows;
     * undefined when the store itself responded.
     */
    readonly carriedOverKeys: readonly string[] | undefined
    readonly age: SourceAge
  }
  | { readonly isWhole: false, readonly changes: StoreChanges, readonly age: SourceAge }

/** Source from which a gateway reads the store's entries: the store itself or another gateway. */
export interface FleetSource {
  /** Whether the last response came from the store itself, whose watches can miss changes that only full reads catch. */
  isDirect (): boolean
  /** Reads all entries, as of the known position or a later one; undefined when none is known. */
  readAll (known: StorePosition | undefined): Promise<Result<SourceResponse, StoreError>>
  /** Waits for changes after the position; may return a full snapshot instead. The response may be of another era. */
  watch (after: StorePosition, waitMs: number): Promise<Result<SourceResponse, StoreError>>
}
