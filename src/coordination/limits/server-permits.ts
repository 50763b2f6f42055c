/** Permits to send requests to servers that state a limit or are cold: obtained from their issuers when requests ask for them, and used once. */
import { LimitMessageKind, type ColdNotice, type LimitMessage, type LimitNotice, type PermitGrant, type PermitRequest } from '../../protocol/limit-messages.js'
import { hashToNumber, rankByDigest } from '../../shared/digest-rank.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { ColdServers } from '../servers/cold-servers.js'
import { createPermitRules, type ColdBounds } from './permit-rules.js'
import { createPermitIssuer, issuerCountPerServer } from './permit-issuer.js'
import { StatementSource, type ServerLimits, type ServerProcess } from './server-limits.js'

/** A call that waits for a permit of any server. */
export interface PermitWaiter {
  /** 0 is the most urgent. */
  readonly priority: number
  readonly arrivedAtMs: number
  /** Called when a permit has arrived or an ask was answered without one. */
  wake (): void
}

export interface ServerPermits {
  /** Whether a request may go to the server now: it needs no permit, or there is one. */
  maySend (server: ServerProcess): boolean
  /** Uses a permit where the server needs one. False when there is none. */
  take (server: ServerProcess): boolean
  /** Asks an issuer for a permit, unless there is one, an ask is under way, or all issuers have asked for more time. */
  request (server: ServerProcess): void
  /** Time until a permit may be had; 0 when one may be on its way. */
  getWaitMs (server: ServerProcess): number
  /** Wakes the call at each answer, the most urgent first, until the returned function is called. */
  subscribe (waiter: PermitWaiter): () => void
  applyMessage (message: LimitMessage): void
  /** Tells other gateways what a server has stated to this one, since that was new. */
  announce (server: ServerProcess): void
  /** Tells other gateways that this one has learned that a server is cold, if it is one of its issuers. */
  announceCold (server: ServerProcess): void
  /** Requests a second for which this gateway issues permits. */
  getIssuedPerSecond (): number
}

export interface ServerPermitsOptions {
  readonly nodeId: string
  readonly timers: TimerService
  readonly random: RandomSource
  readonly limits: ServerLimits
  /** Undefined where no server is ever cold. */
  readonly cold?: Pick<ColdServers, 'getState' | 'getOwnState' | 'recordHeard'>
  getColdBounds?(): ColdBounds
  /** IDs of the registered gateways. Returns the same array until the list changes. */
  listGatewayIds (): readonly string[]
  /** Number of gateways, which falls only after some time. */
  countGateways (): number
  /** Sends a datagram, which may be lost, to another gateway. */
  send (message: LimitMessage, nodeId: string): void
}

interface Permit {
  readonly issuerId: string
  readonly expiry: TimerSubscription
}

interface PendingAsk {
  readonly requestId: number
  readonly issuerId: string
  readonly sentAtMs: number
  tryCount: number
  timer: TimerSubscription
}

interface ServerState {
  readonly server: ServerProcess
  permits: Permit[]
  pending: PendingAsk | undefined
  /** Times until which issuers need not be asked. */
  readonly retryAtMs: Map<string, number>
}

/** Longer than a datagram there and back and a busy event loop take. */
const answerTimeoutMs = 80
const maxTryCount = 3
/** An issuer that has not answered is not asked for this time. */
const silentIssuerMs = 1500
const maxAskedCount = 4
/** Time after which a call looks again for issuers: gateways are listed again within this time after the store lost their list. */
const noIssuerWaitMs = 1500
/** A notice goes to one more than the logarithm of the gateways, from each gateway to which it is new: nearly all get it, also when some are lost. */
const extraNoticeFanout = 1
const maxHopCount = 8
/** A notice may have been on its way for this time: one of an end counts as that much older. */
const maxNoticeDelayMs = 500
/** States of servers above this number are dropped once they hold no permit. */
const maxIdleStateCount = 2000

/** Creates the permits of one gateway, which is itself an issuer for some servers. */
export function createServerPermits (options: ServerPermitsOptions): ServerPermits {
  const { nodeId, timers, random, limits, cold, send } = options
  const getRule = createPermitRules(limits, cold, options.getColdBounds)
  const states = new Map<string, ServerState>()
  const waiters = new Set<PermitWaiter>()
  const issuersByServer = new Map<string, readonly string[]>()
  let issuersOfGateways: readonly string[] | undefined
  let wakeTimer: TimerSubscription | undefined
  let requestCount = random.nextInt(1_000_000_000)
  const issuer = createPermitIssuer({
    timers,
    random,
    getRule,
    isIssuer: server => listIssuers(server).includes(nodeId),
    countIssuers: () => Math.max(1, Math.min(issuerCountPerServer, options.countGateways()))
  })

  /** The gateways that issue permits of the server, in the order in which this one asks them: itself first, then a different one at each gateway. */
  function listIssuers ({ id, startedAtMs }: ServerProcess): readonly string[] {
    const gatewayIds = options.listGatewayIds()
    if (gatewayIds !== issuersOfGateways) issuersByServer.clear()
    issuersOfGateways = gatewayIds
    const known = issuersByServer.get(id)
    if (known !== undefined) return known
    // Without a list each gateway would issue permits to itself, which all together would be too many for a cold server.
    if (gatewayIds.length === 0 && options.countGateways() > 1 && cold?.getState({ id, startedAtMs }) !== undefined) return []
    const ranked = rankByDigest(id, gatewayIds.length === 0 ? [nodeId] : gatewayIds).slice(0, issuerCountPerServer)
    const first = ranked.includes(nodeId) ? ranked.indexOf(nodeId) : hashToNumber(`${nodeId}/${id}`) % ranked.length
    const ordered = [...ranked.slice(first), ...ranked.slice(0, first)]
    issuersByServer.set(id, ordered)
    return ordered
  }

  function findState (server: ServerProcess): ServerState {
    const known = states.get(server.id)
    if (known?.server.startedAtMs === server.startedAtMs) return known
    removeIdle()
    const created: ServerState = { server: { id: server.id, startedAtMs: server.startedAtMs }, permits: [], pending: undefined, retryAtMs: new Map() }
    states.set(server.id, created)
    return created
  }

  function removeIdle (): void {
    if (states.size < maxIdleStateCount) return
    issuersByServer.clear()
    for (const [serverId, { permits, pending }] of states) {
      if (permits.length === 0 && pending === undefined) states.delete(serverId)
    }
  }

  /** Later, since a call that is being woken may ask for permits itself. */
  function scheduleWake (): void {
    if (waiters.size > 0) wakeTimer ??= timers.subscribeOnce(0, wakeWaiters)
  }

  function wakeWaiters (): void {
    wakeTimer = undefined
    const sorted = [...waiters].sort((left, right) => left.priority - right.priority || left.arrivedAtMs - right.arrivedAtMs)
    for (const waiter of sorted) {
      if (waiters.has(waiter)) waiter.wake()
    }
  }

  function addPermits (state: ServerState, issuerId: string, count: number, lifetimeMs: number): void {
    for (let index = 0; index < count; index += 1) {
      const permit: Permit = { issuerId, expiry: timers.subscribeOnce(lifetimeMs, () => returnPermit(state, permit)) }
      state.permits.push(permit)
    }
  }

  function returnPermit (state: ServerState, permit: Permit): void {
    state.permits = state.permits.filter(other => other !== permit)
    const { id: serverId, startedAtMs } = state.server
    if (permit.issuerId === nodeId) issuer.takeBack(state.server, 1)
    else send({ kind: LimitMessageKind.Return, serverId, startedAtMs, count: 1 }, permit.issuerId)
  }

  function applyAnswer (state: ServerState, issuerId: string, { count, waitMs }: Pick<PermitGrant, 'count' | 'waitMs'>, sentAtMs: number): void {
    const lifetimeMs = sentAtMs + (getRule(state.server)?.validityMs ?? 0) - timers.nowMs()
    if (count > 0) addPermits(state, issuerId, count, Math.max(0, lifetimeMs))
    else state.retryAtMs.set(issuerId, timers.nowMs() + waitMs)
    if (count === 0 && waiters.size > 0) ask(state)
    scheduleWake()
  }

  /** Asks the next issuer. */
  function ask (state: ServerState): void {
    const issuerId = listIssuers(state.server).find(id => (state.retryAtMs.get(id) ?? 0) <= timers.nowMs())
    if (issuerId === undefined || state.pending !== undefined) return
    requestCount += 1
    const count = Math.min(maxAskedCount, Math.max(1, waiters.size))
    if (issuerId === nodeId) {
      applyAnswer(state, nodeId, issuer.issue(nodeId, requestCount, state.server, count), timers.nowMs())
      return
    }
    state.pending = { requestId: requestCount, issuerId, sentAtMs: timers.nowMs(), tryCount: 0, timer: timers.subscribeOnce(0, () => {}) }
    sendAsk(state, state.pending, count)
  }

  function sendAsk (state: ServerState, pending: PendingAsk, count: number): void {
    const { server } = state
    const statement = limits.getStatement(server)
    pending.timer.cancel()
    pending.tryCount += 1
    pending.timer = timers.subscribeOnce(answerTimeoutMs, () => {
      if (pending.tryCount < maxTryCount) {
        sendAsk(state, pending, count)
        return
      }
      state.pending = undefined
      applyAnswer(state, pending.issuerId, { count: 0, waitMs: silentIssuerMs }, pending.sentAtMs)
    })
    send({
      kind: LimitMessageKind.Request,
      serverId: server.id,
      startedAtMs: server.startedAtMs,
      nodeId,
      requestId: pending.requestId,
      count,
      limitPerSecond: statement?.limitPerSecond,
      ageMs: getAgeMs(statement?.statedAtMs),
      cold: cold?.getOwnState(server)
    }, pending.issuerId)
  }

  function getAgeMs (statedAtMs: number | undefined): number {
    return Math.max(0, Math.round(timers.nowMs() - (statedAtMs ?? timers.nowMs())))
  }

  function answerRequest ({ serverId, startedAtMs, limitPerSecond, ageMs, nodeId: askerId, requestId, count, cold: askerState }: PermitRequest): void {
    const server = { id: serverId, startedAtMs }
    if (limitPerSecond !== undefined) applyStatement(server, limitPerSecond, timers.nowMs() - ageMs)
    if (askerState !== undefined) cold?.recordHeard(server, askerState)
    const answer = issuer.issue(askerId, requestId, server, count)
    const statement = limits.getStatement(server)
    send({
      kind: LimitMessageKind.Grant,
      serverId,
      startedAtMs,
      requestId,
      ...answer,
      statement: statement === undefined || statement.limitPerSecond === limitPerSecond ? undefined : { limitPerSecond: statement.limitPerSecond, ageMs: getAgeMs(statement.statedAtMs) }
    }, askerId)
  }

  function applyGrant ({ serverId, startedAtMs, requestId, statement, ...answer }: PermitGrant): void {
    const state = states.get(serverId)
    const pending = state?.pending
    if (state === undefined || pending === undefined || state.server.startedAtMs !== startedAtMs || pending.requestId !== requestId) return
    pending.timer.cancel()
    state.pending = undefined
    // The issuer answered after the ask was sent, so that its statement is at least as new as this time.
    if (statement !== undefined) applyStatement(state.server, statement.limitPerSecond, pending.sentAtMs - statement.ageMs)
    applyAnswer(state, pending.issuerId, answer, pending.sentAtMs)
  }

  function applyStatement (server: ServerProcess, limitPerSecond: number | undefined, statedAtMs: number): boolean {
    const isNew = limitPerSecond === undefined
      ? limits.recordEnd(server, statedAtMs, StatementSource.OtherGateway)
      : limits.record(server, limitPerSecond, statedAtMs, StatementSource.OtherGateway)
    if (isNew) dropPermits(server)
    return isNew
  }

  /** Drops permits that were issued under another limit. */
  function dropPermits (server: ServerProcess): void {
    const state = findState(server)
    for (const { expiry } of state.permits) expiry.cancel()
    state.permits = []
  }

  function applyNotice ({ serverId, startedAtMs, limitPerSecond, ageMs, hopCount }: LimitNotice): void {
    const server = { id: serverId, startedAtMs }
    const delayMs = limitPerSecond === undefined ? maxNoticeDelayMs : 0
    if (!applyStatement(server, limitPerSecond, timers.nowMs() - ageMs - delayMs)) return
    if (hopCount < maxHopCount) sendNotice(server, hopCount + 1)
    scheduleWake()
  }

  function sendNotice (server: ServerProcess, hopCount: number): void {
    const statement = limits.getStatement(server)
    if (statement === undefined) return
    const notice: LimitNotice = {
      kind: LimitMessageKind.Notice,
      serverId: server.id,
      startedAtMs: server.startedAtMs,
      limitPerSecond: statement.limitPerSecond,
      ageMs: getAgeMs(statement.statedAtMs),
      hopCount
    }
    for (const gatewayId of pickOthers()) send(notice, gatewayId)
  }

  function applyColdNotice ({ serverId, startedAtMs, cold: state, hopCount }: ColdNotice): void {
    const server = { id: serverId, startedAtMs }
    if (cold?.recordHeard(server, state) !== true) return
    dropPermits(server)
    if (hopCount < maxHopCount) sendColdNotice(server, hopCount + 1)
    scheduleWake()
  }

  function sendColdNotice ({ id: serverId, startedAtMs }: ServerProcess, hopCount: number): void {
    const state = cold?.getState({ id: serverId, startedAtMs })
    if (state === undefined) return
    for (const gatewayId of pickOthers()) send({ kind: LimitMessageKind.ColdNotice, serverId, startedAtMs, cold: state, hopCount }, gatewayId)
  }

  function pickOthers (): string[] {
    const others = options.listGatewayIds().filter(id => id !== nodeId)
    const fanout = Math.ceil(Math.log(others.length + 1)) + extraNoticeFanout
    if (others.length <= fanout) return others
    return Array.from({ length: fanout }, () => others[random.nextInt(others.length)] as string)
  }

  return {
    maySend: server => getRule(server) === undefined || findState(server).permits.length > 0,
    take (server) {
      if (getRule(server) === undefined) return true
      const permit = findState(server).permits.shift()
      permit?.expiry.cancel()
      return permit !== undefined
    },
    request (server) {
      const rule = getRule(server)
      if (rule === undefined || rule.limitPerSecond === 0) return
      const state = findState(server)
      if (state.permits.length === 0) ask(state)
    },
    getWaitMs (server) {
      const state = findState(server)
      if (state.permits.length > 0 || state.pending !== undefined || getRule(server) === undefined) return 0
      const retryTimesMs = listIssuers(server).map(id => state.retryAtMs.get(id) ?? 0)
      if (retryTimesMs.length === 0) return noIssuerWaitMs
      return Math.max(0, Math.min(...retryTimesMs) - timers.nowMs())
    },
    subscribe (waiter) {
      waiters.add(waiter)
      return () => { waiters.delete(waiter) }
    },
    applyMessage (message) {
      switch (message.kind) {
        case LimitMessageKind.Notice: return applyNotice(message)
        case LimitMessageKind.ColdNotice: return applyColdNotice(message)
        case LimitMessageKind.Request: return answerRequest(message)
        case LimitMessageKind.Grant: return applyGrant(message)
        case LimitMessageKind.Return: return issuer.takeBack({ id: message.serverId, startedAtMs: message.startedAtMs }, message.count)
      }
    },
    announce (server) {
      dropPermits(server)
      sendNotice(server, 0)
      scheduleWake()
    },
    announceCold (server) {
      dropPermits(server)
      if (listIssuers(server).includes(nodeId)) sendColdNotice(server, 0)
      scheduleWake()
    },
    getIssuedPerSecond: issuer.getIssuedPerSecond
  }
}
