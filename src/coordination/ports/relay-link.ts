import type { Result } from '../../shared/result.js'
import type { LoadReport } from '../dispatch/replica-loads.js'
import type { SourceResponse } from './fleet-source.js'
import type { StorePosition } from './revisioned-store.js'

/** A gateway's request for changes in the store. */
export interface RelayRequest {
  /** Position that the requesting gateway knows; undefined requests all entries. */
  readonly after: StorePosition | undefined
  /** Longest wait for a change. */
  readonly waitMs: number
  /** Whether to include values above the relay's size limit; otherwise the requesting gateway reads them from the store. */
  readonly wantsLargeValues: boolean
  /** Stream counts of the requesting gateway. */
  readonly loads: LoadReport
}

/** Entries or changes read by the relay, with the stream counts of the other gateways. */
export interface RelayResponse {
  readonly source: SourceResponse
  /** Keys whose large values the response omits. */
  readonly omittedKeys: readonly string[]
  /** Stream counts of all other gateways. */
  readonly loads: LoadReport
}

/** Requests to a relay: another gateway, which reads the store itself. */
export interface RelayLink {
  /**
   * Waits for changes after the position. Fails when the gateway cannot be reached, does not read the store
   * itself, or has received no recent response from the store.
   */
  fetch (address: string, request: RelayRequest): Promise<Result<RelayResponse, string>>
}
