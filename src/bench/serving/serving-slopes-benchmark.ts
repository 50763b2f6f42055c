import { createAdmissionControl } from '../../coordination/admission/admission.js'
import { defaultAdmissionSettings } from '../../coordination/admission/admission-settings.js'
import { AdmissionKind, RequestOutcome } from '../../coordination/admission/admission-types.js'
import { CostRouting } from '../../coordination/routing/cost-routing.js'
import { createCreditAllocator } from '../../coordination/routing/credit-allocator.js'
import { defaultCreditSettings } from '../../coordination/routing/credit-settings.js'
import type { GroupDemand } from '../../coordination/routing/demand-collector.js'
import type { RoutableGroup } from '../../coordination/routing/routable-group.js'
import { createRouter, defaultRouterSettings } from '../../coordination/routing/router.js'
import { GroupEvidence, PollGroupsRequest, PollGroupsResponse } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { RequestPriority } from '../../state/fleet-config.js'
import type { BenchmarkContext } from '../benchmark.js'

const partner = 'vrany'
const otherPartner = 'lotus'
const deployment = 'drafting'
const slotCount = 600
const groupCounts = [4, 8, 16, 32]
const routerCounts = [8, 16, 45, 90]
const requestCount = 20_000
const pollCount = 2000

/**
 * Prints slopes, that is, how costs grow with size: the processor time of a routing decision and of a grant of credits, and
 * the bytes of a poll, by the number of groups or of routers. A router is an entry node that polls the owner.
 */
export async function runServingSlopesBenchmark ({ seed, print }: BenchmarkContext): Promise<void> {
  for (const groupCount of groupCounts) print(await measureDecision(groupCount, seed))
  for (const routerCount of routerCounts) print(measureGrant(routerCount))
  for (const groupCount of groupCounts) print(measureBytes(groupCount))
}

function createGroups (groupCount: number): RoutableGroup[] {
  return Array.from({ length: groupCount }, (_, index) => ({
    groupId: `domain-${index}/1`,
    epoch: 1,
    deployment,
    leaderAddress: '10.20.30.40:8000',
    availabilityZone: 'praha-dilna',
    slotCount,
    evidenceAgeMs: 0,
    observedAtMs: 0,
    activeStreamCount: 0,
    queuedStreamCount: 0,
    tokenIntervalMs: 20,
    creditsByPartner: new Map([[partner, slotCount]]),
    creditsExpireAtMs: Number.POSITIVE_INFINITY
  }))
}

/** Measures one routing decision, that is, the admission of one request. */
async function measureDecision (groupCount: number, seed: number): Promise<string> {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const groups = createGroups(groupCount)
  const router = createRouter({
    timers,
    settings: defaultRouterSettings,
    availabilityZone: 'praha-dilna',
    policy: new CostRouting(random),
    getGroups: () => groups
  })
  const admission = createAdmissionControl({ timers, random, settings: defaultAdmissionSettings, router, getTeamWeight: () => 1 })
  const startedUsage = process.cpuUsage()
  for (let index = 0; index < requestCount; index += 1) {
    const decision = await admission.request({
      partner,
      team: 'small',
      deployment,
      prefixHash: `${index % 100}`,
      priority: RequestPriority.Interactive,
      deadlineMs: 10_000
    })
    if (decision.kind === AdmissionKind.Admitted) decision.release(RequestOutcome.Succeeded)
  }
  return `decision with ${groupCount} groups: ${(getUsedUs(startedUsage) / requestCount).toFixed(1)} us of processor time a request`
}

function createDemands (groupIds: readonly string[]): GroupDemand[] {
  return groupIds.map(groupId => ({
    groupId,
    partners: [partner, otherPartner].map(name => ({
      partner: name,
      inFlightCount: 6,
      waitingCount: 1,
      heldCreditCount: 7,
      preferredCount: 3
    }))
  }))
}

/** Measures how an owner records one poll and grants credits for one group. */
function measureGrant (routerCount: number): string {
  const timers = createVirtualTimerService()
  const nodeIds = Array.from({ length: routerCount }, (_, index) => `node-${index}`)
  const creditAllocator = createCreditAllocator({
    timers,
    settings: defaultCreditSettings,
    getSlotCount: () => slotCount,
    getShares: () => [partner, otherPartner].map(name => ({ partner: name, capacityPercent: 50, priority: 1 })),
    getLiveNodeIds: () => nodeIds,
    isFirstOwner: () => true
  })
  const demands = createDemands(['g'])
  const startedUsage = process.cpuUsage()
  for (let index = 0; index < pollCount; index += 1) {
    const nodeId = nodeIds[index % routerCount] ?? ''
    creditAllocator.recordPoll(nodeId, 1, demands, index)
    creditAllocator.grant('g', nodeId)
  }
  return `owner with ${routerCount} routers a group: ${(getUsedUs(startedUsage) / pollCount).toFixed(1)} us of processor time a poll and group`
}

/** Measures the size of one poll and its response. */
function measureBytes (groupCount: number): string {
  const groups = createGroups(groupCount)
  const demands = createDemands(groups.map(group => group.groupId))
  const request = PollGroupsRequest.encode(PollGroupsRequest.fromPartial({
    nodeId: 'node-1234',
    incarnation: 1_700_000_000_000,
    sequence: 1_000_000,
    groups: demands.map(({ groupId, partners }) => ({ groupId, partners: [...partners] }))
  })).finish()
  const response = PollGroupsResponse.encode(PollGroupsResponse.fromPartial({ groups: groups.map(toEvidence) })).finish()
  return `poll of ${groupCount} groups: ${request.length} bytes asked, ${response.length} bytes answered, without framing`
}

function toEvidence (group: RoutableGroup): GroupEvidence {
  return GroupEvidence.fromPartial({
    groupId: group.groupId,
    epoch: 12,
    isComplete: true,
    ageMs: 120,
    activeStreamCount: 500,
    queuedStreamCount: 3,
    tokenIntervalUs: 24_000,
    deployment,
    leaderAddress: group.leaderAddress,
    availabilityZone: group.availabilityZone,
    credits: [partner, otherPartner].map(name => ({ partner: name, slotCount: 7 }))
  })
}

function getUsedUs (startedUsage: NodeJS.CpuUsage): number {
  const used = process.cpuUsage(startedUsage)
  return used.user + used.system
}
