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
export const routerIds = ['n1', 'n2', 'n3', 'n4'] as const
export const slotCount = 12
export const pollIntervalMs = 500
/** Time within which all nodes learn of a new owner. */
export const ownerViewSpreadMs = 2000
const unansweredPollMs = 400
const networkDelayMs = 20
/** Time after which the other nodes see a paused node as dead. */
const suspicionMs = 3000

/** Replaces parts of the system under test, to show that the oracle notices a broken one. */
export interface WorldParts {
  createBook (dependencies: CreditAllocatorDependencies): CreditAllocator
  createHolder (timers: VirtualTimerService, creditLifetimeMs: number): CreditCache
  wrapAdmission (admission: AdmissionControl, timers: VirtualTimerService): AdmissionControl
}

export const realParts: WorldParts = {
  createBook: createCreditAllocator,
  createHolder: createCreditCache,
  wrapAdmission: admission => admission
}

/** One entry node: router, admission, and the owner's book. */
export interface WorldNode {
  readonly nodeId: string
  readonly router: Router
  readonly admission: AdmissionControl
  readonly book: CreditAllocator
  readonly demandReport: DemandCollector
  readonly holder: CreditCache
  readonly lastPollAtMs: Map<string, number>
  /** Sending time of the last poll that brought credits, by group. */
  readonly lastGrantAtMs: Map<string, number>
  pausedSinceMs: number
  pausedUntilMs: number
  lostPollCount: number
  latePollCount: number
  /** The node that this one takes for the first owner of every group. */
  firstOwnerId: string
  ownerVersion: number
}

export interface AdmissionWorld {
  readonly timers: VirtualTimerService
  readonly random: RandomSource
  readonly nodes: readonly WorldNode[]
  readonly settings: AdmissionSettings
  readonly lostGroupIds: Set<string>
  /** Percent of the first partner. */
  share: { percent: number }
  isPaused (node: WorldNode): boolean
  /** Makes another node first owner; the nodes learn of it at different times within two seconds. */
  changeOwner (nodeId: string): void
  request (node: WorldNode, request: AdmissionRequest): ReturnType<AdmissionControl['request']>
}

/** Creates four entry nodes around two groups, over a network that loses and delays polls. */
export function createAdmissionWorld (seed: number, parts: WorldParts): AdmissionWorld {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const share = { percent: 50 }
  const lostGroupIds = new Set<string>()
  const settings: AdmissionSettings = { ...defaultAdmissionSettings, initialServiceMs: 1000, maxWaitingCount: 12 }
  let ownerVersion = 0
  const nodes: WorldNode[] = routerIds.map(createNode)

  const isPaused = (node: WorldNode) => node.pausedUntilMs > timers.nowMs()

  function getLiveNodeIds (): string[] {
    const isSuspected = (node: WorldNode) => isPaused(node) && timers.nowMs() - node.pausedSinceMs > suspicionMs
    return nodes.filter(node => !isSuspected(node)).map(node => node.nodeId)
  }

  function createNode (nodeId: string): WorldNode {
    const holder = parts.createHolder(timers, defaultCreditSettings.creditLifetimeMs)
    const observedAtMs = new Map<string, number>()
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
        observedAtMs: observedAtMs.get(groupId) ?? Number.NEGATIVE_INFINITY,
        activeStreamCount: 0,
        queuedStreamCount: 0,
        tokenIntervalMs: 20,
        ...holder.get(groupId)
      }
    }
    const admission = parts.wrapAdmission(
      createAdmissionControl({ timers, random, settings, router, getTeamWeight: () => 1 }),
      timers
    )
    const book = parts.createBook({
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
      book,
      holder,
      demandReport: createDemandCollector(router, admission, () => groupIds.length - lostGroupIds.size),
      lastPollAtMs: observedAtMs,
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
    const sentPoll = node.holder.startPoll(owner.nodeId)
    const demands = groupIds.map(groupId => node.demandReport.getGroupDemand(groupId, deployment))
    const isLate = takeFault(node, 'latePollCount')
    if (takeFault(node, 'lostPollCount')) return
    deliver(owner, isLate, () => {
      owner.book.recordPoll(node.nodeId, 1, demands, sentPoll.sequence)
      const answers = groupIds.map(groupId => ({ groupId, credits: owner.book.grant(groupId, node.nodeId) }))
      if (takeFault(node, 'lostPollCount')) return
      deliver(node, isLate, () => {
        for (const { groupId, credits } of answers) {
          node.holder.applyResponse(sentPoll, groupId, credits)
          raise(node.lastPollAtMs, groupId, sentPoll.sentAtMs)
          if (credits.length > 0) raise(node.lastGrantAtMs, groupId, sentPoll.sentAtMs)
        }
        node.admission.dispatch()
      })
    })
  }

  /** Runs the action after the network delay, or when a paused receiver goes on. */
  function deliver (receiver: WorldNode, isLate: boolean, action: () => void): void {
    const delayMs = (isLate ? unansweredPollMs * 2 : networkDelayMs) * random.nextFloat()
    timers.subscribeOnce(delayMs, () => {
      if (!isPaused(receiver)) return action()
      timers.subscribeOnce(receiver.pausedUntilMs - timers.nowMs(), action)
    })
  }

  function takeFault (node: WorldNode, name: 'lostPollCount' | 'latePollCount'): boolean {
    if (node[name] <= 0) return false
    node[name] -= 1
    return true
  }

  /** The two nodes that the polling node takes for the owners. */
  function getOwners (node: WorldNode): WorldNode[] {
    const firstIndex = nodes.findIndex(candidate => candidate.nodeId === node.firstOwnerId)
    return [0, 1].flatMap(offset => nodes[(firstIndex + offset) % nodes.length] ?? [])
  }

  function learnOwner (node: WorldNode, firstOwnerId: string, version: number): void {
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
        timers.subscribeOnce(ownerViewSpreadMs * random.nextFloat(), () => learnOwner(node, nodeId, version))
      }
    },
    request: (node, request) => node.admission.request(request)
  }
}

function raise (timesMs: Map<string, number>, groupId: string, timeMs: number): void {
  timesMs.set(groupId, Math.max(timeMs, timesMs.get(groupId) ?? 0))
}
