/** Plays gateways before servers that state limits, in virtual time, and counts at the servers. */
import { createServerLimits, StatementSource, type ServerLimits, type ServerProcess } from '../../coordination/limits/server-limits.js'
import { createServerPermits, type ServerPermits } from '../../coordination/limits/server-permits.js'
import { encodeLimitMessage, type LimitMessage } from '../../protocol/limit-messages.js'
import { createRandomSource, type RandomSource } from '../../shared/random-source.js'
import { createEventTimerService } from '../event-timer-service.js'

/** How gateways keep a limit. */
export enum LimitPolicy {
  Production = 'production',
  /** Each gateway sends an equal part of the limit, once it has heard of it. */
  EqualParts = 'equal parts',
  /** Limits are not read, as before. */
  None = 'none'
}

/** A limit that a server states from some time on; undefined ends it. */
export interface LimitStep {
  readonly fromMs: number
  readonly limitPerSecond: number | undefined
}

/** A gateway that stops and is replaced by one that knows nothing. */
export interface RestartStep {
  readonly atMs: number
  readonly gatewayIndex: number
  readonly downMs: number
}

export interface LimitFleetOptions {
  readonly seed: number
  readonly policy: LimitPolicy
  readonly gatewayCount: number
  /** Limits over time, for each server. */
  readonly servers: ReadonlyArray<readonly LimitStep[]>
  /** Requests a second for each server, from all clients. */
  readonly demandPerSecond: number
  /** One gateway in ten gets most of the requests. */
  readonly isUneven: boolean
  /** Fraction of the datagrams that are lost. */
  readonly lossFraction: number
  readonly durationMs: number
  readonly restarts?: readonly RestartStep[]
}

export interface LimitFleetResult {
  /** Requests in any 4 s over what the operators' rule allows, once a limit has settled; 1 is the highest that it allows. */
  readonly worstRatio: number
  /** Time from the first limit to the last request beyond what the rule allows, of all gateways, in ms. */
  readonly settledAfterMs: number
  /** Part of the limits that was used after they had settled, while requests were refused. */
  readonly usedFraction: number
  readonly meanBytesPerSecond: number
  /** Of the gateway with the most. */
  readonly highestBytesPerSecond: number
}

const maxWaitMs = 500
const serverDelayMs = 2
const responseMs = 25
const minMessageDelayMs = 3
const messageDelaySpreadMs = 5
/** A datagram in 100 comes late, and behind later ones. */
const lateFraction = 0.01
const maxLateMs = 300
/** IP and UDP headers. */
const datagramOverheadBytes = 28
const windowMs = 4000
const settlingMs = 3000
const millisecondsPerSecond = 1000
const startDelayMs = 1000
const silentLogger = { debug () {}, info () {}, warn () {}, error () {} }

interface Gateway {
  readonly id: string
  limits: ServerLimits
  permits: ServerPermits
  /** Increases with each restart: what was under way before it is dropped. */
  life: number
  isDown: boolean
  bytes: number
  /** Parts of the limits, for the policy of equal parts. */
  readonly parts: Map<string, { count: number, atMs: number }>
}

/** Plays the fleet; the same options give the same result. */
export async function playLimitFleet (options: LimitFleetOptions): Promise<LimitFleetResult> {
  const { seed, policy, gatewayCount, servers, demandPerSecond, lossFraction, durationMs } = options
  const timers = createEventTimerService()
  const random = createRandomSource(seed)
  const arrivalsMs: number[][] = servers.map(() => [])
  const gatewayIds = Array.from({ length: gatewayCount }, (_, index) => `gateway-${index}`)
  const gateways = gatewayIds.map(createGateway)
  const gatewaysById = new Map(gateways.map(gateway => [gateway.id, gateway]))
  const processes: ServerProcess[] = servers.map((_, index) => ({ id: `server-${index}`, startedAtMs: 1 }))

  function createGateway (id: string): Gateway {
    return { id, life: 0, isDown: false, bytes: 0, parts: new Map(), ...createParts(id, createRandomSource(seed + random.nextInt(1_000_000))) }
  }

  function createParts (id: string, ownRandom: RandomSource) {
    const limits = createServerLimits({ timers, logger: silentLogger })
    const permits = createServerPermits({
      nodeId: id, timers, random: ownRandom, limits, listGatewayIds: () => gatewayIds, countGateways: () => gatewayCount, send: (message, to) => deliver(id, message, to)
    })
    return { limits, permits }
  }

  function deliver (fromId: string, message: LimitMessage, toId: string): void {
    const from = gatewaysById.get(fromId)
    const to = gatewaysById.get(toId)
    if (from === undefined || to === undefined || from.isDown) return
    const size = encodeLimitMessage(message).length + datagramOverheadBytes
    from.bytes += size
    if (random.nextFloat() < lossFraction) return
    const lateMs = random.nextFloat() < lateFraction ? maxLateMs * random.nextFloat() : 0
    timers.subscribeOnce(minMessageDelayMs + messageDelaySpreadMs * random.nextFloat() + lateMs, () => {
      if (to.isDown) return
      to.bytes += size
      to.permits.applyMessage(message)
    })
  }

  function getLimit (serverIndex: number, atMs: number): number | undefined {
    return servers[serverIndex]?.findLast(({ fromMs }) => fromMs <= atMs)?.limitPerSecond
  }

  function pickGateway (): Gateway {
    const hotCount = Math.max(1, Math.floor(gatewayCount / 10))
    const index = options.isUneven && random.nextFloat() < 0.7 ? random.nextInt(hotCount) : random.nextInt(gatewayCount)
    return gateways[index] as Gateway
  }

  function sendNow (gateway: Gateway, serverIndex: number): void {
    const { life } = gateway
    const sentAtMs = timers.nowMs()
    const server = processes[serverIndex] as ServerProcess
    timers.subscribeOnce(serverDelayMs, () => {
      const limitPerSecond = getLimit(serverIndex, timers.nowMs())
      arrivalsMs[serverIndex]?.push(timers.nowMs())
      timers.subscribeOnce(responseMs, () => {
        if (gateway.life !== life || gateway.isDown || policy === LimitPolicy.None) return
        const isNew = limitPerSecond === undefined
          ? gateway.limits.recordEnd(server, sentAtMs, StatementSource.Response)
          : gateway.limits.record(server, limitPerSecond, timers.nowMs(), StatementSource.Response)
        if (isNew && policy === LimitPolicy.Production) gateway.permits.announce(server)
      })
    })
  }

  function trySend (gateway: Gateway, serverIndex: number): boolean {
    const server = processes[serverIndex] as ServerProcess
    const isAllowed = policy === LimitPolicy.EqualParts ? takePart(gateway, server) : policy === LimitPolicy.None || gateway.permits.take(server)
    if (isAllowed) sendNow(gateway, serverIndex)
    return isAllowed
  }

  function takePart ({ limits, parts }: Gateway, server: ServerProcess): boolean {
    const limitPerSecond = limits.getLimit(server)
    if (limitPerSecond === undefined) return true
    const part = parts.get(server.id) ?? { count: 0, atMs: timers.nowMs() }
    part.count = Math.min(1, part.count + limitPerSecond / gatewayCount * (timers.nowMs() - part.atMs) / millisecondsPerSecond)
    part.atMs = timers.nowMs()
    parts.set(server.id, part)
    if (part.count < 1) return false
    part.count -= 1
    return true
  }

  /** A request that no server takes now waits for a permit, and is refused after some time. */
  function handleRequest (serverIndex: number): void {
    const gateway = pickGateway()
    const server = processes[serverIndex] as ServerProcess
    if (gateway.isDown || trySend(gateway, serverIndex) || policy !== LimitPolicy.Production) return
    const { life, permits } = gateway
    permits.request(server)
    if (permits.getWaitMs(server) > maxWaitMs) return
    const end = () => {
      timeout.cancel()
      unsubscribe()
    }
    const timeout = timers.subscribeOnce(maxWaitMs, end)
    const unsubscribe = permits.subscribe({
      priority: 1,
      arrivedAtMs: timers.nowMs(),
      wake () {
        if (gateway.life !== life || trySend(gateway, serverIndex)) {
          end()
          return
        }
        permits.request(server)
        if (permits.getWaitMs(server) > maxWaitMs) end()
      }
    })
  }

  function scheduleRequests (serverIndex: number): void {
    const intervalMs = -Math.log(1 - random.nextFloat()) * millisecondsPerSecond / demandPerSecond
    timers.subscribeOnce(intervalMs, () => {
      handleRequest(serverIndex)
      scheduleRequests(serverIndex)
    })
  }

  function restart ({ gatewayIndex, downMs }: RestartStep): void {
    const gateway = gateways[gatewayIndex]
    if (gateway === undefined) return
    gateway.isDown = true
    gateway.life += 1
    timers.subscribeOnce(downMs, () => {
      Object.assign(gateway, createParts(gateway.id, createRandomSource(seed + random.nextInt(1_000_000))))
      gateway.isDown = false
    })
  }

  for (const index of servers.keys()) scheduleRequests(index)
  for (const step of options.restarts ?? []) timers.subscribeOnce(step.atMs, () => restart(step))
  await timers.runUntil(durationMs)

  const firstMs = Math.min(...servers.flat().filter(({ limitPerSecond }) => limitPerSecond !== undefined).map(({ fromMs }) => fromMs))
  const checks = arrivalsMs.map((times, index) => judgeServer(times, servers[index] ?? [], durationMs))
  const seconds = (durationMs - firstMs) / millisecondsPerSecond
  return {
    worstRatio: Math.max(...checks.map(({ worstRatio }) => worstRatio)),
    settledAfterMs: Math.max(...checks.map(({ lastExcessMs }) => lastExcessMs)) - firstMs,
    usedFraction: sum(checks.map(({ usedCount }) => usedCount)) / sum(checks.map(({ allowedCount }) => allowedCount)),
    meanBytesPerSecond: sum(gateways.map(({ bytes }) => bytes)) / gatewayCount / seconds,
    highestBytesPerSecond: Math.max(...gateways.map(({ bytes }) => bytes)) / seconds
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Requests that the limits of the steps allow between two times; time without a limit allows any number. */
function sumLimits (steps: readonly LimitStep[], fromMs: number, toMs: number): number {
  return sum(steps.map(({ fromMs: stepMs, limitPerSecond }, index) => {
    const overlapMs = Math.max(0, Math.min(toMs, steps[index + 1]?.fromMs ?? Infinity) - Math.max(fromMs, stepMs))
    return overlapMs === 0 ? 0 : (limitPerSecond ?? Infinity) * overlapMs / millisecondsPerSecond
  }))
}

interface ServerVerdict {
  readonly worstRatio: number
  readonly lastExcessMs: number
  readonly usedCount: number
  readonly allowedCount: number
}

/** Judges the arrivals at one server by the operators' rule, from the server's side alone. */
function judgeServer (times: readonly number[], steps: readonly LimitStep[], durationMs: number): ServerVerdict {
  const beginsMs = steps.filter(({ limitPerSecond }, index) => limitPerSecond !== undefined && steps[index - 1]?.limitPerSecond === undefined).map(({ fromMs }) => fromMs)
  const isSettling = (atMs: number) => beginsMs.some(fromMs => atMs < fromMs + settlingMs && atMs + windowMs > fromMs)
  let worstRatio = 0
  let lastExcessMs = Math.min(...beginsMs)
  let endIndex = 0
  for (const [index, atMs] of times.entries()) {
    while ((times[endIndex] ?? Infinity) < atMs + windowMs) endIndex += 1
    const ratio = (endIndex - index) / (1.5 * sumLimits(steps, atMs, atMs + windowMs) + 5)
    if (!isSettling(atMs)) worstRatio = Math.max(worstRatio, ratio)
    if (ratio > 1) lastExcessMs = Math.max(lastExcessMs, atMs)
  }
  const limitedTimes = steps.map((step, index) => ({ ...step, toMs: Math.min(durationMs, steps[index + 1]?.fromMs ?? Infinity) }))
    .map(({ fromMs, toMs, limitPerSecond }) => ({ fromMs: fromMs + settlingMs, toMs, limitPerSecond }))
    .filter(({ fromMs, toMs, limitPerSecond }) => toMs > fromMs && limitPerSecond !== undefined && limitPerSecond > 0)
  return {
    worstRatio,
    lastExcessMs,
    usedCount: sum(limitedTimes.map(({ fromMs, toMs }) => times.filter(atMs => atMs >= fromMs && atMs < toMs).length)),
    allowedCount: sum(limitedTimes.map(({ fromMs, toMs, limitPerSecond }) => (limitPerSecond ?? 0) * (toMs - fromMs) / millisecondsPerSecond))
  }
}

/** A limit that begins after the gateways have sent some requests. */
export function makeSteadyLimit (limitPerSecond: number): readonly LimitStep[] {
  return [{ fromMs: 0, limitPerSecond: undefined }, { fromMs: startDelayMs, limitPerSecond }]
}
