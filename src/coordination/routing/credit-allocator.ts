import type { TimerService } from '../../shared/timer-service.js'
import type { PartnerShare } from '../../state/fleet-config.js'
import { divideCredits } from './credit-divider.js'
import type { CreditSettings } from './credit-settings.js'
import type { GroupDemand, PartnerDemand } from './demand-collector.js'

/** Credits of a router for a partner on a group. A credit is the right to have one stream in flight on one slot. */
export interface PartnerCredit {
  readonly partner: string
  readonly slotCount: number
}

/** A router's last poll about one group, and the credits it was granted in response. */
interface RouterAccount {
  readonly nodeId: string
  readonly incarnation: number
  readonly sequence: number
  readonly polledAtMs: number
  readonly demands: readonly PartnerDemand[]
  readonly grantedByPartner: Map<string, number>
}

interface GroupAccount {
  readonly routersById: Map<string, RouterAccount>
  /** Time of this node's first grant as the group's first owner; undefined while another node is first owner. */
  firstGrantAtMs: number | undefined
}

export interface CreditAllocatorDependencies {
  readonly timers: TimerService
  readonly settings: CreditSettings
  /** Streams that the group serves concurrently; 0 when the group is not complete. */
  getSlotCount (groupId: string): number
  getShares (): readonly PartnerShare[]
  getLiveNodeIds (): readonly string[]
  /** Whether this node ranks first among the group's owners. Other owners record polls but grant nothing. */
  isFirstOwner (groupId: string): boolean
}

/**
 * Decides, on an owner node, how many streams each router may have in flight on each group. A router
 * is an entry node that sends requests to the group. It applies only the response to its latest poll,
 * and reports the credits it holds with each poll. Until its next poll it uses either the credits it
 * reported or those of the response, so the allocator counts the larger number, and grants more only
 * from slots that no router may use.
 */
export interface CreditAllocator {
  /** Records a router's poll. A poll older than one already seen has no effect. */
  recordPoll (nodeId: string, incarnation: number, demands: readonly GroupDemand[], sequence: number): void
  /**
   * Returns the credits in response to the router's last poll: one entry for each partner with a capacity share,
   * or none if this node is not the first owner or has no poll of the router.
   */
  grant (groupId: string, nodeId: string): readonly PartnerCredit[]
}

/** Creates an allocator that has seen no polls. */
export function createCreditAllocator (dependencies: CreditAllocatorDependencies): CreditAllocator {
  const { timers, settings } = dependencies
  const accountsByGroup = new Map<string, GroupAccount>()

  function getOrCreateAccount (groupId: string): GroupAccount {
    const existing = accountsByGroup.get(groupId)
    if (existing !== undefined) return existing
    const created: GroupAccount = { routersById: new Map(), firstGrantAtMs: undefined }
    accountsByGroup.set(groupId, created)
    return created
  }

  function isExpired (router: RouterAccount, liveNodeIds: ReadonlySet<string>): boolean {
    const sinceLastPollMs = timers.nowMs() - router.polledAtMs
    if (sinceLastPollMs > settings.forgetRouterAfterMs) return true
    return sinceLastPollMs > settings.creditLifetimeMs && !liveNodeIds.has(router.nodeId)
  }

  function removeExpiredRouters (account: GroupAccount): void {
    const liveNodeIds = new Set(dependencies.getLiveNodeIds())
    for (const [nodeId, router] of account.routersById) {
      if (isExpired(router, liveNodeIds)) account.routersById.delete(nodeId)
    }
  }

  function removeEmptyAccounts (): void {
    for (const [groupId, account] of accountsByGroup) {
      removeExpiredRouters(account)
      if (account.routersById.size === 0) accountsByGroup.delete(groupId)
    }
  }

  /**
   * True when no credits of an earlier first owner are unknown: all live nodes have polled since this node took over,
   * or the credits have expired.
   */
  function isEveryRouterKnown (account: GroupAccount, firstGrantAtMs: number): boolean {
    if (timers.nowMs() - firstGrantAtMs >= settings.creditLifetimeMs) return true
    return dependencies.getLiveNodeIds().every(nodeId => {
      const router = account.routersById.get(nodeId)
      return router !== undefined && router.polledAtMs >= firstGrantAtMs
    })
  }

  /** Returns the number of streams that all routers together may have in flight until their next polls. */
  function countUsable (account: GroupAccount): number {
    let count = 0
    for (const router of account.routersById.values()) {
      for (const partner of listPartners(router)) count += getUsableCount(router, partner)
    }
    return count
  }

  function computeGrant (router: RouterAccount, account: GroupAccount, groupId: string, mayChange: boolean): PartnerCredit[] {
    const slotCount = dependencies.getSlotCount(groupId)
    const shares = dependencies.getShares()
    const routers = [...account.routersById.values()].map(({ nodeId, demands }) => ({ nodeId, partners: demands }))
    const divided = divideCredits({ groupId, slotCount, shares, routers, settings: settings.divider })
    const targets = divided.get(router.nodeId)
    const usableSum = countUsable(account)
    let freeCount = Math.max(0, slotCount - usableSum)
    let excessCount = Math.max(0, usableSum - slotCount)
    return shares.map(({ partner }) => {
      const usableCount = getUsableCount(router, partner)
      // Until every router is known, each keeps what it may use.
      if (!mayChange) return { partner, slotCount: usableCount }
      const grantedCount = decideGrant({
        targetCount: targets?.get(partner) ?? 0,
        usableCount,
        inFlightCount: getInFlightCount(router, partner),
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
        const account = getOrCreateAccount(demand.groupId)
        const last = account.routersById.get(nodeId)
        if (last !== undefined && isOlder(incarnation, sequence, last)) continue
        account.routersById.set(nodeId, {
          nodeId,
          incarnation,
          sequence,
          polledAtMs: timers.nowMs(),
          demands: demand.partners,
          grantedByPartner: new Map()
        })
      }
      removeEmptyAccounts()
    },
    grant (groupId, nodeId) {
      const account = accountsByGroup.get(groupId)
      const router = account?.routersById.get(nodeId)
      if (account === undefined || router === undefined) return []
      if (!dependencies.isFirstOwner(groupId)) {
        account.firstGrantAtMs = undefined
        return []
      }
      account.firstGrantAtMs ??= timers.nowMs()
      const credits = computeGrant(router, account, groupId, isEveryRouterKnown(account, account.firstGrantAtMs))
      for (const { partner, slotCount } of credits) {
        const earlierCount = router.grantedByPartner.get(partner) ?? 0
        router.grantedByPartner.set(partner, Math.max(earlierCount, slotCount))
      }
      return credits
    }
  }
}

interface GrantDecision {
  readonly targetCount: number
  readonly usableCount: number
  readonly inFlightCount: number
  /** Slots of the group that no router may use. */
  readonly freeCount: number
  /** Slots that routers may use beyond those of the group, for example after two owners granted at the same time. */
  readonly excessCount: number
}

/**
 * Never exceeds the target. Raises a grant only by free slots, and reclaims unused credits while more are granted than
 * the group has slots.
 */
function decideGrant ({ targetCount, usableCount, inFlightCount, freeCount, excessCount }: GrantDecision): number {
  if (excessCount === 0) return Math.min(targetCount, usableCount + freeCount)
  const loweredCount = Math.min(targetCount, usableCount)
  const remainingExcess = Math.max(0, excessCount - (usableCount - loweredCount))
  return Math.max(Math.min(inFlightCount, loweredCount), loweredCount - remainingExcess)
}

function isOlder (incarnation: number, sequence: number, last: RouterAccount): boolean {
  if (incarnation !== last.incarnation) return incarnation < last.incarnation
  return sequence < last.sequence
}

function getInFlightCount (router: RouterAccount, partner: string): number {
  return router.demands.find(candidate => candidate.partner === partner)?.inFlightCount ?? 0
}

/** Streams that the router may have in flight for the partner until its next poll. */
function getUsableCount (router: RouterAccount, partner: string): number {
  const demand = router.demands.find(candidate => candidate.partner === partner)
  const reportedCount = Math.max(demand?.inFlightCount ?? 0, demand?.heldCreditCount ?? 0)
  return Math.max(reportedCount, router.grantedByPartner.get(partner) ?? 0)
}

function listPartners (router: RouterAccount): Set<string> {
  return new Set([...router.demands.map(demand => demand.partner), ...router.grantedByPartner.keys()])
}
