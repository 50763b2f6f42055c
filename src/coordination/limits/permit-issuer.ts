/** Issues permits for a part of the rates at which servers take requests. */
import { createDecayingCounter, type DecayingCounter } from '../../shared/decaying-counter.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { PermitRule, PermitRules } from './permit-rules.js'
import type { ServerProcess } from './server-limits.js'

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
  readonly getRule: PermitRules
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
export function createPermitIssuer ({ timers, random, getRule, isIssuer, countIssuers }: PermitIssuerOptions): PermitIssuer {
  const buckets = new Map<string, Bucket>()
  const answers = new Map<string, { readonly answer: PermitAnswer, readonly atMs: number }>()

  /** The permits a second that this gateway issues for the server. */
  function getRate ({ limitPerSecond }: PermitRule): number {
    return limitPerSecond / countIssuers()
  }

  function findBucket (server: ServerProcess, rule: PermitRule): Bucket {
    const known = buckets.get(server.id)
    if (known?.server.startedAtMs === server.startedAtMs) return known
    const created = { server, tokenCount: 0, refilledAtMs: timers.nowMs(), ratePerSecond: getRate(rule), asks: createDecayingCounter(timers, askWindowMs), askIntervalMs: 0 }
    buckets.set(server.id, created)
    return created
  }

  function refill (bucket: Bucket, rule: PermitRule): number {
    const ratePerSecond = getRate(rule)
    const elapsedMs = timers.nowMs() - bucket.refilledAtMs
    bucket.refilledAtMs = timers.nowMs()
    // Permits that were saved under a higher limit would be too many under this one.
    if (ratePerSecond < bucket.ratePerSecond) bucket.tokenCount = 0
    bucket.ratePerSecond = ratePerSecond
    bucket.tokenCount = Math.min(rule.getCapacity(countIssuers()), bucket.tokenCount + ratePerSecond * elapsedMs / millisecondsPerSecond)
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
    const rule = getRule(server)
    if (rule === undefined) return { count, waitMs: 0 }
    if (!isIssuer(server) || rule.limitPerSecond === 0) return { count: 0, waitMs: notIssuerWaitMs }
    const bucket = findBucket(server, rule)
    const ratePerSecond = refill(bucket, rule)
    const permitIntervalMs = millisecondsPerSecond / ratePerSecond
    paceAsks(bucket, permitIntervalMs, rule.getCapacity(countIssuers()))
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
      const rule = getRule(server)
      if (bucket?.server.startedAtMs !== server.startedAtMs || rule === undefined) return
      refill(bucket, rule)
      bucket.tokenCount = Math.min(rule.getCapacity(countIssuers()), bucket.tokenCount + count)
    },
    getIssuedPerSecond: () => [...buckets.values()].reduce((sum, { server }) => {
      const rule = getRule(server)
      return rule === undefined || !isIssuer(server) ? sum : sum + getRate(rule)
    }, 0)
  }
}
