import { createChannel, type Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService, TimerSubscription } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import type { EngineControl } from '../ports/engine-control.js'
import type { KeyValueStore } from '../ports/key-value-store.js'
import type { EntryNodeInfo, MembershipView } from '../ports/membership-view.js'
import { createDomainPlanRunner } from './domain-plan-runner.js'
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
  readonly repairPolicy?: RepairPolicy
  readonly sparePolicy?: SparePolicy
  readonly events?: Channel<GroupEvent>
  getConfig (): FleetConfig | undefined
}

/**
 * The part of an entry node that owns domains. It plans the domains of which it is first owner, probes the engines
 * of all domains that it owns, and reports which of their groups are complete.
 */
export interface GroupCoordinator {
  readonly evidence: EvidenceReporter
  readonly events: Channel<GroupEvent>
  /** Owners of the group's domain, the first owner first. */
  ownersOf (groupId: string): EntryNodeInfo[]
  /** Owners of all domains in the deployment's availability zones, without duplicates. */
  ownersOfDeployment (deployment: string): EntryNodeInfo[]
  /** Owners of a domain, the first owner first. */
  ownersOfDomain (domain: ListedDomain): readonly EntryNodeInfo[]
  /** Domains that this node owns, as first or second owner. */
  getOwnedDomains (): readonly ListedDomain[]
  /** Number of probes sent so far. */
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
  const ownerLookup = createOwnerLookup(getDomains, membership.getLiveNodes)
  const getQuota = createQuotaLookup(getDomains, options.getConfig, options.sparePolicy ?? reserveSparesByCost)
  const evidence = createEvidenceReporter({ timers, records, probes, settings, getOwnedDomains, getConfig: options.getConfig })
  const nextRefreshAtMs = new Map<string, number>()
  const subscriptions: TimerSubscription[] = []
  const domainOwner = createDomainPlanRunner({
    ...options,
    records,
    probes,
    events,
    getQuota,
    policy: options.repairPolicy ?? new CostBasedRepair(),
    tokenPrefix: `${membership.self.nodeId}/${membership.self.incarnation}`
  })

  function getOwnedDomains (): readonly ListedDomain[] {
    return ownerLookup.getOwnedDomains(membership.self.nodeId)
  }

  function listProbeTargets (): ProbeTarget[] {
    return getOwnedDomains().flatMap(domain => {
      const listedIds = new Set(domain.vms.map(vm => vm.vmId))
      const groups = records.getCached(domain.fabricDomain)?.record.groups ?? []
      // Members that the platform no longer lists may still serve streams.
      const unlisted = groups.flatMap(group => group.members).filter(member => !listedIds.has(member.vmId))
      return [...domain.vms, ...unlisted]
    })
  }

  /** Reads the records that are due. */
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
    for (const domain of ownerLookup.getPlannedDomains(membership.self.nodeId)) {
      void domainOwner.plan(domain, config)
    }
  }

  function ownersOf (groupId: string): EntryNodeInfo[] {
    const fabricDomain = getFabricDomain(groupId)
    const domain = getDomains().find(candidate => candidate.fabricDomain === fabricDomain)
    return domain === undefined ? [] : [...ownerLookup.ownersOf(domain)]
  }

  function ownersOfDeployment (name: string): EntryNodeInfo[] {
    const deployment = options.getConfig()?.deployments.find(candidate => candidate.name === name)
    const zones = new Set(deployment?.availabilityZones)
    const nodes = getDomains().filter(domain => zones.has(domain.availabilityZone)).flatMap(ownerLookup.ownersOf)
    return [...new Map(nodes.map(node => [node.nodeId, node])).values()]
  }

  /** Starts the periodic tasks after a random part of the probe interval, so nodes that start together do not probe at the same time. */
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
    ownersOfDomain: ownerLookup.ownersOf,
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
