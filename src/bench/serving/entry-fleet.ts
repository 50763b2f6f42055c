import { createAdmissionControl, type AdmissionControl } from '../../coordination/admission/admission.js'
import { defaultAdmissionSettings } from '../../coordination/admission/admission-settings.js'
import { CostRouting } from '../../coordination/routing/cost-routing.js'
import { createCreditAllocator, type CreditAllocator } from '../../coordination/routing/credit-allocator.js'
import { createCreditCache, type CreditCache, type HeldCredits } from '../../coordination/routing/credit-cache.js'
import { defaultCreditSettings } from '../../coordination/routing/credit-settings.js'
import { createDemandCollector, type DemandCollector } from '../../coordination/routing/demand-collector.js'
import type { RoutableGroup } from '../../coordination/routing/routable-group.js'
import { createRouter, defaultRouterSettings } from '../../coordination/routing/router.js'
import { RandomRouting, RoundRobinRouting, TwoChoicesRouting, type RoutingPolicy } from '../../coordination/routing/routing-policy.js'
import { PollGroupsRequest, PollGroupsResponse } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { RandomSource } from '../../shared/random-source.js'
import { rankByRendezvous } from '../../shared/rendezvous.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FakeEngineGroup } from './fake-engine-group.js'
import type { Measures } from './measures.js'
import { partnerNames, PolicyName, ShareMode, zoneNames, type PartnerName, type ServingCase } from './serving-case.js'

export const deploymentName = 'drafting'
/** Entry nodes of each partner. */
export const nodesPerPartner = 8
const pollIntervalMs = 500
const minPollIntervalMs = 100
/** One-way delays. */
const crossZoneDelayMs = 4
const sameZoneDelayMs = 1
/** Entry nodes that grant credits for a group. */
const ownersPerGroup = 2
/** Exceeds the slots of every group. */
const unlimitedCreditCount = 10_000

/** A simulated entry node with the production admission, routing and credits. */
export interface BenchNode {
  readonly nodeId: string
  readonly partner: PartnerName
  readonly availabilityZone: string
  readonly admission: AdmissionControl
  readonly creditAllocator: CreditAllocator
  readonly creditCache: CreditCache
  readonly demandCollector: DemandCollector
  /** Latest load report of each group, by group id. */
  readonly reports: Map<string, GroupReport>
}

interface GroupReport {
  readonly observedAtMs: number
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  readonly tokenIntervalMs: number
}

export interface EntryFleetOptions {
  readonly servingCase: ServingCase
  readonly timers: TimerService
  readonly random: RandomSource
  readonly groups: readonly FakeEngineGroup[]
  readonly measures: Measures
}

/** Returns the one-way delay between two zones. */
export function getDelayMs (fromZone: string, toZone: string): number {
  return fromZone === toZone ? sameZoneDelayMs : crossZoneDelayMs
}

/** Creates the entry nodes of both partners and starts polling the owners of the groups. */
export function createEntryFleet (options: EntryFleetOptions): readonly BenchNode[] {
  const { servingCase, timers, random, groups, measures } = options
  const lastPollAtMs = new Map<string, number>()
  const nodeIdsWithPendingPoll = new Set<string>()
  const nodes = partnerNames.flatMap(partner =>
    Array.from({ length: nodesPerPartner }, (_, index) => createNode(partner, index)))
  const nodeIds = nodes.map(node => node.nodeId)
  const ownersByGroup = new Map(groups.map(group =>
    [group.groupId, rankByRendezvous(group.groupId, nodes, node => node.nodeId).slice(0, ownersPerGroup)]))

  const owners = new Set([...ownersByGroup.values()].flat())

  function getSharePercent (): number {
    const change = servingCase.shareChange
    return change !== undefined && timers.nowMs() >= change.atMs ? change.sharePercent : servingCase.sharePercent
  }

  function createPolicy (): RoutingPolicy {
    switch (servingCase.policy) {
      case PolicyName.Cost: return new CostRouting(random)
      case PolicyName.Random: return new RandomRouting(random)
      case PolicyName.RoundRobin: return new RoundRobinRouting()
      case PolicyName.TwoChoices: return new TwoChoicesRouting(random)
    }
  }

  function createNode (partner: PartnerName, index: number): BenchNode {
    const nodeId = `${partner}-${index}`
    const availabilityZone = zoneNames[index % zoneNames.length] ?? zoneNames[0]
    const creditCache = createCreditCache(timers, defaultCreditSettings.creditLifetimeMs)
    const reports = new Map<string, GroupReport>()

    function getCredits (group: FakeEngineGroup): HeldCredits {
      if (servingCase.shareMode === ShareMode.Credits) return creditCache.get(group.groupId)
      const creditsExpireAtMs = Number.POSITIVE_INFINITY
      if (servingCase.shareMode !== ShareMode.LocalQuotas) {
        return { creditsByPartner: new Map([[partner, unlimitedCreditCount]]), creditsExpireAtMs }
      }
      return { creditsByPartner: new Map([[partner, getLocalQuota(group, partner, index)]]), creditsExpireAtMs }
    }

    /** Returns the node's equal part of its partner's slots. Remaining slots rotate over the nodes, by group. */
    function getLocalQuota (group: FakeEngineGroup, quotaPartner: PartnerName, nodeIndex: number): number {
      const percent = quotaPartner === partnerNames[0] ? getSharePercent() : 100 - getSharePercent()
      const slots = Math.round(group.slotCount * percent / 100)
      const offset = (nodeIndex + groups.indexOf(group)) % nodesPerPartner
      return Math.floor(slots / nodesPerPartner) + (offset < slots % nodesPerPartner ? 1 : 0)
    }

    function toRoutable (group: FakeEngineGroup): RoutableGroup[] {
      const report = reports.get(group.groupId)
      if (report === undefined) return []
      return [{
        groupId: group.groupId,
        epoch: 1,
        deployment: deploymentName,
        leaderAddress: group.groupId,
        availabilityZone: group.availabilityZone,
        slotCount: group.slotCount,
        evidenceAgeMs: 0,
        ...report,
        ...getCredits(group)
      }]
    }

    const router = createRouter({
      timers,
      settings: { ...defaultRouterSettings, reportLagMs: servingCase.reportLagMs },
      availabilityZone,
      policy: createPolicy(),
      getGroups: () => groups.flatMap(toRoutable)
    })
    const admission = createAdmissionControl({ timers, random, settings: defaultAdmissionSettings, router, getTeamWeight: () => 1, onWait: () => pollSoon(nodeId) })
    const creditAllocator = createCreditAllocator({
      timers,
      settings: defaultCreditSettings,
      getSlotCount: groupId => groups.find(group => group.groupId === groupId && !group.isLost)?.slotCount ?? 0,
      getShares: () => partnerNames.map((name, position) => ({
        partner: name,
        capacityPercent: position === 0 ? getSharePercent() : 100 - getSharePercent(),
        priority: 1
      })),
      getLiveNodeIds: () => nodeIds,
      isFirstOwner: groupId => ownersByGroup.get(groupId)?.[0]?.nodeId === nodeId
    })
    const demandCollector = createDemandCollector(router, admission, () => groups.filter(group => !group.isLost).length)
    return { nodeId, partner, availabilityZone, admission, creditAllocator, creditCache, demandCollector, reports }
  }

  /** Sends the demand of the node to an owner and applies the load reports and credits of the response. */
  function pollOwner (node: BenchNode, owner: BenchNode): void {
    const owned = groups.filter(group => ownersByGroup.get(group.groupId)?.includes(owner) === true)
    const sentPoll = node.creditCache.startPoll(owner.nodeId)
    const demands = owned.map(group => node.demandCollector.getGroupDemand(group.groupId, deploymentName))
    const delayMs = getDelayMs(node.availabilityZone, owner.availabilityZone)
    // The incarnation is as long as in production; only the encoded length counts.
    countMessage(PollGroupsRequest.encode(PollGroupsRequest.fromPartial({
      nodeId: node.nodeId,
      incarnation: 1_700_000_000_000,
      sequence: sentPoll.sequence,
      groups: demands.map(demand => ({ ...demand, partners: [...demand.partners] }))
    })).finish().length)
    timers.subscribeOnce(delayMs, () => {
      owner.creditAllocator.recordPoll(node.nodeId, 1, demands, sentPoll.sequence)
      const responses = owned.filter(group => !group.isLost).map(group => createResponse(group, owner, node))
      countMessage(PollGroupsResponse.encode(PollGroupsResponse.fromPartial({ groups: responses.map(toEvidence) })).finish().length)
      timers.subscribeOnce(delayMs, () => {
        for (const { group, load, credits } of responses) {
          node.reports.set(group.groupId, { ...load, observedAtMs: sentPoll.sentAtMs })
          node.creditCache.applyResponse(sentPoll, group.groupId, credits)
        }
        node.admission.dispatch()
      })
    })
  }

  function createResponse (group: FakeEngineGroup, owner: BenchNode, node: BenchNode) {
    return { group, load: group.getLoad(servingCase.reportLagMs), credits: owner.creditAllocator.grant(group.groupId, node.nodeId) }
  }

  function toEvidence ({ group, load, credits }: ReturnType<typeof createResponse>) {
    return {
      groupId: group.groupId,
      epoch: 1,
      isComplete: true,
      ageMs: 100,
      activeStreamCount: load.activeStreamCount,
      queuedStreamCount: load.queuedStreamCount,
      tokenIntervalUs: Math.round(load.tokenIntervalMs * 1000),
      credits: [...credits],
      deployment: deploymentName,
      leaderAddress: '10.20.30.40:8000',
      availabilityZone: group.availabilityZone
    }
  }

  function countMessage (byteCount: number): void {
    measures.controlMessageCount += 1
    measures.controlBytes += byteCount
  }

  function pollAll (node: BenchNode): void {
    lastPollAtMs.set(node.nodeId, timers.nowMs())
    for (const owner of owners) pollOwner(node, owner)
  }

  /** Polls before the interval has passed because a request waits, as the production entry node does. */
  function pollSoon (nodeId: string): void {
    if (nodeIdsWithPendingPoll.has(nodeId)) return
    nodeIdsWithPendingPoll.add(nodeId)
    const waitMs = Math.max(0, (lastPollAtMs.get(nodeId) ?? 0) + minPollIntervalMs - timers.nowMs())
    timers.subscribeOnce(waitMs, () => {
      nodeIdsWithPendingPoll.delete(nodeId)
      const node = nodes.find(candidate => candidate.nodeId === nodeId)
      if (node !== undefined) pollAll(node)
    })
  }

  for (const node of nodes) {
    timers.subscribeOnce(random.nextFloat() * pollIntervalMs, () => {
      timers.subscribeEvery(pollIntervalMs, () => pollAll(node))
    })
  }
  return nodes
}
