import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { TimerService } from '../../shared/timer-service.js'
import { createDecayingCounter, type DecayingCounter } from '../../shared/decaying-counter.js'
import type { RoutableGroup, RoutingCandidate } from './routable-group.js'
import type { RoutingPolicy, RoutingRequest } from './routing-policy.js'
import { createStreamLedger } from './stream-ledger.js'

export interface RouterSettings {
  /** Oldest evidence of completeness on which a request may be handed over. */
  readonly evidenceMaxAgeMs: number
  /** Typical delay between a change of an engine's load and the report that shows it. */
  readonly reportLagMs: number
  /** Time without new requests for a group that refused one as full. */
  readonly backoffMs: number
  /** Time over which requests count as a wish for credits on the group that holds their prompt prefix; about the length of an answer. */
  readonly preferenceWindowMs: number
}

export const defaultRouterSettings: RouterSettings = {
  evidenceMaxAgeMs: 2000,
  reportLagMs: 500,
  backoffMs: 500,
  preferenceWindowMs: 5000
}

export interface RouterDependencies {
  readonly timers: TimerService
  readonly settings: RouterSettings
  readonly availabilityZone: string
  readonly policy: RoutingPolicy
  /** The groups of a deployment that were complete at the last answer of their owner. */
  getGroups (deployment: string): readonly RoutableGroup[]
}

export enum RouteChoiceKind {
  Chosen = 'chosen',
  /** No group of the deployment has fresh evidence that it is complete. */
  NoGroup = 'noGroup',
  /** There are complete groups, but none on which the partner may start another stream now. */
  NoCredit = 'noCredit'
}

export type RouteChoice =
  | { readonly kind: RouteChoiceKind.Chosen, readonly group: RoutableGroup }
  | { readonly kind: RouteChoiceKind.NoGroup }
  | { readonly kind: RouteChoiceKind.NoCredit }

export interface RouteRequest extends RoutingRequest {
  readonly excludedGroupIds?: readonly string[]
}

/** A stream counted against a group until it ends. */
export interface StreamTicket {
  /** Ends the count; has no effect the second time. */
  end (): void
}

/** Chooses groups for the requests of this node and counts its streams. */
export interface Router {
  choose (request: RouteRequest): RouteChoice
  begin (groupId: string, partner: string): StreamTicket
  /** Keeps new requests away from a group for a short time, after it refused one as full. */
  backOff (groupId: string): void
  /** Streams that the partner may have in flight from this node over all groups of the deployment. */
  countCredits (deployment: string, partner: string): number
  /** Slots over all groups of the deployment that no stream uses, by the last reports and this node's own streams. */
  countFreeSlots (deployment: string): number
  getInFlightCount (groupId: string, partner: string): number
  /** Partners with streams of this node on the group. */
  getPartnersInFlight (groupId: string): readonly string[]
  /** Credits that the node holds now for the partner on the group. */
  getHeldCredit (deployment: string, groupId: string, partner: string): number
  /** Credits on the group that would let the partner's requests go where they would go first. */
  getPreferredCount (groupId: string, partner: string): number
  /** Partners for which the node holds credits on the group. */
  getPartnersWithCredit (deployment: string, groupId: string): readonly string[]
}

/** Below this, a preference is so old that it says nothing. */
const forgottenPreferenceCount = 0.01

const noRanks: ReadonlyMap<string, number> = new Map()

/** Creates a router that has no streams in flight. */
export function createRouter (dependencies: RouterDependencies): Router {
  const { timers, settings, policy } = dependencies
  const ledger = createStreamLedger(timers, settings.evidenceMaxAgeMs + settings.reportLagMs)
  const preferences = new Map<string, DecayingCounter>()
  const backOffUntilMs = new Map<string, number>()

  function isFresh (group: RoutableGroup): boolean {
    return group.evidenceAgeMs + timers.nowMs() - group.observedAtMs <= settings.evidenceMaxAgeMs
  }

  function isBackingOff (groupId: string): boolean {
    const untilMs = backOffUntilMs.get(groupId)
    if (untilMs === undefined) return false
    if (untilMs > timers.nowMs()) return true
    backOffUntilMs.delete(groupId)
    return false
  }

  function getFreshGroups (deployment: string): RoutableGroup[] {
    return dependencies.getGroups(deployment).filter(isFresh)
  }

  function getCredit (group: RoutableGroup, partner: string): number {
    if (group.creditsExpireAtMs <= timers.nowMs()) return 0
    return group.creditsByPartner.get(partner) ?? 0
  }

  function findGroup (deployment: string, groupId: string): RoutableGroup | undefined {
    return dependencies.getGroups(deployment).find(group => group.groupId === groupId)
  }

  /** Ranks all fresh groups, also those without free credits, so that a prefix keeps its home. */
  function rankForPrefix (groups: readonly RoutableGroup[], prefixHash: string | undefined): ReadonlyMap<string, number> {
    if (prefixHash === undefined) return noRanks
    const ranked = rankByRendezvous(prefixHash, groups, group => group.groupId)
    return new Map(ranked.map((group, rank) => [group.groupId, rank]))
  }

  function notePreferred (home: RoutingCandidate | undefined, partner: string): void {
    if (home === undefined) return
    const key = toPreferenceKey(home.group.groupId, partner)
    const counter = preferences.get(key) ?? createDecayingCounter(timers, settings.preferenceWindowMs)
    preferences.set(key, counter)
    counter.increment()
  }

  /** The mean number of streams with a margin for its variation, as of a Poisson process. */
  function getPreferredCount (groupId: string, partner: string): number {
    const key = toPreferenceKey(groupId, partner)
    const meanCount = preferences.get(key)?.getCount() ?? 0
    if (meanCount < forgottenPreferenceCount) preferences.delete(key)
    return Math.floor(meanCount + Math.sqrt(meanCount))
  }

  function estimateStreamCount (group: RoutableGroup): number {
    const reportedAtMs = group.observedAtMs - settings.reportLagMs
    const reportedCount = group.activeStreamCount + group.queuedStreamCount
    const othersCount = Math.max(0, reportedCount - ledger.getTotalAt(group.groupId, reportedAtMs))
    return othersCount + ledger.getTotal(group.groupId)
  }

  function toCandidate (group: RoutableGroup, partner: string, prefixRanks: ReadonlyMap<string, number>): RoutingCandidate {
    const prefixRank = prefixRanks.get(group.groupId)
    const credit = getCredit(group, partner)
    const inFlightCount = ledger.getCount(group.groupId, partner)
    return {
      group,
      isLocal: group.availabilityZone === dependencies.availabilityZone,
      ...(prefixRank === undefined ? {} : { prefixRank }),
      estimatedStreamCount: estimateStreamCount(group),
      freeCreditCount: credit - inFlightCount,
      creditUse: Math.min(1, inFlightCount / Math.max(1, credit))
    }
  }

  return {
    choose (request) {
      const freshGroups = getFreshGroups(request.deployment)
      const groups = freshGroups.filter(group => request.excludedGroupIds?.includes(group.groupId) !== true)
      if (groups.length === 0) return { kind: RouteChoiceKind.NoGroup }
      const prefixRanks = rankForPrefix(freshGroups, request.prefixHash)
      const context = { usualTokenIntervalMs: getUsualTokenIntervalMs(freshGroups) }
      const reachable = groups
        .filter(group => !isBackingOff(group.groupId))
        .map(group => toCandidate(group, request.partner, prefixRanks))
      const candidates = reachable.filter(candidate => candidate.freeCreditCount > 0)
      const chosen = policy.choose(candidates, request, context)
      if (chosen === undefined) return { kind: RouteChoiceKind.NoCredit }
      notePreferred(reachable.find(candidate => candidate.prefixRank === 0), request.partner)
      return { kind: RouteChoiceKind.Chosen, group: chosen.group }
    },
    begin (groupId, partner) {
      let isEnded = false
      ledger.add(groupId, partner, 1)
      return {
        end () {
          if (isEnded) return
          isEnded = true
          ledger.add(groupId, partner, -1)
        }
      }
    },
    backOff (groupId) {
      backOffUntilMs.set(groupId, timers.nowMs() + settings.backoffMs)
    },
    countCredits (deployment, partner) {
      return getFreshGroups(deployment).reduce((sum, group) => sum + getCredit(group, partner), 0)
    },
    countFreeSlots (deployment) {
      return getFreshGroups(deployment).reduce((sum, group) => sum + Math.max(0, group.slotCount - estimateStreamCount(group)), 0)
    },
    getPreferredCount,
    getInFlightCount: (groupId, partner) => ledger.getCount(groupId, partner),
    getPartnersInFlight: groupId => ledger.getPartners(groupId),
    getHeldCredit (deployment, groupId, partner) {
      const group = findGroup(deployment, groupId)
      return group === undefined ? 0 : getCredit(group, partner)
    },
    getPartnersWithCredit (deployment, groupId) {
      const group = findGroup(deployment, groupId)
      if (group === undefined) return []
      return [...group.creditsByPartner.keys()].filter(partner => getCredit(group, partner) > 0)
    }
  }
}

/** The lower median, so that of two groups the faster one counts as usual. */
function getUsualTokenIntervalMs (groups: readonly RoutableGroup[]): number {
  const ordered = groups.map(group => group.tokenIntervalMs).sort((left, right) => left - right)
  return ordered[(ordered.length - 1) >> 1] ?? 0
}

function toPreferenceKey (groupId: string, partner: string): string {
  return `${groupId}/${partner}`
}
