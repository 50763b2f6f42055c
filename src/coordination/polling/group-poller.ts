import type { ConfigStatus, GroupEvidence, PollGroupsRequest, PollGroupsResponse } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { EvidenceCache } from '../groups/evidence-cache.js'
import { rankDomainOwners, type ListedDomain } from '../groups/domain-ownership.js'
import { getFabricDomain } from '../groups/group-id.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'
import type { PeerLink } from '../ports/peer-link.js'
import type { CreditCache } from '../routing/credit-cache.js'
import type { DemandReport } from '../routing/demand-report.js'
import { selectGroups, type GroupSubsetSettings } from '../routing/group-subset.js'

export interface GroupPollerOptions {
  readonly timers: TimerService
  readonly membership: MembershipView
  readonly peerLink: PeerLink
  readonly evidenceCache: EvidenceCache
  readonly creditHolder: CreditCache
  readonly demandReport: DemandReport
  readonly pollIntervalMs: number
  readonly minPollIntervalMs: number
  readonly subsetSettings: GroupSubsetSettings
  getDomains (): readonly ListedDomain[]
  getConfigStatus (): ConfigStatus
  /** Answers a poll of this node to itself. */
  answerLocally (request: PollGroupsRequest): PollGroupsResponse
  /** `askedAtMs` is the monotonic time at which the question was sent. */
  observePeerStatus (nodeId: string, status: ConfigStatus, askedAtMs: number): void
  /** Called after each answer, when requests that wait may find room. */
  onAnswer (): void
}

/** Polls the owners of the groups that this node routes to. */
export interface GroupPoller {
  start (): void
  /** Polls earlier than due, for requests that wait for credits; bounded by `minPollIntervalMs`. */
  pollSoon (): void
  stop (): void
}

interface KnownGroup {
  readonly groupId: string
  readonly deployment: string
}

/** Creates a poller. It knows the groups from earlier answers, and their owners from the list of domains. */
export function createGroupPoller (options: GroupPollerOptions): GroupPoller {
  const { timers, membership, peerLink, evidenceCache, creditHolder, demandReport } = options
  const knownGroups = new Map<string, KnownGroup[]>()
  const pendingOwners = new Set<string>()
  let subscription: TimerSubscription | undefined
  let soonSubscription: TimerSubscription | undefined
  let lastPollAtMs = -Infinity

  function selectDomains (): ListedDomain[] {
    const candidates = options.getDomains().map(domain => ({
      domain, groupId: domain.fabricDomain, deployment: '', availabilityZone: domain.availabilityZone
    }))
    const { nodeId, availabilityZone } = membership.self
    return selectGroups(nodeId, availabilityZone, candidates, options.subsetSettings).map(candidate => candidate.domain)
  }

  function groupDomainsByOwner (): Map<EntryNodeInfo, string[]> {
    const liveNodes = membership.getLiveNodes()
    const domainsByOwner = new Map<EntryNodeInfo, string[]>()
    for (const domain of selectDomains()) {
      for (const owner of rankDomainOwners(domain.fabricDomain, domain.availabilityZone, liveNodes)) {
        domainsByOwner.set(owner, [...domainsByOwner.get(owner) ?? [], domain.fabricDomain])
      }
    }
    return domainsByOwner
  }

  function createRequest (domains: readonly string[], sequence: number): PollGroupsRequest {
    const groups = domains.flatMap(fabricDomain => knownGroups.get(fabricDomain) ?? [])
    return {
      nodeId: membership.self.nodeId,
      incarnation: membership.self.incarnation,
      groups: groups.map(({ groupId, deployment }) => {
        const demand = demandReport.getGroupDemand(groupId, deployment)
        return { groupId, partners: [...demand.partners] }
      }),
      config: options.getConfigStatus(),
      sequence
    }
  }

  function learnGroups (domains: readonly string[], groups: readonly GroupEvidence[]): void {
    for (const fabricDomain of domains) {
      const ofDomain = groups.filter(group => getFabricDomain(group.groupId) === fabricDomain)
      if (ofDomain.length > 0) knownGroups.set(fabricDomain, ofDomain.map(({ groupId, deployment }) => ({ groupId, deployment })))
    }
  }

  async function pollOwner (owner: EntryNodeInfo, domains: readonly string[]): Promise<void> {
    if (pendingOwners.has(owner.nodeId)) return
    pendingOwners.add(owner.nodeId)
    const poll = creditHolder.startPoll(owner.nodeId)
    const request = createRequest(domains, poll.sequence)
    const response = await ask(owner, request)
    pendingOwners.delete(owner.nodeId)
    if (response === undefined) return
    evidenceCache.applyResponse(response.groups, poll.sentAtMs)
    for (const group of response.groups) creditHolder.applyAnswer(poll, group.groupId, group.credits)
    learnGroups(domains, response.groups)
    if (response.config !== undefined && owner.nodeId !== membership.self.nodeId) {
      options.observePeerStatus(owner.nodeId, response.config, poll.sentAtMs)
    }
    options.onAnswer()
  }

  async function ask (owner: EntryNodeInfo, request: PollGroupsRequest): Promise<PollGroupsResponse | undefined> {
    if (owner.nodeId === membership.self.nodeId) return options.answerLocally(request)
    const answer = await peerLink.pollGroups(owner.peerAddress, request)
    return answer.isOk ? answer.value : undefined
  }

  function pollAll (): void {
    lastPollAtMs = timers.nowMs()
    for (const [owner, domains] of groupDomainsByOwner()) void pollOwner(owner, domains)
  }

  return {
    start () {
      subscription = timers.subscribeEvery(options.pollIntervalMs, pollAll)
    },
    pollSoon () {
      if (soonSubscription !== undefined) return
      const waitMs = Math.max(0, lastPollAtMs + options.minPollIntervalMs - timers.nowMs())
      soonSubscription = timers.subscribeOnce(waitMs, () => {
        soonSubscription = undefined
        pollAll()
      })
    },
    stop () {
      subscription?.cancel()
      soonSubscription?.cancel()
    }
  }
}
