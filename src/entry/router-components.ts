import { createAdmissionControl, type AdmissionControl } from '../coordination/admission/admission.js'
import { defaultAdmissionSettings } from '../coordination/admission/admission-settings.js'
import type { ConfigKeeper } from '../coordination/config/config-keeper.js'
import { createDomainLookup } from '../coordination/groups/domain-ownership.js'
import { createEvidenceCache, type EvidenceCache, type FreshGroup } from '../coordination/groups/evidence-cache.js'
import type { GroupSettings } from '../coordination/groups/group-settings.js'
import { createGroupPoller, type GroupPoller } from '../coordination/polling/group-poller.js'
import type { EngineStreams } from '../coordination/ports/engine-streams.js'
import type { MembershipView } from '../coordination/ports/membership-view.js'
import type { PeerLink } from '../coordination/ports/peer-link.js'
import { CostRouting } from '../coordination/routing/cost-routing.js'
import { createCreditCache } from '../coordination/routing/credit-cache.js'
import { defaultCreditSettings } from '../coordination/routing/credit-settings.js'
import { createDemandCollector } from '../coordination/routing/demand-collector.js'
import { defaultGroupSubsetSettings } from '../coordination/routing/group-subset.js'
import type { RoutableGroup } from '../coordination/routing/routable-group.js'
import { createRouter, defaultRouterSettings } from '../coordination/routing/router.js'
import { createStreamAdmission } from '../coordination/streams/stream-admission.js'
import { createModelStreams, type ModelStreams } from '../coordination/streams/model-streams.js'
import type { VmDirectory } from '../coordination/vms/vm-directory.js'
import type { PollGroupsRequest, PollGroupsResponse } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { EntrySettings } from '../settings/entry-settings.js'
import type { RandomSource } from '../shared/random-source.js'
import type { TimerService } from '../shared/timer-service.js'

/** Shortest time between two polls of the owners, also when requests wait for credits. */
const minPollIntervalMs = 100
const percentPerUnit = 100

export interface RouterComponentsOptions {
  readonly engineStreams: EngineStreams
  readonly vms: VmDirectory
  readonly timers: TimerService
  readonly random: RandomSource
  readonly membership: MembershipView
  readonly peerLink: PeerLink
  readonly keeper: ConfigKeeper
  readonly groupSettings: GroupSettings
  readonly settings: EntrySettings
  /** Handles the polls that this node sends to itself. */
  handlePoll (request: PollGroupsRequest): PollGroupsResponse
}

/** The components of an entry node that route and stream the requests of its clients. */
export interface RouterComponents {
  readonly admission: AdmissionControl
  readonly evidenceCache: EvidenceCache
  readonly poller: GroupPoller
  readonly streams: ModelStreams
}

/** Creates the components; none is started yet. */
export function createRouterComponents (options: RouterComponentsOptions): RouterComponents {
  const { engineStreams, vms, timers, random, membership, keeper, groupSettings, settings } = options
  const evidenceCache = createEvidenceCache(timers, groupSettings)
  const creditCache = createCreditCache(timers, defaultCreditSettings.creditLifetimeMs)

  function toRoutable (group: FreshGroup, slotCount: number): RoutableGroup {
    // The age is counted into `observedAtMs`: whether evidence is too old depends on the sum of the two alone.
    return { ...group, ...creditCache.get(group.groupId), slotCount, evidenceAgeMs: 0, observedAtMs: timers.nowMs() - group.ageMs }
  }

  function getGroups (deployment: string): RoutableGroup[] {
    const declared = keeper.getConfig()?.deployments.find(candidate => candidate.name === deployment)
    if (declared === undefined) return []
    return evidenceCache.getFreshGroups(deployment, timers.nowMs()).map(group => toRoutable(group, declared.slotsPerGroup))
  }

  const router = createRouter({
    timers,
    settings: { ...defaultRouterSettings, evidenceMaxAgeMs: groupSettings.evidenceMaxAgeMs },
    availabilityZone: settings.availabilityZone,
    policy: new CostRouting(random),
    getGroups
  })
  const admission = createAdmissionControl({
    timers,
    random,
    router,
    settings: {
      ...defaultAdmissionSettings,
      maxWaitingCount: settings.requests.maxWaitingCount,
      retryBudget: { ...defaultAdmissionSettings.retryBudget, retriesPerSuccess: settings.requests.retryPercent / percentPerUnit }
    },
    getTeamWeight: (partner, team) => findTeamWeight(keeper, partner, team),
    onWait: () => poller.pollSoon()
  })
  const streamAdmission = createStreamAdmission({
    admission,
    evidenceCache,
    timers,
    getShares: () => keeper.getConfig()?.split.shares ?? [],
    isConfigConfirmed: () => keeper.getFreshness().canServe
  })
  const poller = createGroupPoller({
    timers,
    membership,
    peerLink: options.peerLink,
    evidenceCache,
    creditCache,
    demandReport: createDemandCollector(router, admission, deployment => getGroups(deployment).length),
    pollIntervalMs: settings.groups.pollIntervalMs,
    minPollIntervalMs,
    subsetSettings: defaultGroupSubsetSettings,
    getDomains: createDomainLookup(vms),
    getConfigStatus: keeper.getStatus,
    handleLocally: options.handlePoll,
    observePeerStatus: keeper.observePeerStatus,
    onResponse: admission.dispatch
  })
  const streams = createModelStreams({ admission: streamAdmission, engineStreams, timers })
  return { admission, evidenceCache, poller, streams }
}

const defaultTeamWeight = 1

function findTeamWeight (keeper: ConfigKeeper, partnerName: string, teamName: string): number {
  const partner = keeper.getConfig()?.partners.find(candidate => candidate.name === partnerName)
  return partner?.teams.find(team => team.name === teamName)?.weight ?? defaultTeamWeight
}
