import type { ConfigStatus, GroupEvidence, PollGroupsRequest, PollGroupsResponse } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { EvidenceCache } from '../groups/evidence-cache.js'
import { rankDomainOwners, type ListedDomain } from '../groups/domain-ownership.js'
import { getFabricDomain } from '../groups/group-id.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'
import type { PeerLink } from '../ports/peer-link.js'
import type { CreditCache } from '../routing/credit-cache.js'
import type { DemandCollector } from '../routing/demand-collector.js'
import { selectGroups, type GroupSubsetSettings } from '../routing/group-subset.js'

export interface GroupPollerOptions {
  readonly timers: TimerService
  readonly membership: MembershipView
  readonly peerLink: PeerLink
  readonly evidenceCache: EvidenceCache
  readonly creditCache: CreditCache
  readonly demandReport: DemandCollector
  readonly pollIntervalMs: number
  /** Least time between two polls when requests wait for credits. */
  readonly minPollIntervalMs: number
  readonly subsetSettings: GroupSubsetSettings
  getDomains (): readonly ListedDomain[]
  getConfigStatus (): ConfigStatus
  /** Handles a poll that this node sends to itself as an owner. */
  handleLocally (request: PollGroupsRequest): PollGroupsResponse
  /** Called with the configuration status in a peer's response; `requestedAtMs` is the monotonic time at which the poll was sent. */
  observePeerStatus (nodeId: string, status: ConfigStatus, requestedAtMs: number): void
  /** Called after each response, because its credits may admit waiting requests. */
  onResponse (): void
}

/** Polls the owners of the groups that this node routes to for evidence and credits. */
export interface GroupPoller {
  start (): void
  /** Polls before the next interval, for requests that wait for credits, but no sooner than `minPollIntervalMs` after the last poll. */
  pollSoon (): void
  stop (): void
}

interface KnownGroup {
  readonly groupId: string
  readonly deployment: string
}

/** Creates a poller. It learns the groups of a domain from earlier responses, and ranks the domain's owners among the live nodes. */
export function createGroupPoller (options: GroupPollerOptions): GroupPoller {
  const { timers, membership, peerLink, evidenceCache, creditCache: creditHolder, demandReport } = options
  const knownGroups = new Map<string, KnownGroup[]>()
  const pendingOwners = new Set<string>()
  let subscription: TimerSubscription | undefined
  let earlyPollSubscription: TimerSubscription | undefined
  let lastPollAtMs = -Infinity

  /** `selectGroups` ranks any key; here the key is the fabric domain. */
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

  function storeGroups (domains: readonly string[], groups: readonly GroupEvidence[]): void {
    for (const fabricDomain of domains) {
      const domainGroups = groups.filter(group => getFabricDomain(group.groupId) === fabricDomain)
      if (domainGroups.length > 0) knownGroups.set(fabricDomain, domainGroups.map(({ groupId, deployment }) => ({ groupId, deployment })))
    }
  }

  async function pollOwner (owner: EntryNodeInfo, domains: readonly string[]): Promise<void> {
    if (pendingOwners.has(owner.nodeId)) return
    pendingOwners.add(owner.nodeId)
    const poll = creditHolder.startPoll(owner.nodeId)
    const request = createRequest(domains, poll.sequence)
    const response = await sendPoll(owner, request)
    pendingOwners.delete(owner.nodeId)
    if (response === undefined) return
    evidenceCache.applyResponse(response.groups, poll.sentAtMs)
    for (const group of response.groups) creditHolder.applyResponse(poll, group.groupId, group.credits)
    storeGroups(domains, response.groups)
    if (response.config !== undefined && owner.nodeId !== membership.self.nodeId) {
      options.observePeerStatus(owner.nodeId, response.config, poll.sentAtMs)
    }
    options.onResponse()
  }

  async function sendPoll (owner: EntryNodeInfo, request: PollGroupsRequest): Promise<PollGroupsResponse | undefined> {
    if (owner.nodeId === membership.self.nodeId) return options.handleLocally(request)
    const result = await peerLink.pollGroups(owner.peerAddress, request)
    return result.isOk ? result.value : undefined
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
      if (earlyPollSubscription !== undefined) return
      const waitMs = Math.max(0, lastPollAtMs + options.minPollIntervalMs - timers.nowMs())
      earlyPollSubscription = timers.subscribeOnce(waitMs, () => {
        earlyPollSubscription = undefined
        pollAll()
      })
    },
    stop () {
      subscription?.cancel()
      earlyPollSubscription?.cancel()
    }
  }
}
