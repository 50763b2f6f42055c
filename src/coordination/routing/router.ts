import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { TimerService } from '../../shared/timer-service.js'
import { createDecayingCounter, type DecayingCounter } from '../../shared/decaying-counter.js'
import type { RoutableGroup, RoutingCandidate } from './routable-group.js'
import type { RoutingPolicy, RoutingRequest } from './routing-policy.js'
import { createInFlightCounter } from './in-flight-counter.js'

export interface RouterSettings {
  /** Maximum age of a group's evidence; a group with older evidence gets no requests. The entry node sets it from its group settings. */
  readonly evidenceMaxAgeMs: number
  /** Typical delay between a change of an engine's load and the report that shows it. */
  readonly reportLagMs: number
  /** Time for which a group that refused a request as full gets no new ones. */
  readonly backoffMs: number
  /**
   * Time over which requests count as demand for credits on the group ranked first for their prompt prefix;
   * about the duration of a response.
   */
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
  /** Groups of a deployment that were complete in the last response of their owner. */
  getGroups (deployment: string): readonly RoutableGroup[]
}

export enum RouteChoiceKind {
  Chosen = 'chosen',
  /** No group that the request may use has fresh evidence that it is complete. */
  NoGroup = 'noGroup',
  /** Complete groups exist, but none can take the request now: no free credit, backing off, or too slow. */
  NoCredit = 'noCredit'
}

export type RouteChoice =
  | { readonly kind: RouteChoiceKind.Chosen, readonly group: RoutableGroup }
  | { readonly kind: RouteChoiceKind.NoGroup }
  | { readonly kind: RouteChoiceKind.NoCredit }

export interface RouteRequest extends RoutingRequest {
  /** Groups that must not be chosen, because they failed the request. */
  readonly excludedGroupIds?: readonly string[]
}

/** A stream that counts as in flight on a group until it ends. */
export interface StreamHandle {
  /** Stops counting the stream. Further calls have no effect. */
  end (): void
}

/** Chooses groups for the requests of this node and counts its streams in flight. */
export interface Router {
  choose (request: RouteRequest): RouteChoice
  /** Counts a stream as in flight on the group until its handle is ended. */
  begin (groupId: string, partner: string): StreamHandle
  /** Sends no new requests to a group for `backoffMs`, after it refused one as full. */
  backOff (groupId: string): void
  /** Streams that the partner may have in flight from this node on all groups of the deployment together. */
  countCredits (deployment: string, partner: string): number
  /** Unused slots on all groups of the deployment together, by the last reports and this node's own streams. */
  countFreeSlots (deployment: string): number
  getInFlightCount (groupId: string, partner: string): number
  /** Partners with streams of this node on the group. */
  getPartnersInFlight (groupId: string): readonly string[]
  /** Credits that the node holds now for the partner on the group. */
  getHeldCreditCount (deployment: string, groupId: string, partner: string): number
  /** Credits on the group that the partner's requests would use if each went to the group ranked first for its prompt prefix. */
  getPreferredCount (groupId: string, partner: string): number
  /** Partners for which the node holds credits on the group. */
  getPartnersWithCredit (deployment: string, groupId: string): readonly string[]
}

/** A preference that has decayed below this number of requests is discarded. */
const minPreferenceCount = 0.01

const noRanks: ReadonlyMap<string, number> = new Map()

/** Creates a router that has no streams in flight. */
export function createRouter (dependencies: RouterDependencies): Router {
  const { timers, settings, policy } = dependencies
  const inFlightCounter = createInFlightCounter(timers, settings.evidenceMaxAgeMs + settings.reportLagMs)
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

  function getCreditCount (group: RoutableGroup, partner: string): number {
    if (group.creditsExpireAtMs <= timers.nowMs()) return 0
    return group.creditsByPartner.get(partner) ?? 0
  }

  function findGroup (deployment: string, groupId: string): RoutableGroup | undefined {
    return dependencies.getGroups(deployment).find(group => group.groupId === groupId)
  }

  /** Ranks all fresh groups, including those without free credits, so a prefix keeps its first-ranked group. */
  function rankForPrefix (groups: readonly RoutableGroup[], prefixHash: string | undefined): ReadonlyMap<string, number> {
    if (prefixHash === undefined) return noRanks
    const ranked = rankByRendezvous(prefixHash, groups, group => group.groupId)
    return new Map(ranked.map((group, rank) => [group.groupId, rank]))
  }

  function recordPreference (firstRanked: RoutingCandidate | undefined, partner: string): void {
    if (firstRanked === undefined) return
    const key = toPreferenceKey(firstRanked.group.groupId, partner)
    const counter = preferences.get(key) ?? createDecayingCounter(timers, settings.preferenceWindowMs)
    preferences.set(key, counter)
    counter.increment()
  }

  /** Returns the recent request count plus one standard deviation, assuming a Poisson distribution, as a margin for variation. */
  function getPreferredCount (groupId: string, partner: string): number {
    const key = toPreferenceKey(groupId, partner)
    const meanCount = preferences.get(key)?.getCount() ?? 0
    if (meanCount < minPreferenceCount) preferences.delete(key)
    return Math.floor(meanCount + Math.sqrt(meanCount))
  }

  function estimateStreamCount (group: RoutableGroup): number {
    const reportedAtMs = group.observedAtMs - settings.reportLagMs
    const reportedCount = group.activeStreamCount + group.queuedStreamCount
    const othersCount = Math.max(0, reportedCount - inFlightCounter.getTotalAt(group.groupId, reportedAtMs))
    return othersCount + inFlightCounter.getTotal(group.groupId)
  }

  function toCandidate (group: RoutableGroup, partner: string, prefixRanks: ReadonlyMap<string, number>): RoutingCandidate {
    const prefixRank = prefixRanks.get(group.groupId)
    const credit = getCreditCount(group, partner)
    const inFlightCount = inFlightCounter.getCount(group.groupId, partner)
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
      const context = { medianTokenIntervalMs: getMedianTokenIntervalMs(freshGroups) }
      const available = groups
        .filter(group => !isBackingOff(group.groupId))
        .map(group => toCandidate(group, request.partner, prefixRanks))
      const candidates = available.filter(candidate => candidate.freeCreditCount > 0)
      const chosen = policy.choose(candidates, request, context)
      if (chosen === undefined) return { kind: RouteChoiceKind.NoCredit }
      recordPreference(available.find(candidate => candidate.prefixRank === 0), request.partner)
      return { kind: RouteChoiceKind.Chosen, group: chosen.group }
    },
    begin (groupId, partner) {
      let isEnded = false
      inFlightCounter.add(groupId, partner, 1)
      return {
        end () {
          if (isEnded) return
          isEnded = true
          inFlightCounter.add(groupId, partner, -1)
        }
      }
    },
    backOff (groupId) {
      backOffUntilMs.set(groupId, timers.nowMs() + settings.backoffMs)
    },
    countCredits (deployment, partner) {
      return getFreshGroups(deployment).reduce((sum, group) => sum + getCreditCount(group, partner), 0)
    },
    countFreeSlots (deployment) {
      return getFreshGroups(deployment).reduce((sum, group) => sum + Math.max(0, group.slotCount - estimateStreamCount(group)), 0)
    },
    getPreferredCount,
    getInFlightCount: (groupId, partner) => inFlightCounter.getCount(groupId, partner),
    getPartnersInFlight: groupId => inFlightCounter.getPartners(groupId),
    getHeldCreditCount (deployment, groupId, partner) {
      const group = findGroup(deployment, groupId)
      return group === undefined ? 0 : getCreditCount(group, partner)
    },
    getPartnersWithCredit (deployment, groupId) {
      const group = findGroup(deployment, groupId)
      if (group === undefined) return []
      return [...group.creditsByPartner.keys()].filter(partner => getCreditCount(group, partner) > 0)
    }
  }
}

/** Returns the lower median, so that of two groups the faster one is the reference. */
function getMedianTokenIntervalMs (groups: readonly RoutableGroup[]): number {
  const ordered = groups.map(group => group.tokenIntervalMs).sort((left, right) => left - right)
  return ordered[(ordered.length - 1) >> 1] ?? 0
}

function toPreferenceKey (groupId: string, partner: string): string {
  return `${groupId}/${partner}`
}
