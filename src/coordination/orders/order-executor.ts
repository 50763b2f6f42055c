import { createChannel, type Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { getOrderKey, parseOrderRecord, type OrderId } from '../../state/order-record.js'
import type { KeyValueEntry, KeyValueStore } from '../ports/key-value-store.js'
import type { ServiceClient } from '../ports/service-client.js'
import { ClaimResultKind, createOrderClaimer, type HeldClaim } from './order-claimer.js'
import { getRequestDigest } from './order-digest.js'
import { OrderEventKind, type OrderEvent } from './order-event.js'
import { createOrderRecordEvaluator } from './order-record-evaluator.js'
import { EarlierAttempts, OrderOutcomeKind, type OrderOutcome, type OrderRequest, type OrderStatus, type OrderStatusRequest } from './order-outcome.js'
import { createRetryOutcomeFactory } from './retry-outcomes.js'
import { createOrderSender } from './order-sender.js'
import type { OrderSettings } from './order-settings.js'
import { createOrderStatusCheck } from './order-status-check.js'
import { createOrderStore } from './order-store.js'
import { createOrderWriter } from './order-writer.js'
import { createOverdueClaimTracker } from './overdue-claim-tracker.js'

/** Runs orders: each call runs at most once per idempotency key, across all entry nodes and client retries. */
export interface OrderExecutor {
  /** Runs an order or returns why it did not run. Resolves no later than the client's deadline. */
  submit (request: OrderRequest): Promise<OrderOutcome>
  /** Returns the status of an order. An unknown outcome is first looked up through the service's status check. */
  getStatus (request: OrderStatusRequest): Promise<OrderStatus>
  readonly events: Channel<OrderEvent>
  /**
   * Refuses new orders and resolves when none is in flight and all outcomes are stored. Delayed writes
   * are awaited for `drainWritesForMs` at most; returns the number of writes still pending.
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

/** A client's attempt in flight. */
interface Attempt {
  readonly request: OrderRequest
  readonly digest: string
  readonly deadlineMs: number
  /** Set as soon as the outcome is determined, before it is stored. */
  determinedOutcome?: OrderOutcome
}

/** Maximum number of claims per attempt; finding a released record causes another. */
const maxClaimRounds = 3

/** Creates the order executor of one node. */
export function createOrderExecutor ({ store, serviceClient, timers, random, claimant, settings }: OrderExecutorOptions): OrderExecutor {
  const events = createChannel<OrderEvent>()
  const retryOutcomes = createRetryOutcomeFactory(random, settings)
  const orderStore = createOrderStore(store, timers, random, settings)
  const writer = createOrderWriter({ store: orderStore, timers, random, events, settings, onSettled: notifyDrainWaiters })
  const claims = createOrderClaimer({ store: orderStore, timers, random, writer, claimant, settings })
  const sender = createOrderSender(serviceClient, timers, settings)
  const overdueClaims = createOverdueClaimTracker({ store: orderStore, timers, events, settings })
  const statusCheck = createOrderStatusCheck({ serviceClient, writer, settings })
  const heldTokens = new Set<string>()
  const evaluator = createOrderRecordEvaluator({ retryOutcomes, overdueClaims, isRunningHere: token => heldTokens.has(token) })
  const drainWaiters: Array<() => void> = []
  let inFlightCount = 0
  let isDraining = false

  /** Sends the order and stores its outcome. */
  async function sendAndStore (attempt: Attempt, claim: HeldClaim): Promise<OrderOutcome> {
    heldTokens.add(claim.record.claimToken)
    const sent = await sender.send(claim, attempt.request, attempt.deadlineMs)
    const outcome = getSentOutcome(sent)
    attempt.determinedOutcome = outcome
    const retryLimit = sent.kind === OrderOutcomeKind.NotRun ? {} : { retryForMs: settings.outcomeRetryForMs }
    await writer.write({ key: claim.key, record: sent.record, expectedRevision: claim.revision, ...retryLimit })
    heldTokens.delete(claim.record.claimToken)
    return outcome
  }

  function getSentOutcome (sent: Awaited<ReturnType<typeof sender.send>>): OrderOutcome {
    switch (sent.kind) {
      case OrderOutcomeKind.Done:
        return { kind: sent.kind, answer: sent.answer, isReplayed: false }
      case OrderOutcomeKind.NotRun:
        return retryOutcomes.notRun(sent.reason, EarlierAttempts.NoneRan)
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
          return sendAndStore(attempt, claimed.claim)
        case ClaimResultKind.StoreUnavailable:
          return retryOutcomes.notRun(claimed.reason, EarlierAttempts.NotChecked)
        case ClaimResultKind.Undecided:
          events.send({ kind: OrderEventKind.ClaimUndecided, key: getOrderKey(attempt.request) })
          return retryOutcomes.notRun(claimed.reason, EarlierAttempts.NotChecked)
        case ClaimResultKind.Taken: {
          const outcome = await evaluator.evaluate(claimed.entry, attempt.digest)
          if (outcome.kind !== OrderOutcomeKind.NotRun) return outcome
          expectedRevision = claimed.entry.revision
        }
      }
    }
    return retryOutcomes.notRun('concurrent attempts under the same key took precedence', EarlierAttempts.NotChecked)
  }

  /** Looks up an order that cannot be sent now; a response stored earlier is still replayed. */
  async function lookUpStored (attempt: Attempt, reason: string): Promise<OrderOutcome> {
    const found = await orderStore.read(getOrderKey(attempt.request))
    if (!found.isOk) return retryOutcomes.notRun(reason, EarlierAttempts.NotChecked)
    if (found.value === undefined) return retryOutcomes.notRun(reason, EarlierAttempts.NoneRan)
    return evaluator.evaluate(found.value, attempt.digest)
  }

  async function execute (attempt: Attempt): Promise<OrderOutcome> {
    if (isDraining) return retryOutcomes.notRun('the node is shutting down', EarlierAttempts.NotChecked)
    if (attempt.request.pickBackend() === undefined) return lookUpStored(attempt, 'no backend server accepts new work')
    return claimAndRun(attempt)
  }

  /** Resolves at the client's deadline with the outcome determined by then, or `Running`; the order itself continues. */
  function resolveByDeadline (attempt: Attempt, executed: Promise<OrderOutcome>): Promise<OrderOutcome> {
    return new Promise(resolve => {
      const timer = timers.subscribeOnce(attempt.request.timeoutMs, () => {
        resolve(attempt.determinedOutcome ?? retryOutcomes.running())
      })
      void executed.then(outcome => {
        timer.cancel()
        resolve(outcome)
      })
    })
  }

  function notifyDrainWaiters (): void {
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
      notifyDrainWaiters()
    })
    await waitUntil(() => writer.getPendingCount() === 0 || isLate)
    limit.cancel()
    return writer.getPendingCount()
  }

  async function submit (request: OrderRequest): Promise<OrderOutcome> {
    const startedAtMs = timers.nowMs()
    const attempt: Attempt = { request, digest: getRequestDigest(request), deadlineMs: startedAtMs + request.timeoutMs }
    inFlightCount += 1
    const executed = execute(attempt).finally(() => {
      inFlightCount -= 1
      notifyDrainWaiters()
    })
    const outcome = await resolveByDeadline(attempt, executed)
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
      return { kind: OrderOutcomeKind.Unavailable, reason: 'the key-value service does not respond', retryAfterMs: retryOutcomes.pickRetryAfterMs() }
    }
    if (found.value === undefined) {
      return { kind: OrderOutcomeKind.NotFound, reason: describeNotFound(request) }
    }
    const status = await evaluator.evaluate(found.value)
    if (status.kind !== OrderOutcomeKind.Unknown) return status
    return await resolveUnknown(request, found.value) ?? status
  }

  async function resolveUnknown (request: OrderStatusRequest, entry: KeyValueEntry): Promise<OrderStatus | undefined> {
    const record = parseOrderRecord(entry.value)
    if (record === undefined) return undefined
    const response = await statusCheck.resolve(request, entry.key, entry.revision, record)
    return response === undefined ? undefined : { kind: OrderOutcomeKind.Done, answer: response, isReplayed: true }
  }

  return {
    submit,
    getStatus,
    events,
    drain
  }
}

function describeNotFound (id: OrderId): string {
  return `service "${id.service}" has no order under idempotency key "${id.idempotencyKey}"`
}
