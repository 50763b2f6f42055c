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
const domainOutageMs = hourMs
const meanPauseMs = 8 * secondMs
/**
 * Fraction of the outages in `defaultOutageModel` that are failures: 160 of 2,160 a day last `failureMs`, the other 2,000
 * are restarts of `restartMs`.
 */
const failureFraction = 160 / 2160
/** Rate of domain outages per VM and day: one domain (a rack) a week in a fleet of 6,200 VMs. */
const domainOutagesPerVmDay = 1 / 7 / 6200
/** Planning interval while a group is incomplete. */
const stepMs = secondMs

/** Result of a run: the downtime, unused capacity and loads that a repair policy caused. */
export interface FleetCost {
  /** Groups that the quotas call for while every VM is up. */
  readonly plannedGroupCount: number
  /** VMs that the quotas leave outside groups while every VM is up. */
  readonly idleVmCount: number
  /** Time during which planned groups were incomplete, summed over the groups. */
  readonly downtimeMs: number
  /** Time that accelerators were outside complete groups, summed over the accelerators. */
  readonly strandedAcceleratorMs: number
  /** Loads of weights after the groups formed. */
  readonly loadCount: number
  /** Outages of single VMs, pauses included; a domain outage counts once for each VM. */
  readonly outageCount: number
}

export interface FleetRunOptions {
  readonly domains: readonly ListedDomain[]
  readonly config: FleetConfig
  readonly deployment: Deployment
  readonly policy: RepairPolicy
  readonly sparePolicy: SparePolicy
  readonly dayCount: number
  /** Mean number of pauses of one VM per day. */
  readonly pausesPerVmDay: number
  readonly seed: number
}

/** Simulates a fleet for `dayCount` days after its groups formed, and sums up the costs of its domains. */
export function runFleet (options: FleetRunOptions): FleetCost {
  const { domains, config, deployment } = options
  const quotas = computeQuotas(domains, config, options.sparePolicy)
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
  let nowMs = formGroups(run)
  const firstLoadCount = run.countLoads()
  let downtimeMs = 0
  let strandedAcceleratorMs = 0
  for (let eventIndex = 0; nowMs < untilMs;) {
    for (; (events[eventIndex]?.atMs ?? Infinity) <= nowMs; eventIndex += 1) applyEvent(run, events[eventIndex])
    const isComplete = run.step(nowMs)
    const nextEventMs = events[eventIndex]?.atMs ?? untilMs
    const nextMs = Math.min(untilMs, isComplete ? nextEventMs : Math.min(nextEventMs, nowMs + stepMs))
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

/** Runs the domain at times before 0 until its groups are formed. Returns 0, the time at which outages may begin. */
function formGroups (run: DomainRun): number {
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

/** Returns the beginnings and ends of the outages, sorted by time. */
function createEvents (outages: readonly Outage[]): DomainEvent[] {
  return outages
    .flatMap(outage => [{ atMs: outage.fromMs, outage, isEnd: false }, { atMs: outage.untilMs, outage, isEnd: true }])
    .sort((left, right) => left.atMs - right.atMs)
}

function applyEvent (run: DomainRun, event: DomainEvent | undefined): void {
  if (event === undefined) return
  if (event.isEnd) run.endOutage(event.outage)
  else run.beginOutage(event.outage)
}

function drawOutages (domain: ListedDomain, options: FleetRunOptions, random: RandomSource): Outage[] {
  const { dayCount, pausesPerVmDay } = options
  const vmOutages = domain.vms.flatMap(vm => drawTimes(defaultOutageModel.outagesPerVmDay, dayCount, random).map(fromMs => {
    const isFailure = random.nextFloat() < failureFraction
    const kind = isFailure ? OutageKind.Failure : OutageKind.Restart
    return { kind, vmId: vm.vmId, fromMs, untilMs: fromMs + (isFailure ? failureMs : restartMs) }
  }))
  const pauses = domain.vms.flatMap(vm => drawTimes(pausesPerVmDay, dayCount, random).map(fromMs => {
    return { kind: OutageKind.Pause, vmId: vm.vmId, fromMs, untilMs: fromMs - Math.log(1 - random.nextFloat()) * meanPauseMs }
  }))
  const domainOutages = drawTimes(domainOutagesPerVmDay * domain.vms.length, dayCount, random).flatMap(fromMs => {
    return domain.vms.map(vm => ({ kind: OutageKind.Restart, vmId: vm.vmId, fromMs, untilMs: fromMs + domainOutageMs }))
  })
  return [...vmOutages, ...domainOutages, ...pauses]
}

/** Draws the event times of a Poisson process, in ms. */
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
