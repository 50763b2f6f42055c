import type { ListedDomain } from '../coordination/groups/domain-ownership.js'
import { computeQuotas, type SparePolicy } from '../coordination/groups/domain-quota.js'
import type { RepairPolicy } from '../coordination/groups/repair-policy.js'
import { defaultOutageModel } from '../coordination/groups/spare-count.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import type { Deployment, FleetConfig } from '../state/fleet-config.js'
import { createDomainRun, OutageKind, type DomainRun, type Outage } from './groups-domain-run.js'

const secondMs = 1000
const hourMs = 3_600_000
const dayMs = 24 * hourMs
const restartMs = 90 * secondMs
const failureMs = 1800 * secondMs
const darkDomainMs = hourMs
const meanPauseMs = 8 * secondMs
const failuresPerOutage = 160 / 2160
/** One rack of a fleet of 6,200 servers a week. */
const darkDomainsPerVmDay = 1 / 7 / 6200
/** The domain is planned anew at this interval until it is at rest. */
const stepMs = secondMs

/** What a policy cost over the run. */
export interface FleetCost {
  /** Groups that the quotas call for while every VM is up. */
  readonly plannedGroupCount: number
  readonly idleVmCount: number
  /** Time that planned groups were not complete, summed over the groups. */
  readonly downtimeMs: number
  /** Accelerators outside complete groups, times the time. */
  readonly strandedAcceleratorMs: number
  readonly loadCount: number
  readonly outageCount: number
}

export interface FleetRunOptions {
  readonly domains: readonly ListedDomain[]
  readonly config: FleetConfig
  readonly deployment: Deployment
  readonly policy: RepairPolicy
  readonly spareRule: SparePolicy
  readonly dayCount: number
  /** Pauses of one VM in a day. */
  readonly pausesPerVmDay: number
  readonly seed: number
}

/** Runs a fleet for some days after its forming, and sums up what its outages cost. */
export function runFleet (options: FleetRunOptions): FleetCost {
  const { domains, config, deployment } = options
  const quotas = computeQuotas(domains, config, options.spareRule)
  const random = createRandomSource(options.seed)
  const costs = domains.map(domain => {
    const quota = quotas.get(domain.fabricDomain) ?? new Map<string, number>()
    const outages = drawOutages(domain, options, random)
    const run = createDomainRun(domain, quota, config, options.policy)
    return runDomain(run, domain, quota.get(deployment.name) ?? 0, outages, options)
  })
  return costs.reduce(addCosts)
}

function runDomain (run: DomainRun, domain: ListedDomain, plannedGroupCount: number, outages: readonly Outage[], options: FleetRunOptions): FleetCost {
  const { membersPerGroup } = options.deployment
  const acceleratorsPerVm = domain.vms[0]?.acceleratorCount ?? 0
  const events = createEvents(outages)
  const untilMs = options.dayCount * dayMs
  let nowMs = form(run)
  const firstLoadCount = run.countLoads()
  let downtimeMs = 0
  let strandedAcceleratorMs = 0
  for (let eventIndex = 0; nowMs < untilMs;) {
    for (; (events[eventIndex]?.atMs ?? Infinity) <= nowMs; eventIndex += 1) apply(run, events[eventIndex])
    const isAtRest = run.step(nowMs)
    const nextEventMs = events[eventIndex]?.atMs ?? untilMs
    const nextMs = Math.min(untilMs, isAtRest ? nextEventMs : Math.min(nextEventMs, nowMs + stepMs))
    const completeCount = run.countCompleteGroups()
    const strandedVmCount = domain.vms.length - completeCount * membersPerGroup
    downtimeMs += Math.max(0, plannedGroupCount - completeCount) * (nextMs - nowMs)
    strandedAcceleratorMs += strandedVmCount * acceleratorsPerVm * (nextMs - nowMs)
    nowMs = nextMs
  }
  return {
    plannedGroupCount,
    idleVmCount: domain.vms.length - plannedGroupCount * membersPerGroup,
    downtimeMs,
    strandedAcceleratorMs,
    loadCount: run.countLoads() - firstLoadCount,
    outageCount: outages.length
  }
}

/** Lets the domain form its groups before outages begin, at negative times. */
function form (run: DomainRun): number {
  for (let nowMs = -dayMs; nowMs < 0; nowMs += stepMs) {
    if (run.step(nowMs)) return 0
  }
  return 0
}

interface DomainEvent {
  readonly atMs: number
  readonly outage: Outage
  readonly isEnd: boolean
}

function createEvents (outages: readonly Outage[]): DomainEvent[] {
  return outages
    .flatMap(outage => [{ atMs: outage.fromMs, outage, isEnd: false }, { atMs: outage.untilMs, outage, isEnd: true }])
    .sort((left, right) => left.atMs - right.atMs)
}

function apply (run: DomainRun, event: DomainEvent | undefined): void {
  if (event === undefined) return
  if (event.isEnd) run.end(event.outage)
  else run.begin(event.outage)
}

function drawOutages (domain: ListedDomain, options: FleetRunOptions, random: RandomSource): Outage[] {
  const { dayCount, pausesPerVmDay } = options
  const single = domain.vms.flatMap(vm => drawTimes(defaultOutageModel.outagesPerVmDay, dayCount, random).map(fromMs => {
    const isFailure = random.nextFloat() < failuresPerOutage
    const kind = isFailure ? OutageKind.Failure : OutageKind.Restart
    return { kind, vmId: vm.vmId, fromMs, untilMs: fromMs + (isFailure ? failureMs : restartMs) }
  }))
  const pauses = domain.vms.flatMap(vm => drawTimes(pausesPerVmDay, dayCount, random).map(fromMs => {
    return { kind: OutageKind.Pause, vmId: vm.vmId, fromMs, untilMs: fromMs - Math.log(1 - random.nextFloat()) * meanPauseMs }
  }))
  const dark = drawTimes(darkDomainsPerVmDay * domain.vms.length, dayCount, random).flatMap(fromMs => {
    return domain.vms.map(vm => ({ kind: OutageKind.Restart, vmId: vm.vmId, fromMs, untilMs: fromMs + darkDomainMs }))
  })
  return [...single, ...dark, ...pauses]
}

/** Draws the times of a Poisson process. */
function drawTimes (ratePerDay: number, dayCount: number, random: RandomSource): number[] {
  const times: number[] = []
  const drawGapMs = () => -Math.log(1 - random.nextFloat()) / ratePerDay * dayMs
  for (let atMs = drawGapMs(); atMs < dayCount * dayMs; atMs += drawGapMs()) times.push(atMs)
  return times
}

function addCosts (left: FleetCost, right: FleetCost): FleetCost {
  return {
    plannedGroupCount: left.plannedGroupCount + right.plannedGroupCount,
    idleVmCount: left.idleVmCount + right.idleVmCount,
    downtimeMs: left.downtimeMs + right.downtimeMs,
    strandedAcceleratorMs: left.strandedAcceleratorMs + right.strandedAcceleratorMs,
    loadCount: left.loadCount + right.loadCount,
    outageCount: left.outageCount + right.outageCount
  }
}
