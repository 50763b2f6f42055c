import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import { getOrderKey, OrderState, parseOrderRecord, releaseOrder, type OrderRecord } from '../../state/order-record.js'
import { KeyValueErrorKind, type KeyValueEntry } from '../ports/key-value-store.js'
import type { OrderRequest } from './order-outcome.js'
import { getOutcomeDueInMs, type OrderSettings } from './order-settings.js'
import type { OrderStore } from './order-store.js'
import type { OrderWriter } from './order-writer.js'

/** A claim that is stored. Its holder may send the order until `sendBeforeMs`. */
export interface HeldClaim {
  readonly key: string
  readonly record: OrderRecord
  readonly revision: number
  /** Monotonic time after which nothing may be sent under the claim. */
  readonly sendBeforeMs: number
  /** Monotonic time after which the call is given up. */
  readonly finishBeforeMs: number
}

export enum ClaimResultKind {
  Held = 'held',
  /** The key has a record already. */
  Taken = 'taken',
  /** The store refused; nothing was written. */
  StoreOut = 'storeOut',
  /** The reply was lost and the claim was given up; its token is never used to send. */
  Undecided = 'undecided'
}

export type ClaimResult =
  | { readonly kind: ClaimResultKind.Held, readonly claim: HeldClaim }
  | { readonly kind: ClaimResultKind.Taken, readonly entry: KeyValueEntry }
  | { readonly kind: ClaimResultKind.StoreOut, readonly reason: string }
  | { readonly kind: ClaimResultKind.Undecided, readonly reason: string }

/** Takes the right to send orders. */
export interface OrderClaims {
  /** Claims a key that is absent (revision 0) or has a released record at the given revision. */
  claim (request: OrderRequest, requestSha256Hex: string, expectedRevision: number): Promise<ClaimResult>
}

export interface OrderClaimsOptions {
  readonly store: OrderStore
  readonly timers: TimerService
  readonly random: RandomSource
  readonly writer: OrderWriter
  /** Node id and incarnation of this process. */
  readonly claimant: string
  readonly settings: OrderSettings
}

const tokenRandomBound = 2 ** 31

/** Creates the claims of one node. */
export function createOrderClaims ({ store, timers, random, writer, claimant, settings }: OrderClaimsOptions): OrderClaims {
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

  /** Looks for the claim after a lost reply. A claim that is not found may still be written late. */
  async function readBack (claim: HeldClaim, expectedRevision: number): Promise<ClaimResult> {
    const found = await store.read(claim.key)
    if (found.isOk && found.value !== undefined && found.value.revision !== expectedRevision) {
      const stored = parseOrderRecord(found.value.value)
      if (stored?.claimToken !== claim.record.claimToken) return { kind: ClaimResultKind.Taken, entry: found.value }
      if (stored.state === OrderState.Claimed) {
        return { kind: ClaimResultKind.Held, claim: { ...claim, revision: found.value.revision } }
      }
    }
    void writer.write({ key: claim.key, record: releaseOrder(claim.record), expectedRevision })
    return { kind: ClaimResultKind.Undecided, reason: 'the reply to the claim was lost' }
  }

  return {
    async claim (request, requestSha256Hex, expectedRevision) {
      const startedAtMs = timers.nowMs()
      const claim: HeldClaim = {
        key: getOrderKey(request),
        record: createRecord(requestSha256Hex),
        revision: expectedRevision,
        sendBeforeMs: startedAtMs + settings.sendWindowMs,
        finishBeforeMs: startedAtMs + settings.sendWindowMs + settings.callTimeoutMs
      }
      const stored = await store.write({ key: claim.key, expectedRevision, record: claim.record })
      if (stored.isOk) return { kind: ClaimResultKind.Held, claim: { ...claim, revision: stored.value } }
      switch (stored.error.kind) {
        case KeyValueErrorKind.Unavailable:
          return { kind: ClaimResultKind.StoreOut, reason: stored.error.reason }
        case KeyValueErrorKind.Ambiguous:
          return readBack(claim, expectedRevision)
        case KeyValueErrorKind.Conflict:
          if (stored.error.current !== undefined) return { kind: ClaimResultKind.Taken, entry: stored.error.current }
          return { kind: ClaimResultKind.Undecided, reason: 'the record lapsed during the claim' }
      }
    }
  }
}
