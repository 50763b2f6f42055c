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
export const nodesOfPartner = 8
const pollIntervalMs = 500
const minPollIntervalMs = 100
const zoneDelayMs = 4
const localDelayMs = 1
const ownersOfGroup = 2
/** More than any engine accepts. */
const unlimitedCreditCount = 10_000

export interface BenchNode {
  readonly nodeId: string
  readonly partner: PartnerName
  readonly availabilityZone: string
  readonly admission: AdmissionControl
  readonly book: CreditAllocator
  readonly holder: CreditCache
  readonly demandReport: DemandCollector
  /** Answers of the owners by group. */
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

/** One-way delay between two zones. */
export function getDelayMs (fromZone: string, toZone: string): number {
  return fromZone === toZone ? localDelayMs : zoneDelayMs
}

/** Creates the entry nodes of both partners and starts their polls. */
export function createEntryFleet (options: EntryFleetOptions): readonly BenchNode[] {
  const { servingCase, timers, random, groups, measures } = options
  const lastPollAtMs = new Map<string, number>()
  const isPollPending = new Set<string>()
  const nodes = partnerNames.flatMap(partner =>
    Array.from({ length: nodesOfPartner }, (_, index) => createNode(partner, index)))
  const nodeIds = nodes.map(node => node.nodeId)
  const ownersByGroup = new Map(groups.map(group =>
    [group.groupId, rankByRendezvous(group.groupId, nodes, node => node.nodeId).slice(0, ownersOfGroup)]))

  const owners = new Set([...ownersByGroup.values()].flat())

  function getSharePercent (): number {
    const change = servingCase.shareChange
    return change !== undefined && timers.nowMs() >= change.atMs ? change.sharePercent : servingCase.sharePercent
  }

  function createPolicy (): RoutingPolicy {
    switch (servingCase.policy) {
      case PolicyName.Ours: return new CostRouting(random)
      case PolicyName.Random: return new RandomRouting(random)
      case PolicyName.RoundRobin: return new RoundRobinRouting()
      case PolicyName.TwoChoices: return new TwoChoicesRouting(random)
    }
  }

  function createNode (partner: PartnerName, index: number): BenchNode {
    const nodeId = `${partner}-${index}`
    const availabilityZone = zoneNames[index % zoneNames.length] ?? zoneNames[0]
    const holder = createCreditCache(timers, defaultCreditSettings.creditLifetimeMs)
    const reports = new Map<string, GroupReport>()

    function getCredits (group: FakeEngineGroup): HeldCredits {
      if (servingCase.shareMode === ShareMode.Credits) return holder.get(group.groupId)
      const creditsExpireAtMs = Number.POSITIVE_INFINITY
      if (servingCase.shareMode !== ShareMode.LocalQuotas) {
        return { creditsByPartner: new Map([[partner, unlimitedCreditCount]]), creditsExpireAtMs }
      }
      return { creditsByPartner: new Map([[partner, getLocalQuota(group, partner, index)]]), creditsExpireAtMs }
    }

    /** The node's equal part of its partner's slots; odd slots go round over the nodes. */
    function getLocalQuota (group: FakeEngineGroup, ofPartner: PartnerName, nodeIndex: number): number {
      const percent = ofPartner === partnerNames[0] ? getSharePercent() : 100 - getSharePercent()
      const slots = Math.round(group.slotCount * percent / 100)
      const offset = (nodeIndex + groups.indexOf(group)) % nodesOfPartner
      return Math.floor(slots / nodesOfPartner) + (offset < slots % nodesOfPartner ? 1 : 0)
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
    const book = createCreditAllocator({
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
    const demandReport = createDemandCollector(router, admission, () => groups.filter(group => !group.isLost).length)
    return { nodeId, partner, availabilityZone, admission, book, holder, demandReport, reports }
  }

  function pollOwner (node: BenchNode, owner: BenchNode): void {
    const owned = groups.filter(group => ownersByGroup.get(group.groupId)?.includes(owner) === true)
    const sentPoll = node.holder.startPoll(owner.nodeId)
    const demands = owned.map(group => node.demandReport.getGroupDemand(group.groupId, deploymentName))
    const delayMs = getDelayMs(node.availabilityZone, owner.availabilityZone)
    countMessage(PollGroupsRequest.encode(PollGroupsRequest.fromPartial({
      nodeId: node.nodeId,
      incarnation: 1_700_000_000_000,
      sequence: sentPoll.sequence,
      groups: demands.map(demand => ({ ...demand, partners: [...demand.partners] }))
    })).finish().length)
    timers.subscribeOnce(delayMs, () => {
      owner.book.recordPoll(node.nodeId, 1, demands, sentPoll.sequence)
      const answers = owned.filter(group => !group.isLost).map(group => answer(group, owner, node))
      countMessage(PollGroupsResponse.encode(PollGroupsResponse.fromPartial({ groups: answers.map(toEvidence) })).finish().length)
      timers.subscribeOnce(delayMs, () => {
        for (const { group, load, credits } of answers) {
          node.reports.set(group.groupId, { ...load, observedAtMs: sentPoll.sentAtMs })
          node.holder.applyResponse(sentPoll, group.groupId, credits)
        }
        node.admission.dispatch()
      })
    })
  }

  function answer (group: FakeEngineGroup, owner: BenchNode, node: BenchNode) {
    return { group, load: group.getLoad(servingCase.reportLagMs), credits: owner.book.grant(group.groupId, node.nodeId) }
  }

  function toEvidence ({ group, load, credits }: ReturnType<typeof answer>) {
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

  /** Polls earlier than due for a request that waits, as the entry node does. */
  function pollSoon (nodeId: string): void {
    if (isPollPending.has(nodeId)) return
    isPollPending.add(nodeId)
    const waitMs = Math.max(0, (lastPollAtMs.get(nodeId) ?? 0) + minPollIntervalMs - timers.nowMs())
    timers.subscribeOnce(waitMs, () => {
      isPollPending.delete(nodeId)
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
