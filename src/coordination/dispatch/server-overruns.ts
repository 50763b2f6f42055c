import type { Logger } from '../../observability/log.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { BackendServer } from '../../state/backend-server.js'
import type { ServerHolds } from './server-holds.js'

/** Servers that send more than a response may hold. */
export interface ServerOverruns {
  /** A response of the server was broken off, since it was too large or had no end. */
  record (server: BackendServer, reason: string): void
}

export interface ServerOverrunsOptions {
  readonly timers: TimerService
  readonly holds: ServerHolds
  readonly logger: Logger
}

/** One such response may be that of a single request; several in this time are a fault of the server. */
const windowMs = 10_000
const faultCount = 3
/** Time without requests, after which the server is tried again. */
const holdMs = 5000

/** Creates the record without overruns. */
export function createServerOverruns ({ timers, holds, logger }: ServerOverrunsOptions): ServerOverruns {
  /** Times of the last overruns, by the process of the server. */
  const overrunsAtMs = new Map<string, number[]>()

  function removeOld (): void {
    for (const [key, times] of overrunsAtMs) {
      if (timers.nowMs() - (times.at(-1) ?? -Infinity) > windowMs) overrunsAtMs.delete(key)
    }
  }

  return {
    record (server, reason) {
      removeOld()
      const key = `${server.id}/${server.startedAtMs}`
      const times = [...overrunsAtMs.get(key) ?? [], timers.nowMs()].filter(atMs => timers.nowMs() - atMs <= windowMs).slice(-faultCount)
      overrunsAtMs.set(key, times)
      if (times.length < faultCount || holds.getRemainingMs(server) > 0) return
      holds.record(server, holdMs)
      logger.warn('A server sends responses that are too large or have no end; it gets no requests for some time.', { serverId: server.id, reason, holdMs })
    }
  }
}
