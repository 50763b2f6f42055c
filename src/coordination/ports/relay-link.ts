import type { Result } from '../../shared/result.js'
import type { SourceAnswer } from './fleet-source.js'

/** Questions to another gateway that reads the store itself. */
export interface RelayLink {
  /**
   * Waits for changes after the revision; undefined asks for everything. Fails when the gateway cannot be
   * reached, does not read the store itself, or has had no answer from it lately.
   */
  ask (address: string, afterRevision: number | undefined, waitMs: number): Promise<Result<SourceAnswer, string>>
}
