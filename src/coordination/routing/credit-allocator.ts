import type { TimerService } from '../../shared/timer-service.js'
import type { PartnerShare } from '../../state/fleet-config.js'
import { divideCredits } from './credit-divider.js'
import type { CreditSettings } from './credit-settings.js'
import type { GroupDemand, PartnerDemand } from './demand-report.js'

/** Streams that a router may have in flight for a partner on a group. */
export interface PartnerCredit {
  readonly partner: string
  readonly slotCount: number
}

/** What a router said in its last poll about one group, and what it was granted in reply. */
interface RouterHolding {
  readonly nodeId: string
  readonly incarnation: number
  readonly sequence: number
  readonly polledAtMs: number
  readonly demands: readonly PartnerDemand[]
  readonly grantedByPartner: Map<string, number>
}

interface GroupBook {
  readonly holdings: Map<string, RouterHolding>
  /** Time since which this node has been the group's first owner; undefined while it is not. */
  grantingSinceMs: number | undefined
}

export interface CreditAllocatorDependencies {
  readonly timers: TimerService
  readonly settings: CreditSettings
  /** Streams that the group serves at a time; 0 when the group is not complete. */
  getSlotCount (groupId: string): number
  getShares (): readonly PartnerShare[]
  getLiveNodeIds (): readonly string[]
  /** Whether this node ranks first among the group's owners. Other owners keep the book but grant nothing. */
  isFirstOwner (groupId: string): boolean
}

/**
 * Account of one owner node: which router may have how many streams in flight on its groups.
 * A router applies only the answer to its latest poll, and reports what it holds with each poll.
 * So between two polls it uses what it held at the first, or what the answer granted; the book
 * counts the larger, and grants more only from slots that nobody may use.
 */
export interface CreditAllocator {
  /** Takes in a router's poll. An older poll than one already seen has no effect. */
  recordPoll (nodeId: string, incarnation: number, demands: readonly GroupDemand[], sequence: number): void
  /** The answer to the router's last poll: one entry for each partner of the split, or none when this node is not to grant. */
  grant (groupId: string, nodeId: string): readonly PartnerCredit[]
}

/** Creates an empty book. */
export function createCreditAllocator (dependencies: CreditAllocatorDependencies): CreditAllocator {
  const { timers, settings } = dependencies
  const books = new Map<string, GroupBook>()

  function getOrCreateBook (groupId: string): GroupBook {
    const existing = books.get(groupId)
    if (existing !== undefined) return existing
    const created: GroupBook = { holdings: new Map(), grantingSinceMs: undefined }
    books.set(groupId, created)
    return created
  }

  function isForgotten (holding: RouterHolding, liveNodeIds: ReadonlySet<string>): boolean {
    const silentMs = timers.nowMs() - holding.polledAtMs
    if (silentMs > settings.forgetRouterAfterMs) return true
    return silentMs > settings.creditLifetimeMs && !liveNodeIds.has(holding.nodeId)
  }

  function removeForgotten (book: GroupBook): void {
    const liveNodeIds = new Set(dependencies.getLiveNodeIds())
    for (const [nodeId, holding] of book.holdings) {
      if (isForgotten(holding, liveNodeIds)) book.holdings.delete(nodeId)
    }
  }

  function removeEmptyBooks (): void {
    for (const [groupId, book] of books) {
      removeForgotten(book)
      if (book.holdings.size === 0) books.delete(groupId)
    }
  }

  /** Whether every router that may hold credits of an earlier owner has told this one, or has lost them. */
  function isEveryHolderKnown (book: GroupBook, grantingSinceMs: number): boolean {
    if (timers.nowMs() - grantingSinceMs >= settings.creditLifetimeMs) return true
    return dependencies.getLiveNodeIds().every(nodeId => {
      const holding = book.holdings.get(nodeId)
      return holding !== undefined && holding.polledAtMs >= grantingSinceMs
    })
  }

  function countUsable (book: GroupBook): number {
    let count = 0
    for (const holding of book.holdings.values()) {
      for (const partner of listPartners(holding)) count += getUsableCount(holding, partner)
    }
    return count
  }

  function grantTo (holding: RouterHolding, book: GroupBook, groupId: string, isRaiseAllowed: boolean): PartnerCredit[] {
    const slotCount = dependencies.getSlotCount(groupId)
    const shares = dependencies.getShares()
    const routers = [...book.holdings.values()].map(({ nodeId, demands }) => ({ nodeId, partners: demands }))
    const divided = divideCredits({ groupId, slotCount, shares, routers, settings: settings.divider })
    const targets = divided.get(holding.nodeId)
    const usableSum = countUsable(book)
    let freeCount = Math.max(0, slotCount - usableSum)
    let excessCount = Math.max(0, usableSum - slotCount)
    return shares.map(({ partner }) => {
      const usableCount = getUsableCount(holding, partner)
      if (!isRaiseAllowed) return { partner, slotCount: usableCount }
      const grantedCount = decideGrant({
        targetCount: targets?.get(partner) ?? 0,
        usableCount,
        inFlightCount: getInFlightCount(holding, partner),
        freeCount,
        excessCount
      })
      freeCount -= Math.max(0, grantedCount - usableCount)
      excessCount -= Math.min(excessCount, Math.max(0, usableCount - grantedCount))
      return { partner, slotCount: grantedCount }
    })
  }

  return {
    recordPoll (nodeId, incarnation, demands, sequence) {
      for (const demand of demands) {
        const book = getOrCreateBook(demand.groupId)
        const last = book.holdings.get(nodeId)
        if (last !== undefined && isOlder(incarnation, sequence, last)) continue
        book.holdings.set(nodeId, {
          nodeId,
          incarnation,
          sequence,
          polledAtMs: timers.nowMs(),
          demands: demand.partners,
          grantedByPartner: new Map()
        })
      }
      removeEmptyBooks()
    },
    grant (groupId, nodeId) {
      const book = books.get(groupId)
      const holding = book?.holdings.get(nodeId)
      if (book === undefined || holding === undefined) return []
      if (!dependencies.isFirstOwner(groupId)) {
        book.grantingSinceMs = undefined
        return []
      }
      book.grantingSinceMs ??= timers.nowMs()
      const credits = grantTo(holding, book, groupId, isEveryHolderKnown(book, book.grantingSinceMs))
      for (const { partner, slotCount } of credits) {
        const earlierCount = holding.grantedByPartner.get(partner) ?? 0
        holding.grantedByPartner.set(partner, Math.max(earlierCount, slotCount))
      }
      return credits
    }
  }
}

interface GrantDecision {
  readonly targetCount: number
  readonly usableCount: number
  readonly inFlightCount: number
  /** Slots of the group that nobody may use. */
  readonly freeCount: number
  /** Slots that routers may use beyond those of the group, after two owners granted at a time. */
  readonly excessCount: number
}

/** Raises only into free slots; takes back unused credits while more are out than the group has slots. */
function decideGrant ({ targetCount, usableCount, inFlightCount, freeCount, excessCount }: GrantDecision): number {
  if (excessCount === 0) return Math.min(targetCount, usableCount + freeCount)
  const loweredCount = Math.min(targetCount, usableCount)
  const remainingExcess = Math.max(0, excessCount - (usableCount - loweredCount))
  return Math.max(Math.min(inFlightCount, loweredCount), loweredCount - remainingExcess)
}

function isOlder (incarnation: number, sequence: number, last: RouterHolding): boolean {
  if (incarnation !== last.incarnation) return incarnation < last.incarnation
  return sequence < last.sequence
}

function getInFlightCount (holding: RouterHolding, partner: string): number {
  return holding.demands.find(candidate => candidate.partner === partner)?.inFlightCount ?? 0
}

/** Streams that the router may have in flight for the partner until its next poll. */
function getUsableCount (holding: RouterHolding, partner: string): number {
  const demand = holding.demands.find(candidate => candidate.partner === partner)
  const reportedCount = Math.max(demand?.inFlightCount ?? 0, demand?.heldCreditCount ?? 0)
  return Math.max(reportedCount, holding.grantedByPartner.get(partner) ?? 0)
}

function listPartners (holding: RouterHolding): Set<string> {
  return new Set([...holding.demands.map(demand => demand.partner), ...holding.grantedByPartner.keys()])
}
