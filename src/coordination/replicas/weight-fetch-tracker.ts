import type { BackendServer } from '../../state/backend-server.js'
import { needsLoad } from './domain-layout.js'

interface LoadInProgress {
  /** Undefined when an earlier planner started the load. */
  readonly model: string | undefined
  readonly serverStartedAtMs: number
  readonly loadStartedAtMs: number
}

/** Tracks loads in progress, which the server list shows only when they have ended. */
export interface LoadTracker {
  /** Records a load; `model` is undefined when it is not known. Does nothing when the server needs no load for the model. */
  recordStart (server: BackendServer, model: string | undefined, nowMs: number): void
  /** Removes loads that the server list shows as done, that timed out, or whose server restarted or is gone. */
  removeEnded (servers: ReadonlyMap<string, BackendServer>, nowMs: number): void
  has (serverId: string): boolean
  count (): number
  /** Returns the server with the model in progress listed as staged. */
  withLoadingModel (server: BackendServer): BackendServer
}

/** A load is assumed to have failed when the server list does not show its end within this time. */
const maxLoadMs = 60_000

/** Creates a tracker without loads. */
export function createLoadTracker (): LoadTracker {
  const loads = new Map<string, LoadInProgress>()
  return {
    recordStart (server, model, nowMs) {
      if (model !== undefined && !needsLoad(server, model)) return
      loads.set(server.id, { model, serverStartedAtMs: server.startedAtMs, loadStartedAtMs: nowMs })
    },
    removeEnded (servers, nowMs) {
      for (const [id, load] of loads) {
        const server = servers.get(id)
        const isOver = server === undefined || server.startedAtMs !== load.serverStartedAtMs || hasEnded(server, load) || nowMs - load.loadStartedAtMs > maxLoadMs
        if (isOver) loads.delete(id)
      }
    },
    has: serverId => loads.has(serverId),
    count: () => loads.size,
    withLoadingModel (server) {
      const model = loads.get(server.id)?.model
      return model === undefined ? server : { ...server, stagedModels: [...new Set([...server.stagedModels, model])] }
    }
  }
}

function hasEnded (server: BackendServer, load: LoadInProgress): boolean {
  return load.model === undefined ? server.stagedModels.length > 0 : !needsLoad(server, load.model)
}
