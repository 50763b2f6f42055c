import type { TimerService } from '../../shared/timer-service.js'
import type { PartnerCredit } from './credit-allocator.js'

/** Credits that this node holds on one group, by partner. */
export interface HeldCredits {
  readonly creditsByPartner: ReadonlyMap<string, number>
  /** Monotonic time from which on the credits allow no new stream. */
  readonly creditsExpireAtMs: number
}

/** A poll registered by `startPoll`. `sentAtMs` is the monotonic time of that call. */
export interface SentPoll {
  readonly ownerNodeId: string
  readonly sequence: number
  readonly sentAtMs: number
}

/** Caches the credits that owners granted this node in response to its latest polls. */
export interface CreditCache {
  /** Registers a poll that is about to be sent. From then on, responses to earlier polls of the same owner are ignored. */
  startPoll (ownerNodeId: string): SentPoll
  /**
   * Applies the credits of a response. An empty list comes from an owner that is not the first owner of the
   * group, and changes nothing.
   */
  applyResponse (poll: SentPoll, groupId: string, credits: readonly PartnerCredit[]): void
  /** Returns the credits of the last response, which may have expired; none for an unknown group. */
  get (groupId: string): HeldCredits
}

const noCredits: HeldCredits = { creditsByPartner: new Map(), creditsExpireAtMs: Number.NEGATIVE_INFINITY }

/** Creates an empty cache. */
export function createCreditCache (timers: TimerService, creditLifetimeMs: number): CreditCache {
  const heldByGroup = new Map<string, HeldCredits>()
  const sequenceByOwner = new Map<string, number>()
  let lastSequence = 0

  function removeExpired (): void {
    for (const [groupId, held] of heldByGroup) {
      if (held.creditsExpireAtMs <= timers.nowMs()) heldByGroup.delete(groupId)
    }
  }

  return {
    startPoll (ownerNodeId) {
      removeExpired()
      lastSequence += 1
      sequenceByOwner.set(ownerNodeId, lastSequence)
      return { ownerNodeId, sequence: lastSequence, sentAtMs: timers.nowMs() }
    },
    applyResponse (poll, groupId, credits) {
      if (credits.length === 0 || sequenceByOwner.get(poll.ownerNodeId) !== poll.sequence) return
      heldByGroup.set(groupId, {
        creditsByPartner: new Map(credits.map(({ partner, slotCount }) => [partner, slotCount])),
        creditsExpireAtMs: poll.sentAtMs + creditLifetimeMs
      })
    },
    get: groupId => heldByGroup.get(groupId) ?? noCredits
  }
}
