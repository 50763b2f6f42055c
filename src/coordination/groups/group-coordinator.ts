import { createChannel, type Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import type { EngineControl } from '../ports/engine-control.js'
import type { KeyValueStore } from '../ports/key-value-store.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'
import { createDomainOwner } from './domain-owner.js'
import { createDomainLookup, createOwnerLookup, type ListedDomain, type VmListView } from './domain-ownership.js'
import { computeQuotas, reserveSparesByCost, type DomainQuota, type SparePolicy } from './domain-quota.js'
import { createDomainRecords } from './domain-records.js'
import { createEngineProbes, type ProbeTarget } from './engine-probes.js'
import { createEvidenceReporter, type EvidenceReporter } from './evidence-reporter.js'
import type { GroupEvent } from './group-event.js'
import { getFabricDomain } from './group-id.js'
import type { GroupSettings } from './group-settings.js'
import { CostBasedRepair, type RepairPolicy } from './repair-policy.js'

export interface GroupCoordinatorOptions {
  readonly store: KeyValueStore
  readonly vmList: VmListView
  readonly engineControl: EngineControl
  readonly timers: TimerService
  readonly random: RandomSource
  readonly membership: MembershipView
  readonly settings: GroupSettings
  readonly policy?: RepairPolicy
  readonly sparePolicy?: SparePolicy
  readonly events?: Channel<GroupEvent>
  getConfig (): FleetConfig | undefined
}

/** The part of an entry node that owns domains: it plans them, probes their engines and reports which groups are complete. */
export interface GroupCoordinator {
  readonly evidence: EvidenceReporter
  readonly events: Channel<GroupEvent>
  /** Nodes to poll about a group, the planning node first. */
  ownersOf (groupId: string): EntryNodeInfo[]
  /** Nodes to poll about all groups of a deployment in its availability zones, without duplicates. */
  ownersOfDeployment (deployment: string): EntryNodeInfo[]
  /** Nodes that own a domain, the planning node first. */
  ownersOfDomain (domain: ListedDomain): readonly EntryNodeInfo[]
  /** Domains that this node owns, as first or second owner. */
  getOwnedDomains (): readonly ListedDomain[]
  getProbeCount (): number
  start (): void
  stop (): void
}

const noQuota: DomainQuota = new Map()

/** Creates the coordinator of a node. It probes and plans once `start` has been called. */
export function createGroupCoordinator (options: GroupCoordinatorOptions): GroupCoordinator {
  const { timers, membership, settings, random } = options
  const events = options.events ?? createChannel<GroupEvent>()
  const records = createDomainRecords(options.store, timers, events)
  const probes = createEngineProbes(options.engineControl, timers, settings)
  const getDomains = createDomainLookup(options.vmList)
  const owners = createOwnerLookup(getDomains, membership.getLiveNodes)
  const getQuota = createQuotaLookup(getDomains, options.getConfig, options.sparePolicy ?? reserveSparesByCost)
  const evidence = createEvidenceReporter({ timers, records, probes, settings, getOwnedDomains, getConfig: options.getConfig })
  const nextRefreshAtMs = new Map<string, number>()
  const subscriptions: TimerSubscription[] = []
  const owner = createDomainOwner({
    ...options,
    records,
    probes,
    events,
    getQuota,
    policy: options.policy ?? new CostBasedRepair(),
    tokenPrefix: `${membership.self.nodeId}/${membership.self.incarnation}`
  })

  function getOwnedDomains (): readonly ListedDomain[] {
    return owners.getOwnedDomains(membership.self.nodeId)
  }

  function listProbeTargets (): ProbeTarget[] {
    return getOwnedDomains().flatMap(domain => {
      const listedIds = new Set(domain.vms.map(vm => vm.vmId))
      const groups = records.getCached(domain.fabricDomain)?.record.groups ?? []
      const unlisted = groups.flatMap(group => group.members).filter(member => !listedIds.has(member.vmId))
      return [...domain.vms, ...unlisted]
    })
  }

  function refreshRecords (): void {
    const nowMs = timers.nowMs()
    for (const domain of getOwnedDomains()) {
      if (nowMs < (nextRefreshAtMs.get(domain.fabricDomain) ?? 0)) continue
      const jitter = 0.75 + random.nextFloat() / 2
      nextRefreshAtMs.set(domain.fabricDomain, nowMs + settings.recordRefreshMs * jitter)
      void records.refresh(domain)
    }
  }

  function planDomains (): void {
    const config = options.getConfig()
    if (config === undefined) return
    for (const domain of owners.getPlannedDomains(membership.self.nodeId)) {
      void owner.plan(domain, config)
    }
  }

  function ownersOf (groupId: string): EntryNodeInfo[] {
    const fabricDomain = getFabricDomain(groupId)
    const domain = getDomains().find(candidate => candidate.fabricDomain === fabricDomain)
    return domain === undefined ? [] : [...owners.ownersOf(domain)]
  }

  function ownersOfDeployment (name: string): EntryNodeInfo[] {
    const deployment = options.getConfig()?.deployments.find(candidate => candidate.name === name)
    const zones = new Set(deployment?.availabilityZones)
    const nodes = getDomains().filter(domain => zones.has(domain.availabilityZone)).flatMap(owners.ownersOf)
    return [...new Map(nodes.map(node => [node.nodeId, node])).values()]
  }

  /** Delays the first round by a random time, so nodes that start together do not probe in lockstep. */
  function start (): void {
    const startDelayMs = random.nextFloat() * settings.probeIntervalMs
    subscriptions.push(timers.subscribeOnce(startDelayMs, startPeriodicTasks))
  }

  function startPeriodicTasks (): void {
    subscriptions.push(
      timers.subscribeEvery(settings.probeIntervalMs, () => probes.probe(listProbeTargets())),
      timers.subscribeEvery(settings.planIntervalMs, refreshRecords),
      timers.subscribeEvery(settings.planIntervalMs, planDomains)
    )
  }

  return {
    evidence,
    events,
    ownersOf,
    ownersOfDomain: owners.ownersOf,
    ownersOfDeployment,
    getOwnedDomains,
    getProbeCount: probes.getProbeCount,
    start,
    stop: () => subscriptions.splice(0).forEach(subscription => subscription.cancel())
  }
}

/** Creates a lookup that recomputes the quotas only when the VM list or the configuration changes. */
function createQuotaLookup (getDomains: () => readonly ListedDomain[], getConfig: () => FleetConfig | undefined, sparePolicy: SparePolicy): (fabricDomain: string) => DomainQuota {
  let lastDomains: readonly ListedDomain[] | undefined
  let lastConfig: FleetConfig | undefined
  let quotas = new Map<string, DomainQuota>()
  return fabricDomain => {
    const domains = getDomains()
    const config = getConfig()
    if (config === undefined) return noQuota
    if (domains !== lastDomains || config !== lastConfig) {
      quotas = computeQuotas(domains, config, sparePolicy)
      lastDomains = domains
      lastConfig = config
    }
    return quotas.get(fabricDomain) ?? noQuota
  }
}
