import type { Result } from '../../shared/result.js'
import type { LoadReport } from '../dispatch/replica-loads.js'
import type { SourceResponse } from './fleet-source.js'

export interface RelayRequest {
  /** Undefined asks for everything. */
  readonly afterRevision: number | undefined
  /** Longest wait for a change. */
  readonly waitMs: number
  /** Asks for large values too, which the gateway otherwise reads from the store itself. */
  readonly wantsLargeValues: boolean
  /** Streams of the gateway that asks. */
  readonly loads: LoadReport
}

export interface RelayResponse {
  readonly source: SourceResponse
  /** Keys with large values that the answer leaves out. */
  readonly omittedKeys: readonly string[]
  /** Streams of all other gateways. */
  readonly loads: LoadReport
}

/** Questions to another gateway that reads the store itself. */
export interface RelayLink {
  /**
   * Waits for changes after the revision. Fails when the gateway cannot be reached, does not read the store
   * itself, or has had no answer from it lately.
   */
  fetch (address: string, question: RelayRequest): Promise<Result<RelayResponse, string>>
}
