import { createChannel, type Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { getOrderKey, parseOrderRecord, type OrderId } from '../../state/order-record.js'
import type { KeyValueEntry, KeyValueStore } from '../ports/key-value-store.js'
import type { ServiceClient } from '../ports/service-client.js'
import { ClaimResultKind, createOrderClaims, type HeldClaim } from './order-claims.js'
import { getRequestDigest } from './order-digest.js'
import { OrderEventKind, type OrderEvent } from './order-event.js'
import { createOrderJudge } from './order-judge.js'
import { EarlierAttempts, OrderOutcomeKind, type OrderOutcome, type OrderRequest, type OrderStatus, type OrderStatusRequest } from './order-outcome.js'
import { createOrderReplies } from './order-replies.js'
import { createOrderSender } from './order-sender.js'
import type { OrderSettings } from './order-settings.js'
import { createOrderStatusCheck } from './order-status.js'
import { createOrderStore } from './order-store.js'
import { createOrderWriter } from './order-writer.js'
import { createOverdueClaims } from './overdue-claims.js'

/** Runs calls that must not repeat at most once, over all entry nodes and retries. */
export interface OrderExecutor {
  /** Has an order run, or says why not. Resolves no later than the caller's deadline. */
  submit (request: OrderRequest): Promise<OrderOutcome>
  /** Says what is known of an order; asks the service's own status check when the outcome is unknown. */
  getStatus (request: OrderStatusRequest): Promise<OrderStatus>
  readonly events: Channel<OrderEvent>
  /**
   * Refuses new orders and resolves when none is in flight and every write is settled. Delayed
   * writes are waited for only so long; returns how many are left.
   */
  drain (): Promise<number>
}

export interface OrderExecutorOptions {
  readonly store: KeyValueStore
  readonly serviceClient: ServiceClient
  readonly timers: TimerService
  readonly random: RandomSource
  /** Node id and incarnation of this process, `nodeId:incarnation`. */
  readonly claimant: string
  readonly settings: OrderSettings
}

/** One attempt of a caller while it is under way. */
interface Attempt {
  readonly request: OrderRequest
  readonly digest: string
  readonly deadlineMs: number
  /** Set as soon as the outcome is certain, before it is stored. */
  knownOutcome?: OrderOutcome
}

const maxClaimRounds = 3

/** Creates the order ledger of one node. */
export function createOrderExecutor ({ store, serviceClient, timers, random, claimant, settings }: OrderExecutorOptions): OrderExecutor {
  const events = createChannel<OrderEvent>()
  const replies = createOrderReplies(random, settings)
  const orderStore = createOrderStore(store, timers, random, settings)
  const writer = createOrderWriter({ store: orderStore, timers, random, events, settings, onSettled: notifyDrained })
  const claims = createOrderClaims({ store: orderStore, timers, random, writer, claimant, settings })
  const sender = createOrderSender(serviceClient, timers, settings)
  const overdueClaims = createOverdueClaims({ store: orderStore, timers, events, settings })
  const statusCheck = createOrderStatusCheck({ serviceClient, writer, settings })
  const heldTokens = new Set<string>()
  const judge = createOrderJudge({ replies, overdueClaims, isHeld: token => heldTokens.has(token) })
  const drainWaiters: Array<() => void> = []
  let inFlightCount = 0
  let isDraining = false

  /** Sends the order and stores what came of it. */
  async function run (attempt: Attempt, claim: HeldClaim): Promise<OrderOutcome> {
    heldTokens.add(claim.record.claimToken)
    const sent = await sender.send(claim, attempt.request, attempt.deadlineMs)
    const outcome = getSentOutcome(sent)
    attempt.knownOutcome = outcome
    const retryForMs = sent.kind === OrderOutcomeKind.NotRun ? {} : { retryForMs: settings.outcomeRetryForMs }
    await writer.write({ key: claim.key, record: sent.record, expectedRevision: claim.revision, ...retryForMs })
    heldTokens.delete(claim.record.claimToken)
    return outcome
  }

  function getSentOutcome (sent: Awaited<ReturnType<typeof sender.send>>): OrderOutcome {
    switch (sent.kind) {
      case OrderOutcomeKind.Done:
        return { kind: sent.kind, answer: sent.answer, isReplayed: false }
      case OrderOutcomeKind.NotRun:
        return replies.notRun(sent.reason, EarlierAttempts.NoneRan)
      case OrderOutcomeKind.Unknown:
        return { kind: sent.kind, reason: sent.reason }
    }
  }

  async function claimAndRun (attempt: Attempt): Promise<OrderOutcome> {
    let expectedRevision = 0
    for (let round = 0; round < maxClaimRounds; round += 1) {
      const claimed = await claims.claim(attempt.request, attempt.digest, expectedRevision)
      switch (claimed.kind) {
        case ClaimResultKind.Held:
          return run(attempt, claimed.claim)
        case ClaimResultKind.StoreOut:
          return replies.notRun(claimed.reason, EarlierAttempts.NotChecked)
        case ClaimResultKind.Undecided:
          events.send({ kind: OrderEventKind.ClaimUndecided, key: getOrderKey(attempt.request) })
          return replies.notRun(claimed.reason, EarlierAttempts.NotChecked)
        case ClaimResultKind.Taken: {
          const known = await judge.judge(claimed.entry, attempt.digest)
          if (known.kind !== OrderOutcomeKind.NotRun) return known
          expectedRevision = claimed.entry.revision
        }
      }
    }
    return replies.notRun('other attempts under the key came first', EarlierAttempts.NotChecked)
  }

  /** Looks an order up that cannot be sent now, so that a stored answer is still replayed. */
  async function lookUp (attempt: Attempt, reason: string): Promise<OrderOutcome> {
    const found = await orderStore.read(getOrderKey(attempt.request))
    if (!found.isOk) return replies.notRun(reason, EarlierAttempts.NotChecked)
    if (found.value === undefined) return replies.notRun(reason, EarlierAttempts.NoneRan)
    return judge.judge(found.value, attempt.digest)
  }

  async function decide (attempt: Attempt): Promise<OrderOutcome> {
    if (isDraining) return replies.notRun('the node is shutting down', EarlierAttempts.NotChecked)
    if (attempt.request.pickBackend() === undefined) return lookUp(attempt, 'no backend server takes new work')
    return claimAndRun(attempt)
  }

  /** Answers at the caller's deadline with what is known by then; the order itself goes on. */
  function answerInTime (attempt: Attempt, decided: Promise<OrderOutcome>): Promise<OrderOutcome> {
    return new Promise(resolve => {
      const timer = timers.subscribeOnce(attempt.request.deadlineMs, () => {
        resolve(attempt.knownOutcome ?? replies.running())
      })
      void decided.then(outcome => {
        timer.cancel()
        resolve(outcome)
      })
    })
  }

  function notifyDrained (): void {
    if (inFlightCount > 0) return
    for (const notify of drainWaiters.splice(0)) notify()
  }

  async function waitUntil (isReached: () => boolean): Promise<void> {
    while (!isReached()) {
      await new Promise<void>(resolve => { drainWaiters.push(resolve) })
    }
  }

  async function drain (): Promise<number> {
    isDraining = true
    await waitUntil(() => inFlightCount === 0)
    let isLate = false
    const limit = timers.subscribeOnce(settings.drainWritesForMs, () => {
      isLate = true
      notifyDrained()
    })
    await waitUntil(() => writer.getPendingCount() === 0 || isLate)
    limit.cancel()
    return writer.getPendingCount()
  }

  async function submit (request: OrderRequest): Promise<OrderOutcome> {
    const startedAtMs = timers.nowMs()
    const attempt: Attempt = { request, digest: getRequestDigest(request), deadlineMs: startedAtMs + request.deadlineMs }
    inFlightCount += 1
    const decided = decide(attempt).finally(() => {
      inFlightCount -= 1
      notifyDrained()
    })
    const outcome = await answerInTime(attempt, decided)
    events.send({
      kind: OrderEventKind.Answered,
      key: getOrderKey(request),
      outcome: outcome.kind,
      durationMs: timers.nowMs() - startedAtMs
    })
    return outcome
  }

  async function getStatus (request: OrderStatusRequest): Promise<OrderStatus> {
    const found = await orderStore.read(getOrderKey(request))
    if (!found.isOk) {
      return { kind: OrderOutcomeKind.Unavailable, reason: 'the key-value service does not answer', retryAfterMs: replies.spreadRetry() }
    }
    if (found.value === undefined) {
      return { kind: OrderOutcomeKind.NotFound, reason: describeMissing(request) }
    }
    const status = await judge.judge(found.value)
    if (status.kind !== OrderOutcomeKind.Unknown) return status
    return await resolveUnknown(request, found.value) ?? status
  }

  async function resolveUnknown (request: OrderStatusRequest, entry: KeyValueEntry): Promise<OrderStatus | undefined> {
    const record = parseOrderRecord(entry.value)
    if (record === undefined) return undefined
    const answer = await statusCheck.resolve(request, entry.key, entry.revision, record)
    return answer === undefined ? undefined : { kind: OrderOutcomeKind.Done, answer, isReplayed: true }
  }

  return {
    submit,
    getStatus,
    events,
    drain
  }
}

function describeMissing (id: OrderId): string {
  return `service "${id.service}" has no order under idempotency key "${id.idempotencyKey}"`
}
