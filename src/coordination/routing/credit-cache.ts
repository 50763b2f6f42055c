import type { TimerService } from '../../shared/timer-service.js'
import type { PartnerCredit } from './credit-allocator.js'

/** Credits of this node on one group. */
export interface HeldCredits {
  readonly creditsByPartner: ReadonlyMap<string, number>
  /** Monotonic time after which the credits allow no new stream. */
  readonly creditsExpireAtMs: number
}

/** One poll that was sent to an owner. */
export interface SentPoll {
  readonly ownerNodeId: string
  readonly sequence: number
  readonly sentAtMs: number
}

/** The router's side of the credits: keeps what the latest poll brought. */
export interface CreditCache {
  /** Notes a poll that is about to be sent. From here on, answers to earlier polls of the owner are ignored. */
  startPoll (ownerNodeId: string): SentPoll
  /** Takes the credits of an answer. An empty list says that the owner is not the one to grant, and changes nothing. */
  applyAnswer (poll: SentPoll, groupId: string, credits: readonly PartnerCredit[]): void
  get (groupId: string): HeldCredits
}

const noCredits: HeldCredits = { creditsByPartner: new Map(), creditsExpireAtMs: Number.NEGATIVE_INFINITY }

/** Creates a holder without credits. */
export function createCreditCache (timers: TimerService, creditLifetimeMs: number): CreditCache {
  const heldByGroup = new Map<string, HeldCredits>()
  const sequenceByOwner = new Map<string, number>()
  let lastSequence = 0

  function removeLapsed (): void {
    for (const [groupId, held] of heldByGroup) {
      if (held.creditsExpireAtMs <= timers.nowMs()) heldByGroup.delete(groupId)
    }
  }

  return {
    startPoll (ownerNodeId) {
      removeLapsed()
      lastSequence += 1
      sequenceByOwner.set(ownerNodeId, lastSequence)
      return { ownerNodeId, sequence: lastSequence, sentAtMs: timers.nowMs() }
    },
    applyAnswer (poll, groupId, credits) {
      if (credits.length === 0 || sequenceByOwner.get(poll.ownerNodeId) !== poll.sequence) return
      heldByGroup.set(groupId, {
        creditsByPartner: new Map(credits.map(({ partner, slotCount }) => [partner, slotCount])),
        creditsExpireAtMs: poll.sentAtMs + creditLifetimeMs
      })
    },
    get: groupId => heldByGroup.get(groupId) ?? noCredits
  }
}
