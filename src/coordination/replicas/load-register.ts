import type { BackendServer } from '../../state/backend-server.js'
import { needsLoad } from './domain-layout.js'

interface LoadInProgress {
  /** Undefined when an earlier planner ordered it. */
  readonly model: string | undefined
  readonly startedAtMs: number
  readonly beganAtMs: number
}

/** Loads in progress, which the list does not show before their end. */
export interface LoadRegister {
  note (server: BackendServer, model: string | undefined, nowMs: number): void
  /** Drops the loads that the list shows as done, or whose server has started anew or is gone. */
  forgetEnded (servers: ReadonlyMap<string, BackendServer>, nowMs: number): void
  has (serverId: string): boolean
  count (): number
  /** The server as it will be once its load has ended. */
  addLoading (server: BackendServer): BackendServer
}

/** A load that is not seen to end within this time is taken to have failed. */
const maxLoadMs = 60_000

/** Creates an empty register. */
export function createLoadRegister (): LoadRegister {
  const loads = new Map<string, LoadInProgress>()
  return {
    note (server, model, beganAtMs) {
      if (model !== undefined && !needsLoad(server, model)) return
      loads.set(server.id, { model, startedAtMs: server.startedAtMs, beganAtMs })
    },
    forgetEnded (servers, nowMs) {
      for (const [id, load] of loads) {
        const server = servers.get(id)
        const isOver = server === undefined || server.startedAtMs !== load.startedAtMs || hasEnded(server, load) || nowMs - load.beganAtMs > maxLoadMs
        if (isOver) loads.delete(id)
      }
    },
    has: serverId => loads.has(serverId),
    count: () => loads.size,
    addLoading (server) {
      const model = loads.get(server.id)?.model
      return model === undefined ? server : { ...server, stagedModels: [...new Set([...server.stagedModels, model])] }
    }
  }
}

function hasEnded (server: BackendServer, load: LoadInProgress): boolean {
  return load.model === undefined ? server.stagedModels.length > 0 : !needsLoad(server, load.model)
}
