import { createAdmissionControl, type AdmissionControl } from '../../coordination/admission/admission.js'
import { defaultAdmissionSettings, type AdmissionSettings } from '../../coordination/admission/admission-settings.js'
import type { AdmissionRequest } from '../../coordination/admission/admission-types.js'
import { CostRouting } from '../../coordination/routing/cost-routing.js'
import { createCreditAllocator, type CreditAllocator, type CreditAllocatorDependencies } from '../../coordination/routing/credit-allocator.js'
import { createCreditCache, type CreditCache } from '../../coordination/routing/credit-cache.js'
import { defaultCreditSettings } from '../../coordination/routing/credit-settings.js'
import { createDemandCollector, type DemandCollector } from '../../coordination/routing/demand-collector.js'
import type { RoutableGroup } from '../../coordination/routing/routable-group.js'
import { createRouter, defaultRouterSettings, type Router } from '../../coordination/routing/router.js'
import { createRandomSource, type RandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService, type VirtualTimerService } from '../../shared/virtual-timer-service.js'

export const deployment = 'wording'
export const groupIds = ['g1', 'g2'] as const
export const partners = ['lotus', 'vrany'] as const
export const nodeIds = ['n1', 'n2', 'n3', 'n4'] as const
/** Slots of each group. */
export const slotCount = 12
export const pollIntervalMs = 500
/** Time within which all nodes learn of a new first owner. */
export const ownerViewSpreadMs = 2000
/** A late poll takes up to twice this time in each direction. */
const latePollDelayMs = 400
/** Maximum one-way delay of a poll or its response. */
const networkDelayMs = 20
/** Time after which the other nodes see a paused node as dead. */
const suspicionMs = 3000

/** Factories of the parts under test. Tests pass broken variants to show that the oracle detects them. */
export interface WorldParts {
  createAllocator (dependencies: CreditAllocatorDependencies): CreditAllocator
  createCache (timers: VirtualTimerService, creditLifetimeMs: number): CreditCache
  wrapAdmission (admission: AdmissionControl, timers: VirtualTimerService): AdmissionControl
}

/** The parts that entry nodes use. */
export const realParts: WorldParts = {
  createAllocator: createCreditAllocator,
  createCache: createCreditCache,
  wrapAdmission: admission => admission
}

/** One simulated entry node: router, admission, and the credit allocator that it uses as an owner. */
export interface WorldNode {
  readonly nodeId: string
  readonly router: Router
  readonly admission: AdmissionControl
  readonly allocator: CreditAllocator
  readonly demandCollector: DemandCollector
  readonly creditCache: CreditCache
  /** Sending time of the last poll that got a response, by group. */
  readonly lastPollAtMs: Map<string, number>
  /** Sending time of the last poll whose response had credits, by group. */
  readonly lastGrantAtMs: Map<string, number>
  pausedSinceMs: number
  pausedUntilMs: number
  /** Number of coming polls or responses that are lost. */
  lostPollCount: number
  /** Number of coming polls that are late, in both directions. */
  latePollCount: number
  /** The node that this node sees as the first owner of every group. */
  firstOwnerId: string
  /** Number of the owner change that `firstOwnerId` comes from; an older change is ignored. */
  ownerVersion: number
}

/**
 * Simulated entry nodes that share the slots of two groups, in virtual time. Each group has two owners, which
 * nodes poll for credits; only the first owner grants them.
 */
export interface AdmissionWorld {
  readonly timers: VirtualTimerService
  readonly random: RandomSource
  readonly nodes: readonly WorldNode[]
  readonly settings: AdmissionSettings
  /** Groups that are unavailable. */
  readonly lostGroupIds: Set<string>
  /** Capacity share of the first partner in percent; the second one has the rest. */
  share: { percent: number }
  isPaused (node: WorldNode): boolean
  /** Makes a node the first owner of every group. The nodes learn of it at different times, within `ownerViewSpreadMs`. */
  changeOwner (nodeId: string): void
  request (node: WorldNode, request: AdmissionRequest): ReturnType<AdmissionControl['request']>
}

/** Creates four entry nodes and two groups, with a network that loses and delays polls. */
export function createAdmissionWorld (seed: number, parts: WorldParts): AdmissionWorld {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const share = { percent: 50 }
  const lostGroupIds = new Set<string>()
  const settings: AdmissionSettings = { ...defaultAdmissionSettings, initialServiceMs: 1000, maxWaitingCount: 12 }
  let ownerVersion = 0
  const nodes: WorldNode[] = nodeIds.map(createNode)

  const isPaused = (node: WorldNode) => node.pausedUntilMs > timers.nowMs()

  function getLiveNodeIds (): string[] {
    const isSuspected = (node: WorldNode) => isPaused(node) && timers.nowMs() - node.pausedSinceMs > suspicionMs
    return nodes.filter(node => !isSuspected(node)).map(node => node.nodeId)
  }

  function createNode (nodeId: string): WorldNode {
    const creditCache = parts.createCache(timers, defaultCreditSettings.creditLifetimeMs)
    const lastPollAtMs = new Map<string, number>()
    const router = createRouter({
      timers,
      settings: defaultRouterSettings,
      availabilityZone: 'galle',
      policy: new CostRouting(random),
      getGroups: () => groupIds.filter(groupId => !lostGroupIds.has(groupId)).map(toGroup)
    })
    function toGroup (groupId: string): RoutableGroup {
      return {
        groupId,
        epoch: 1,
        deployment,
        leaderAddress: '127.0.0.1:1',
        availabilityZone: 'galle',
        slotCount,
        evidenceAgeMs: 0,
        observedAtMs: lastPollAtMs.get(groupId) ?? Number.NEGATIVE_INFINITY,
        activeStreamCount: 0,
        queuedStreamCount: 0,
        tokenIntervalMs: 20,
        ...creditCache.get(groupId)
      }
    }
    const admission = parts.wrapAdmission(
      createAdmissionControl({ timers, random, settings, router, getTeamWeight: () => 1 }),
      timers
    )
    const allocator = parts.createAllocator({
      timers,
      settings: defaultCreditSettings,
      getSlotCount: groupId => lostGroupIds.has(groupId) ? 0 : slotCount,
      getShares: () => partners.map((partner, index) => ({
        partner,
        capacityPercent: index === 0 ? share.percent : 100 - share.percent,
        priority: 1
      })),
      getLiveNodeIds,
      isFirstOwner: () => node.firstOwnerId === nodeId
    })
    const node: WorldNode = {
      nodeId,
      router,
      admission,
      allocator,
      creditCache,
      demandCollector: createDemandCollector(router, admission, () => groupIds.length - lostGroupIds.size),
      lastPollAtMs,
      lastGrantAtMs: new Map(),
      pausedSinceMs: 0,
      pausedUntilMs: 0,
      lostPollCount: 0,
      latePollCount: 0,
      firstOwnerId: 'n1',
      ownerVersion: 0
    }
    return node
  }

  function poll (node: WorldNode, owner: WorldNode): void {
    if (isPaused(node)) return
    const sentPoll = node.creditCache.startPoll(owner.nodeId)
    const demands = groupIds.map(groupId => node.demandCollector.getGroupDemand(groupId, deployment))
    const isLate = consumeFault(node, 'latePollCount')
    if (consumeFault(node, 'lostPollCount')) return
    deliver(owner, isLate, () => {
      owner.allocator.recordPoll(node.nodeId, 1, demands, sentPoll.sequence)
      const grants = groupIds.map(groupId => ({ groupId, credits: owner.allocator.grant(groupId, node.nodeId) }))
      if (consumeFault(node, 'lostPollCount')) return
      deliver(node, isLate, () => {
        for (const { groupId, credits } of grants) {
          node.creditCache.applyResponse(sentPoll, groupId, credits)
          setLatest(node.lastPollAtMs, groupId, sentPoll.sentAtMs)
          if (credits.length > 0) setLatest(node.lastGrantAtMs, groupId, sentPoll.sentAtMs)
        }
        node.admission.dispatch()
      })
    })
  }

  /** Runs the action after the network delay, or when the receiver resumes if it is paused. */
  function deliver (receiver: WorldNode, isLate: boolean, action: () => void): void {
    const delayMs = (isLate ? latePollDelayMs * 2 : networkDelayMs) * random.nextFloat()
    timers.subscribeOnce(delayMs, () => {
      if (!isPaused(receiver)) return action()
      timers.subscribeOnce(receiver.pausedUntilMs - timers.nowMs(), action)
    })
  }

  function consumeFault (node: WorldNode, name: 'lostPollCount' | 'latePollCount'): boolean {
    if (node[name] <= 0) return false
    node[name] -= 1
    return true
  }

  /** Returns the two nodes that the polling node sees as owners. */
  function getOwners (node: WorldNode): WorldNode[] {
    const firstIndex = nodes.findIndex(candidate => candidate.nodeId === node.firstOwnerId)
    return [0, 1].flatMap(offset => nodes[(firstIndex + offset) % nodes.length] ?? [])
  }

  function applyOwnerChange (node: WorldNode, firstOwnerId: string, version: number): void {
    if (version < node.ownerVersion) return
    node.ownerVersion = version
    node.firstOwnerId = firstOwnerId
  }

  for (const node of nodes) {
    timers.subscribeOnce(pollIntervalMs * random.nextFloat(), () => {
      timers.subscribeEvery(pollIntervalMs, () => {
        for (const owner of getOwners(node)) poll(node, owner)
      })
    })
  }

  return {
    timers,
    random,
    nodes,
    settings,
    lostGroupIds,
    share,
    isPaused,
    changeOwner (nodeId) {
      ownerVersion += 1
      const version = ownerVersion
      for (const node of nodes) {
        timers.subscribeOnce(ownerViewSpreadMs * random.nextFloat(), () => applyOwnerChange(node, nodeId, version))
      }
    },
    request: (node, request) => node.admission.request(request)
  }
}

function setLatest (timesMs: Map<string, number>, groupId: string, timeMs: number): void {
  timesMs.set(groupId, Math.max(timeMs, timesMs.get(groupId) ?? 0))
}
