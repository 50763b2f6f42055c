import type { BackendServer } from '../../state/backend-server.js'
import { needsWeightFetch } from './domain-layout.js'

interface FetchInProgress {
  /** Undefined when an earlier planner started the fetch. */
  readonly model: string | undefined
  readonly serverStartedAtMs: number
  readonly startedAtMs: number
}

/** Tracks fetches from the weight store, which the server list shows only when they have ended. */
export interface WeightFetchTracker {
  /** Records a fetch; `model` is undefined when it is not known. Does nothing when the server needs no fetch for the model. */
  recordStart (server: BackendServer, model: string | undefined, nowMs: number): void
  /** Removes fetches that the server list shows as done, that timed out, or whose server restarted or is gone. */
  removeEnded (servers: ReadonlyMap<string, BackendServer>, nowMs: number): void
  has (serverId: string): boolean
  count (): number
  /** Returns the server as if the model being fetched were already staged. */
  withFetchedModel (server: BackendServer): BackendServer
}

/** A fetch is assumed to have failed when the server list does not show its end within this time. */
const maxFetchMs = 60_000

/** Creates a tracker without fetches. */
export function createWeightFetchTracker (): WeightFetchTracker {
  const fetches = new Map<string, FetchInProgress>()
  return {
    recordStart (server, model, nowMs) {
      if (model !== undefined && !needsWeightFetch(server, model)) return
      fetches.set(server.id, { model, serverStartedAtMs: server.startedAtMs, startedAtMs: nowMs })
    },
    removeEnded (servers, nowMs) {
      for (const [id, fetch] of fetches) {
        const server = servers.get(id)
        const isOver = server === undefined || server.startedAtMs !== fetch.serverStartedAtMs || hasEnded(server, fetch) || nowMs - fetch.startedAtMs > maxFetchMs
        if (isOver) fetches.delete(id)
      }
    },
    has: serverId => fetches.has(serverId),
    count: () => fetches.size,
    withFetchedModel (server) {
      const model = fetches.get(server.id)?.model
      return model === undefined ? server : { ...server, stagedModels: [...new Set([...server.stagedModels, model])] }
    }
  }
}

function hasEnded (server: BackendServer, fetch: FetchInProgress): boolean {
  return fetch.model === undefined ? server.stagedModels.length > 0 : !needsWeightFetch(server, fetch.model)
}
