import type { TimerService } from '../../shared/timer-service.js'

/** What this gateway has seen of one server's answers. */
export interface ServerScores {
  beginRequest (serverId: string): void
  /** `latencyMs` is undefined for an attempt that ended without an answer. */
  endRequest (serverId: string, latencyMs: number | undefined, isFailure: boolean): void
  /** Requests in progress there. */
  countInFlight (serverId: string): number
  /** Expected cost of sending the next request there; less is better. */
  getCost (serverId: string): number
}

interface Score {
  inFlightCount: number
  latencyMs: number
  failureRate: number
  updatedAtMs: number
}

const startLatencyMs = 20
/** Weight of the newest answer. */
const smoothing = 0.25
/** A failure costs as much as this many usual latencies. */
const failureCost = 12
/** Old observations lose half of their weight in this time, so that a server is tried again. */
const halfLifeMs = 4000

/** Creates scores that prefer no server. */
export function createServerScores (timers: TimerService): ServerScores {
  const scores = new Map<string, Score>()

  function get (serverId: string): Score {
    const nowMs = timers.nowMs()
    const score = scores.get(serverId)
    if (score === undefined) {
      const created = { inFlightCount: 0, latencyMs: startLatencyMs, failureRate: 0, updatedAtMs: nowMs }
      scores.set(serverId, created)
      return created
    }
    const kept = 0.5 ** ((nowMs - score.updatedAtMs) / halfLifeMs)
    score.latencyMs = startLatencyMs + (score.latencyMs - startLatencyMs) * kept
    score.failureRate *= kept
    score.updatedAtMs = nowMs
    return score
  }

  return {
    beginRequest (serverId) {
      get(serverId).inFlightCount += 1
    },
    endRequest (serverId, latencyMs, isFailure) {
      const score = get(serverId)
      score.inFlightCount -= 1
      if (latencyMs !== undefined) score.latencyMs += (latencyMs - score.latencyMs) * smoothing
      score.failureRate += ((isFailure ? 1 : 0) - score.failureRate) * smoothing
    },
    countInFlight: serverId => scores.get(serverId)?.inFlightCount ?? 0,
    getCost (serverId) {
      const score = get(serverId)
      return (score.inFlightCount + 1) * score.latencyMs * (1 + failureCost * score.failureRate)
    }
  }
}
