import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { getOrderKey, OrderState, parseOrderRecord, releaseOrder, type OrderRecord } from '../../state/order-record.js'
import { KeyValueErrorKind, type KeyValueEntry } from '../ports/key-value-store.js'
import type { OrderRequest } from './order-outcome.js'
import { getOutcomeDueInMs, type OrderSettings } from './order-settings.js'
import type { OrderStore } from './order-store.js'
import type { OrderWriter } from './order-writer.js'

/** A stored claim: the exclusive right to send an order, valid until `sendDeadlineMs`. */
export interface HeldClaim {
  readonly key: string
  readonly record: OrderRecord
  readonly revision: number
  /** Monotonic time by which the order must be sent. */
  readonly sendDeadlineMs: number
  /** Monotonic time by which a call under the claim is aborted. */
  readonly callDeadlineMs: number
}

/** Result of an attempt to claim an order. */
export enum ClaimResultKind {
  Held = 'held',
  /** The key already has a record. */
  Taken = 'taken',
  /** The store was unavailable; nothing was written. */
  StoreUnavailable = 'storeOut',
  /**
   * Whether the claim was stored is unknown, or the existing record expired during the claim. The claim is
   * abandoned, and nothing is ever sent under its token.
   */
  Undecided = 'undecided'
}

export type ClaimResult =
  | { readonly kind: ClaimResultKind.Held, readonly claim: HeldClaim }
  | { readonly kind: ClaimResultKind.Taken, readonly entry: KeyValueEntry }
  | { readonly kind: ClaimResultKind.StoreUnavailable, readonly reason: string }
  | { readonly kind: ClaimResultKind.Undecided, readonly reason: string }

/** Claims orders, so that only one node sends each of them. */
export interface OrderClaimer {
  /** Claims a key that is absent (`expectedRevision` 0) or has a released record at that revision. */
  claim (request: OrderRequest, requestSha256Hex: string, expectedRevision: number): Promise<ClaimResult>
}

export interface OrderClaimerOptions {
  readonly store: OrderStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly writer: OrderWriter
  /** Node id and incarnation of this process, as `nodeId:incarnation`. */
  readonly claimant: string
  readonly settings: OrderSettings
}

const tokenRandomBound = 2 ** 31

/** Creates the order claims of one node. */
export function createOrderClaimer ({ store, timers, random, writer, claimant, settings }: OrderClaimerOptions): OrderClaimer {
  let claimCount = 0

  function createToken (): string {
    claimCount += 1
    return `${claimant}:${claimCount}:${random.nextInt(tokenRandomBound).toString(36)}`
  }

  function createRecord (requestSha256Hex: string): OrderRecord {
    return {
      state: OrderState.Claimed,
      requestSha256Hex,
      claimToken: createToken(),
      claimedBy: claimant,
      claimedAtMs: timers.wallClockMs(),
      outcomeDueInMs: getOutcomeDueInMs(settings)
    }
  }

  /**
   * Reads the record back after a lost response. A claim that is not found may still be stored late,
   * so it is released in the background.
   */
  async function checkClaim (claim: HeldClaim, expectedRevision: number): Promise<ClaimResult> {
    const found = await store.read(claim.key)
    if (found.isOk && found.value !== undefined && found.value.revision !== expectedRevision) {
      const stored = parseOrderRecord(found.value.value)
      if (stored?.claimToken !== claim.record.claimToken) return { kind: ClaimResultKind.Taken, entry: found.value }
      if (stored.state === OrderState.Claimed) {
        return { kind: ClaimResultKind.Held, claim: { ...claim, revision: found.value.revision } }
      }
    }
    void writer.write({ key: claim.key, record: releaseOrder(claim.record), expectedRevision })
    return { kind: ClaimResultKind.Undecided, reason: 'the response to the claim was lost' }
  }

  return {
    async claim (request, requestSha256Hex, expectedRevision) {
      const startedAtMs = timers.nowMs()
      const claim: HeldClaim = {
        key: getOrderKey(request),
        record: createRecord(requestSha256Hex),
        revision: expectedRevision,
        sendDeadlineMs: startedAtMs + settings.sendWindowMs,
        callDeadlineMs: startedAtMs + settings.sendWindowMs + settings.callTimeoutMs
      }
      const stored = await store.write({ key: claim.key, expectedRevision, record: claim.record })
      if (stored.isOk) return { kind: ClaimResultKind.Held, claim: { ...claim, revision: stored.value } }
      switch (stored.error.kind) {
        case KeyValueErrorKind.Unavailable:
          return { kind: ClaimResultKind.StoreUnavailable, reason: stored.error.reason }
        case KeyValueErrorKind.Ambiguous:
          return checkClaim(claim, expectedRevision)
        case KeyValueErrorKind.Conflict:
          if (stored.error.current !== undefined) return { kind: ClaimResultKind.Taken, entry: stored.error.current }
          return { kind: ClaimResultKind.Undecided, reason: 'the record expired during the claim' }
      }
    }
  }
}
