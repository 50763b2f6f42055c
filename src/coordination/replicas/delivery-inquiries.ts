import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'

/** Asks another gateway whether the replica delivered it an event within the time. */
export interface DeliveryInquiry {
  readonly inquiryId: number
  readonly replicaId: string
  readonly sinceMs: number
}

/** Answer to an inquiry: the replica did deliver such an event. Gateways that got none do not answer. */
export type DeliveryAnswer = Pick<DeliveryInquiry, 'inquiryId' | 'replicaId'>

/** Evidence from one inquiry. */
export interface DeliveryEvidence {
  /** Whether the replica has delivered an event to any gateway since the inquiry began. */
  hasDelivered (): boolean
  /** Ends the inquiry: answers that arrive later do not count. */
  end (): void
}

/** Asks all gateways whether replicas deliver events, for a planner that cannot reach a server on its own network path. */
export interface DeliveryInquiries {
  begin (replicaId: string): DeliveryEvidence
  applyAnswer (answer: DeliveryAnswer): void
}

export interface DeliveryInquiriesOptions {
  readonly timers: TimerService
  /** Whether this gateway got an event of the replica within the time. */
  hasRecentEvent (replicaId: string, withinMs: number): boolean
  /** Sends the inquiries to other gateways in one message. */
  sendInquiries (inquiries: readonly DeliveryInquiry[]): void
}

/**
 * The gateways are asked this long after the beginning, twice since datagrams are lost. A sound server has answered by the first time;
 * answers to the second arrive before a connection attempt of 300 ms has failed.
 */
const askAfterMs = [120, 210]
/** Checks of a replica's members begin together and share an inquiry that began no longer ago than this. */
const sharedWithinMs = 20

/** Inquiries that are due within this time go out together: when an availability zone is cut, those of many replicas are. */
const batchMs = 10
/** Keeps a message, with up to 90 bytes an inquiry, within one packet. */
const maxInquiriesPerMessage = 12

interface InquiryState {
  readonly inquiryId: number
  readonly replicaId: string
  readonly beganAtMs: number
  readonly timers: readonly TimerSubscription[]
  userCount: number
  isAnswered: boolean
}

/**
 * Creates the record of inquiries with none in progress. An inquiry states how far back an event counts, and an answer is of one
 * inquiry, so that neither clocks nor delays on the way make an event from before its beginning count.
 */
export function createDeliveryInquiries ({ timers, hasRecentEvent, sendInquiries }: DeliveryInquiriesOptions): DeliveryInquiries {
  const inProgress = new Map<number, InquiryState>()
  const due = new Set<InquiryState>()
  let lastInquiryId = 0

  function hasOwnEvent ({ replicaId, beganAtMs }: InquiryState): boolean {
    return hasRecentEvent(replicaId, timers.nowMs() - beganAtMs)
  }

  function start (replicaId: string): InquiryState {
    lastInquiryId += 1
    const state: InquiryState = {
      inquiryId: lastInquiryId,
      replicaId,
      beganAtMs: timers.nowMs(),
      timers: askAfterMs.map(afterMs => timers.subscribeOnce(afterMs, () => ask(state))),
      userCount: 0,
      isAnswered: false
    }
    inProgress.set(state.inquiryId, state)
    return state
  }

  function findShared (replicaId: string): InquiryState | undefined {
    return [...inProgress.values()].find(state => state.replicaId === replicaId && timers.nowMs() - state.beganAtMs <= sharedWithinMs)
  }

  function ask (state: InquiryState): void {
    if (due.size === 0) timers.subscribeOnce(batchMs, sendDue)
    due.add(state)
  }

  function sendDue (): void {
    const inquiries = [...due].filter(needsAnswer).map(({ inquiryId, replicaId, beganAtMs }) => ({ inquiryId, replicaId, sinceMs: Math.floor(timers.nowMs() - beganAtMs) }))
    due.clear()
    for (let from = 0; from < inquiries.length; from += maxInquiriesPerMessage) sendInquiries(inquiries.slice(from, from + maxInquiriesPerMessage))
  }

  function needsAnswer (state: InquiryState): boolean {
    return inProgress.has(state.inquiryId) && !state.isAnswered && !hasOwnEvent(state)
  }

  function release (state: InquiryState): void {
    state.userCount -= 1
    if (state.userCount > 0) return
    for (const timer of state.timers) timer.cancel()
    inProgress.delete(state.inquiryId)
  }

  return {
    begin (replicaId) {
      const state = findShared(replicaId) ?? start(replicaId)
      state.userCount += 1
      return {
        hasDelivered: () => state.isAnswered || hasOwnEvent(state),
        end: () => release(state)
      }
    },
    applyAnswer ({ inquiryId, replicaId }) {
      const state = inProgress.get(inquiryId)
      if (state?.replicaId === replicaId) state.isAnswered = true
    }
  }
}
