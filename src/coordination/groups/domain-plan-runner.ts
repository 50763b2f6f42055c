import type { Channel } from '../../shared/channel.js'
import type { RandomSource } from '../../shared/random-source.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import type { EngineControl } from '../ports/engine-control.js'
import { VmLifecycle, type ListedVm } from '../ports/vm-list.js'
import type { ListedDomain } from './domain-ownership.js'
import type { DomainQuota } from './domain-quota.js'
import type { DomainRecords, CachedRecord } from './domain-records.js'
import type { EngineProbes } from './engine-probes.js'
import type { GroupEvent } from './group-event.js'
import type { GroupSettings } from './group-settings.js'
import { assessGroup, createConditionDurations, type GroupCondition } from './group-condition.js'
import { createMemberContext } from './member-context.js'
import { isFresh, type MemberContext } from './member-condition.js'
import { createCommandSender, findDueJoinCommands, findDueReleaseCommands } from './command-sender.js'
import { planDomain } from './domain-plan.js'
import type { RepairPolicy } from './repair-policy.js'

export interface DomainPlanRunnerOptions {
  readonly engineControl: EngineControl
  readonly timers: TimerService
  readonly random: RandomSource
  readonly records: DomainRecords
  readonly probes: EngineProbes
  readonly policy: RepairPolicy
  readonly settings: GroupSettings
  readonly events: Channel<GroupEvent>
  /** Prefix of this node's change tokens; unique to the process. */
  readonly tokenPrefix: string
  getQuota (fabricDomain: string): DomainQuota
}

/** Plans the domains of which this node is first owner, and sends engines the commands that make them match the record. */
export interface DomainPlanRunner {
  /**
   * Plans one domain. Stores the record if the plan changes it, and otherwise sends the commands that are due.
   * Does nothing while an earlier plan of the domain is running.
   */
  plan (domain: ListedDomain, config: FleetConfig): Promise<void>
}

/** Exclusive bound of the random part of a change token. */
const changeTokenRandomBound = 2 ** 31
/** Gap between two plans, in plan intervals, after which the durations of conditions restart from zero. */
const maxMissedPlanCount = 6

/**
 * Creates the planning part of a node. Several nodes may safely plan the same domain at the same time, because
 * records are replaced by compare-and-swap and commands are sent only on a recently confirmed record.
 */
export function createDomainPlanRunner (options: DomainPlanRunnerOptions): DomainPlanRunner {
  const { timers, random, records, probes, policy, settings, events } = options
  const holdTimesByDomain = new Map<string, ReturnType<typeof createConditionDurations>>()
  const commandSender = createCommandSender({ ...options, settings, events })
  const domainsInPlanning = new Set<string>()
  let changeCount = 0

  function getHoldTimes (fabricDomain: string): ReturnType<typeof createConditionDurations> {
    const existing = holdTimesByDomain.get(fabricDomain)
    if (existing !== undefined) return existing
    const created = createConditionDurations(maxMissedPlanCount * settings.planIntervalMs)
    holdTimesByDomain.set(fabricDomain, created)
    return created
  }

  function assess (cached: CachedRecord, domain: ListedDomain, context: MemberContext): GroupCondition[] {
    const holdTimes = getHoldTimes(domain.fabricDomain)
    return cached.record.groups.map(group => assessGroup(group, context, holdTimes))
  }

  function trackSurplusDurations (cached: CachedRecord, domain: ListedDomain, config: FleetConfig, nowMs: number): Map<string, number> {
    const holdTimes = getHoldTimes(domain.fabricDomain)
    const quota = options.getQuota(domain.fabricDomain)
    return new Map(config.deployments.map(({ name }) => {
      const count = cached.record.groups.filter(group => group.deployment === name && group.isRetiring !== true).length
      const isSurplus = count > (quota.get(name) ?? 0)
      return [name, holdTimes.track(`surplus/${name}`, isSurplus, nowMs)]
    }))
  }

  function createChangeToken (): string {
    changeCount += 1
    return `${options.tokenPrefix}/${changeCount}/${random.nextInt(changeTokenRandomBound)}`
  }

  async function planOnce (domain: ListedDomain, config: FleetConfig): Promise<void> {
    const cached = records.getCached(domain.fabricDomain) ?? await records.refresh(domain)
    if (cached === undefined) return
    const nowMs = timers.nowMs()
    const context = createMemberContext({ domain, config, probes, nowMs, maxAgeMs: settings.evidenceMaxAgeMs })
    const groupConditions = assess(cached, domain, context)
    const surplusForMs = trackSurplusDurations(cached, domain, config, nowMs)
    getHoldTimes(domain.fabricDomain).prune(nowMs)
    const next = planDomain({
      record: cached.record,
      groupConditions,
      placeableVms: findPlaceableVms(domain, context),
      quota: options.getQuota(domain.fabricDomain),
      config,
      settings,
      policy,
      surplusMsByDeployment: surplusForMs,
      wallClockMs: timers.wallClockMs(),
      changeToken: createChangeToken()
    })
    if (next !== undefined) {
      await records.replace(domain, cached, next)
      return
    }
    const commands = [
      ...findDueJoinCommands(cached.record, groupConditions, config, settings.maxLoadingGroupCount),
      ...findDueReleaseCommands(cached.record, domain, config, probes, context)
    ]
    await commandSender.send(domain, cached, commands)
  }

  async function plan (domain: ListedDomain, config: FleetConfig): Promise<void> {
    if (domainsInPlanning.has(domain.fabricDomain)) return
    domainsInPlanning.add(domain.fabricDomain)
    try {
      await planOnce(domain, config)
    } finally {
      domainsInPlanning.delete(domain.fabricDomain)
    }
  }

  return { plan }
}

/** Returns the VMs that can be assigned to a group, those with loaded weights first. */
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
