/** Issues permits for a part of the limits that servers state. */
import { createDecayingCounter, type DecayingCounter } from '../../shared/decaying-counter.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { ServerLimits, ServerProcess } from './server-limits.js'

/** Permits of a server's limit are issued by this many gateways, each for an equal part. */
export const issuerCountPerServer = 3

export interface PermitAnswer {
  readonly count: number
  /** Without permits: the time after which the asker should ask again. */
  readonly waitMs: number
}

export interface PermitIssuer {
  /** Issues up to `count` permits. An ask that is repeated, since its answer may be lost, gets the same answer. */
  issue (askerId: string, requestId: number, server: ServerProcess, count: number): PermitAnswer
  /** Takes back permits that were not used. */
  takeBack (server: ServerProcess, count: number): void
  /** Requests a second for which this gateway issues permits, over all servers. */
  getIssuedPerSecond (): number
}

export interface PermitIssuerOptions {
  readonly timers: TimerService
  readonly random: RandomSource
  readonly limits: Pick<ServerLimits, 'getLimit'>
  /** Whether this gateway is one of the server's issuers by its own list of gateways. */
  isIssuer (server: ServerProcess): boolean
  /** Number of gateways that issue permits for one server. */
  countIssuers (): number
}

interface Bucket {
  readonly server: ServerProcess
  tokenCount: number
  refilledAtMs: number
  ratePerSecond: number
  readonly asks: DecayingCounter
  /** Mean time after which askers without a permit ask again. */
  askIntervalMs: number
}

/** A server that states 0 or next to nothing gets this many requests a second, which show when it takes more again. */
export const minLimitPerSecond = 0.25
/** Permits that were not asked for can be saved up for this time. */
const saveMs = 700
/** And up to two in any case where the server takes this many requests a second; where it takes none, up to one. */
const twoSavedLimitPerSecond = 4
const millisecondsPerSecond = 1000
/** Asks for each permit that is issued. With fewer, permits beyond those that can be saved are lost while clients wait. */
const asksPerPermit = 6
const minAsksPerPermit = 1.5
const askWindowMs = 2000
const askIntervalStep = 1.1
const maxAskIntervalMs = 60_000
/** Spread of the times at which askers ask again, so that they do not ask at the same moment. */
const minAskJitter = 0.5
/** Longer than an asker repeats an ask. */
const answerRetentionMs = 1000
/** Asked again after this time, a gateway may have become an issuer in its own view too. */
const notIssuerWaitMs = 1000
/** Buckets of servers without asks for this time are dropped. */
const bucketRetentionMs = 60_000

/** Creates an issuer whose parts of the limits begin without permits, so that a former issuer's do not add up to them. */
export function createPermitIssuer ({ timers, random, limits, isIssuer, countIssuers }: PermitIssuerOptions): PermitIssuer {
  const buckets = new Map<string, Bucket>()
  const answers = new Map<string, { readonly answer: PermitAnswer, readonly atMs: number }>()

  function getRate (server: ServerProcess): number {
    return Math.max(minLimitPerSecond, limits.getLimit(server) ?? 0) / countIssuers()
  }

  function getCapacity (ratePerSecond: number): number {
    const limitPerSecond = ratePerSecond * countIssuers()
    return Math.max(1 + Math.min(1, limitPerSecond / twoSavedLimitPerSecond), ratePerSecond * saveMs / millisecondsPerSecond)
  }

  function findBucket (server: ServerProcess): Bucket {
    const known = buckets.get(server.id)
    if (known?.server.startedAtMs === server.startedAtMs) return known
    const created = { server, tokenCount: 0, refilledAtMs: timers.nowMs(), ratePerSecond: getRate(server), asks: createDecayingCounter(timers, askWindowMs), askIntervalMs: 0 }
    buckets.set(server.id, created)
    return created
  }

  function refill (bucket: Bucket): number {
    const ratePerSecond = getRate(bucket.server)
    const elapsedMs = timers.nowMs() - bucket.refilledAtMs
    bucket.refilledAtMs = timers.nowMs()
    // Permits that were saved under a higher limit would be too many under this one.
    if (ratePerSecond < bucket.ratePerSecond) bucket.tokenCount = 0
    bucket.ratePerSecond = ratePerSecond
    bucket.tokenCount = Math.min(getCapacity(ratePerSecond), bucket.tokenCount + ratePerSecond * elapsedMs / millisecondsPerSecond)
    return ratePerSecond
  }

  /** Adapts the interval between asks to the number of askers. */
  function paceAsks (bucket: Bucket, permitIntervalMs: number, capacity: number): void {
    const targetCount = Math.max(minAsksPerPermit, asksPerPermit / Math.max(1, (capacity / 2) ** 2))
    bucket.asks.increment()
    const asksPerInterval = bucket.asks.getCount() / askWindowMs * permitIntervalMs
    const changed = asksPerInterval > targetCount ? bucket.askIntervalMs * askIntervalStep : bucket.askIntervalMs / askIntervalStep
    bucket.askIntervalMs = Math.min(maxAskIntervalMs, Math.max(permitIntervalMs / targetCount, changed))
  }

  function issueNow (server: ServerProcess, count: number): PermitAnswer {
    if (limits.getLimit(server) === undefined) return { count, waitMs: 0 }
    if (!isIssuer(server)) return { count: 0, waitMs: notIssuerWaitMs }
    const bucket = findBucket(server)
    const ratePerSecond = refill(bucket)
    const permitIntervalMs = millisecondsPerSecond / ratePerSecond
    paceAsks(bucket, permitIntervalMs, getCapacity(ratePerSecond))
    const issuedCount = Math.min(count, Math.floor(bucket.tokenCount))
    bucket.tokenCount -= issuedCount
    if (issuedCount > 0) return { count: issuedCount, waitMs: 0 }
    const nextPermitMs = (1 - bucket.tokenCount) * permitIntervalMs
    return { count: 0, waitMs: Math.ceil(Math.max(nextPermitMs, bucket.askIntervalMs * (minAskJitter + random.nextFloat()))) }
  }

  function removeOld (): void {
    for (const [key, { atMs }] of answers) {
      if (timers.nowMs() - atMs <= answerRetentionMs) break
      answers.delete(key)
    }
    for (const [serverId, { refilledAtMs }] of buckets) {
      if (timers.nowMs() - refilledAtMs > bucketRetentionMs) buckets.delete(serverId)
    }
  }

  return {
    issue (askerId, requestId, server, count) {
      const key = `${askerId}/${requestId}`
      const known = answers.get(key)
      if (known !== undefined) return known.answer
      removeOld()
      const answer = issueNow(server, count)
      answers.set(key, { answer, atMs: timers.nowMs() })
      return answer
    },
    takeBack (server, count) {
      const bucket = buckets.get(server.id)
      if (bucket?.server.startedAtMs !== server.startedAtMs) return
      const ratePerSecond = refill(bucket)
      bucket.tokenCount = Math.min(getCapacity(ratePerSecond), bucket.tokenCount + count)
    },
    getIssuedPerSecond: () => [...buckets.values()].filter(({ server }) => limits.getLimit(server) !== undefined && isIssuer(server)).reduce((sum, { server }) => sum + getRate(server), 0)
  }
}
