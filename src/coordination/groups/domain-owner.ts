import type { Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import type { EngineControl } from '../ports/engine-control.js'
import { VmLifecycle, type ListedVm } from '../ports/vm-list.js'
import type { ListedDomain } from './domain-ownership.js'
import type { DomainQuota } from './domain-quota.js'
import type { DomainRecords, KnownRecord } from './domain-records.js'
import type { EngineProbes } from './engine-probes.js'
import type { GroupEvent } from './group-event.js'
import type { GroupSettings } from './group-settings.js'
import { assessGroup, createHoldTimes, type GroupCondition } from './group-condition.js'
import { createMemberContext } from './member-context.js'
import { isFresh, type MemberContext } from './member-condition.js'
import { createCommandSender, findDueCommands, findDueReleases } from './command-sender.js'
import { planDomain } from './planner.js'
import type { RepairPolicy } from './repair-policy.js'

export interface DomainOwnerOptions {
  readonly engineControl: EngineControl
  readonly timers: TimerService
  readonly random: RandomSource
  readonly records: DomainRecords
  readonly probes: EngineProbes
  readonly policy: RepairPolicy
  readonly settings: GroupSettings
  readonly events: Channel<GroupEvent>
  /** Names this node's changes; unique to the process. */
  readonly tokenPrefix: string
  getQuota (fabricDomain: string): DomainQuota
}

/** Plans fabric domains and brings their engines in line with the stored record. */
export interface DomainOwner {
  /** Plans one domain, stores a changed plan and sends the orders that are due. */
  plan (domain: ListedDomain, config: FleetConfig): Promise<void>
}

const tokenBound = 2 ** 31
/** Plans in a row that may be late or missed before held conditions begin anew. */
const maxMissedPlanCount = 6

/** Creates the planning part of a node. It may run on several nodes for one domain without harm. */
export function createDomainOwner (options: DomainOwnerOptions): DomainOwner {
  const { timers, random, records, probes, policy, settings, events } = options
  const holdTimesByDomain = new Map<string, ReturnType<typeof createHoldTimes>>()
  const orderSender = createCommandSender({ ...options, settings, events })
  const busyDomains = new Set<string>()
  let changeCount = 0

  function getHoldTimes (fabricDomain: string): ReturnType<typeof createHoldTimes> {
    const existing = holdTimesByDomain.get(fabricDomain)
    if (existing !== undefined) return existing
    const created = createHoldTimes(maxMissedPlanCount * settings.planIntervalMs)
    holdTimesByDomain.set(fabricDomain, created)
    return created
  }

  function assess (known: KnownRecord, domain: ListedDomain, context: MemberContext): GroupCondition[] {
    const holdTimes = getHoldTimes(domain.fabricDomain)
    return known.record.groups.map(group => assessGroup(group, context, holdTimes))
  }

  function trackSurplus (known: KnownRecord, domain: ListedDomain, config: FleetConfig, nowMs: number): Map<string, number> {
    const holdTimes = getHoldTimes(domain.fabricDomain)
    const quota = options.getQuota(domain.fabricDomain)
    return new Map(config.deployments.map(({ name }) => {
      const count = known.record.groups.filter(group => group.deployment === name && group.isRetiring !== true).length
      const isSurplus = count > (quota.get(name) ?? 0)
      return [name, holdTimes.track(`surplus/${name}`, isSurplus, nowMs)]
    }))
  }

  function createChangeToken (): string {
    changeCount += 1
    return `${options.tokenPrefix}/${changeCount}/${random.nextInt(tokenBound)}`
  }

  async function planOnce (domain: ListedDomain, config: FleetConfig): Promise<void> {
    const known = records.getKnown(domain.fabricDomain) ?? await records.refresh(domain)
    if (known === undefined) return
    const nowMs = timers.nowMs()
    const context = createMemberContext({ domain, config, probes, nowMs, maxAgeMs: settings.evidenceMaxAgeMs })
    const situations = assess(known, domain, context)
    const surplusForMs = trackSurplus(known, domain, config, nowMs)
    getHoldTimes(domain.fabricDomain).prune(nowMs)
    const next = planDomain({
      record: known.record,
      situations,
      placeableVms: findPlaceableVms(domain, context),
      quota: options.getQuota(domain.fabricDomain),
      config,
      settings,
      policy,
      surplusForMs,
      wallClockMs: timers.wallClockMs(),
      changeToken: createChangeToken()
    })
    if (next !== undefined) {
      await records.replace(domain, known, next)
      return
    }
    const orders = [
      ...findDueCommands(known.record, situations, config, settings.maxLoadingGroupCount),
      ...findDueReleases(known.record, domain, config, probes, context)
    ]
    await orderSender.send(domain, known, orders)
  }

  async function plan (domain: ListedDomain, config: FleetConfig): Promise<void> {
    if (busyDomains.has(domain.fabricDomain)) return
    busyDomains.add(domain.fabricDomain)
    try {
      await planOnce(domain, config)
    } finally {
      busyDomains.delete(domain.fabricDomain)
    }
  }

  return { plan }
}

/** Returns the VMs that may be placed; those that hold weights already come first. */
function findPlaceableVms (domain: ListedDomain, context: MemberContext): ListedVm[] {
  const isPlaceable = (vm: ListedVm) => {
    const observation = context.getObservation(vm.vmId)
    return vm.lifecycle === VmLifecycle.Live &&
      !context.drainingVmIds.has(vm.vmId) &&
      isFresh(observation, context) &&
      observation?.state?.isLeaving !== true
  }
  const isLoaded = (vm: ListedVm) => context.getObservation(vm.vmId)?.state?.isLoaded === true
  return domain.vms
    .filter(isPlaceable)
    .sort((left, right) => Number(isLoaded(right)) - Number(isLoaded(left)) || (left.vmId < right.vmId ? -1 : 1))
}
