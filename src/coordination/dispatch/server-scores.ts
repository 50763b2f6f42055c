import type { TimerService } from '../../shared/timer-service.js'

/** Requests in flight, latency and failure rate of each server, as observed by this gateway. */
export interface ServerScores {
  beginRequest (serverId: string): void
  /** Records the end of a request; `latencyMs` is undefined when it ended without a response. */
  endRequest (serverId: string, latencyMs: number | undefined, isFailure: boolean): void
  /** Records an outcome of a request that stays in flight until `endRecordedRequest`. */
  recordOutcome (serverId: string, latencyMs: number | undefined, isFailure: boolean): void
  /** Ends a request whose outcome was recorded before. */
  endRecordedRequest (serverId: string): void
  /** Requests of this gateway in flight at the server. */
  countInFlight (serverId: string): number
  /** Expected cost in ms of sending the next request to the server; lower is better. */
  getCost (serverId: string): number
}

interface Score {
  inFlightCount: number
  latencyMs: number
  failureRate: number
  updatedAtMs: number
}

/** Latency assumed for a server without recent requests. */
const initialLatencyMs = 20
/** Weight of the newest sample in the moving averages. */
const smoothing = 0.25
/** A failure rate of 1 multiplies the cost by 1 plus this factor. */
const failureCost = 12
/** Observations lose half of their weight in this time, so a server that failed is tried again. */
const halfLifeMs = 4000

/** Creates scores that are equal for all servers. */
export function createServerScores (timers: TimerService): ServerScores {
  const scores = new Map<string, Score>()

  function getDecayedScore (serverId: string): Score {
    const nowMs = timers.nowMs()
    const score = scores.get(serverId)
    if (score === undefined) {
      const created = { inFlightCount: 0, latencyMs: initialLatencyMs, failureRate: 0, updatedAtMs: nowMs }
      scores.set(serverId, created)
      return created
    }
    const keptFraction = 0.5 ** ((nowMs - score.updatedAtMs) / halfLifeMs)
    score.latencyMs = initialLatencyMs + (score.latencyMs - initialLatencyMs) * keptFraction
    score.failureRate *= keptFraction
    score.updatedAtMs = nowMs
    return score
  }

  function recordOutcome (serverId: string, latencyMs: number | undefined, isFailure: boolean): void {
    const score = getDecayedScore(serverId)
    if (latencyMs !== undefined) score.latencyMs += (latencyMs - score.latencyMs) * smoothing
    score.failureRate += ((isFailure ? 1 : 0) - score.failureRate) * smoothing
  }

  function endRecordedRequest (serverId: string): void {
    getDecayedScore(serverId).inFlightCount -= 1
  }

  return {
    beginRequest (serverId) {
      getDecayedScore(serverId).inFlightCount += 1
    },
    endRequest (serverId, latencyMs, isFailure) {
      endRecordedRequest(serverId)
      recordOutcome(serverId, latencyMs, isFailure)
    },
    recordOutcome,
    endRecordedRequest,
    countInFlight: serverId => scores.get(serverId)?.inFlightCount ?? 0,
    getCost (serverId) {
      const score = getDecayedScore(serverId)
      return (score.inFlightCount + 1) * score.latencyMs * (1 + failureCost * score.failureRate)
    }
  }
}
