import type { Channel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { DomainRecord, GroupAssignment } from '../../state/domain-record.js'
import type { Deployment, FleetConfig } from '../../state/fleet-config.js'
import { EngineCommandKind, type EngineControl, type EngineCommand } from '../ports/engine-control.js'
import type { ListedDomain } from './domain-ownership.js'
import type { DomainRecords, KnownRecord } from './domain-records.js'
import type { EngineProbes } from './engine-probes.js'
import { GroupEventKind, type GroupEvent } from './group-event.js'
import type { GroupSettings } from './group-settings.js'
import type { GroupCondition } from './group-condition.js'
import { isFresh, MemberStatus, type MemberCondition } from './member-condition.js'

/** One order that an engine's report calls for. */
export interface DueCommand {
  readonly vmId: string
  readonly address: string
  readonly command: EngineCommand
  readonly doesEngineCheckEpoch: boolean
}

/** Chooses the orders that bring the engines of a domain in line with its record. */
export function findDueCommands (
  record: DomainRecord,
  situations: readonly GroupCondition[],
  config: FleetConfig,
  maxLoadingGroupCount: number
): DueCommand[] {
  const orders: DueCommand[] = []
  let loadingCount = situations.filter(isLoading).length
  for (const situation of situations) {
    const deployment = config.deployments.find(candidate => candidate.name === situation.group.deployment)
    const due = situation.conditions.filter(isOrderDue)
    if (deployment === undefined || due.length === 0 || situation.group.isRetiring === true) continue
    if (!canFormNow(situation)) continue
    if (!isLoading(situation)) {
      if (loadingCount >= maxLoadingGroupCount) continue
      loadingCount += 1
    }
    orders.push(...due.map(({ member }) => createJoin(member.vmId, member.address, situation.group, deployment)))
  }
  return orders
}

/** Chooses the orders that free engines which report a group although the record gives them none. */
export function findDueReleases (
  record: DomainRecord,
  domain: ListedDomain,
  config: FleetConfig,
  probes: Pick<EngineProbes, 'getObservation'>,
  context: { readonly nowMs: number, readonly maxAgeMs: number }
): DueCommand[] {
  const assignedVmIds = new Set(record.groups.flatMap(group => group.members.map(member => member.vmId)))
  return domain.vms.flatMap(vm => {
    const observation = probes.getObservation(vm.vmId)
    const state = observation?.state
    if (assignedVmIds.has(vm.vmId) || state?.groupId === undefined || !isFresh(observation, context)) return []
    const deployment = config.deployments.find(candidate => candidate.name === state.deployment)
    const command: EngineCommand = {
      kind: EngineCommandKind.Release,
      groupId: state.groupId,
      epoch: record.lastEpoch,
      deployment: state.deployment ?? '',
      model: deployment?.model ?? '',
      modelVersion: state.modelVersion ?? '',
      members: []
    }
    const doesEngineCheckEpoch = deployment?.doesEngineCheckEpoch ?? false
    return [{ vmId: vm.vmId, address: vm.address, command, doesEngineCheckEpoch }]
  })
}

function createJoin (vmId: string, address: string, group: GroupAssignment, deployment: Deployment): DueCommand {
  return {
    vmId,
    address,
    doesEngineCheckEpoch: deployment.doesEngineCheckEpoch,
    command: {
      kind: EngineCommandKind.Join,
      groupId: group.groupId,
      epoch: group.epoch,
      deployment: group.deployment,
      model: deployment.model,
      modelVersion: group.modelVersion,
      members: group.members
    }
  }
}

function isOrderDue (condition: MemberCondition): boolean {
  return condition.status === MemberStatus.Misassigned
}

function isLoading (situation: GroupCondition): boolean {
  return situation.conditions.some(condition => condition.status === MemberStatus.Loading)
}

/** True when every member reports, so that the group can become complete. */
function canFormNow (situation: GroupCondition): boolean {
  return situation.conditions.every(condition => condition.status !== MemberStatus.Missing)
}

export interface CommandSender {
  /** Sends the orders whose record is confirmed; reads the record again when the confirmation has run out. */
  send (domain: ListedDomain, known: KnownRecord, orders: readonly DueCommand[]): Promise<void>
}

export interface CommandSenderOptions {
  readonly engineControl: EngineControl
  readonly timers: TimerService
  readonly records: DomainRecords
  readonly probes: EngineProbes
  readonly settings: GroupSettings
  readonly events: Channel<GroupEvent>
}

/** Creates a sender that checks the age of the record's confirmation right before each order. */
export function createCommandSender (options: CommandSenderOptions): CommandSender {
  const { engineControl, timers, records, probes, settings, events } = options
  const sentAtMsByVmId = new Map<string, { readonly orderKey: string, readonly sentAtMs: number }>()

  function isConfirmed (domain: ListedDomain, known: KnownRecord): boolean {
    const latest = records.getKnown(domain.fabricDomain)
    if (latest === undefined || latest.revision !== known.revision) return false
    return timers.nowMs() - latest.confirmedAtMs <= settings.commandLifetimeMs
  }

  /** Engines that ignore epochs get an order only after every order of an earlier record has ended. */
  function isSettled (known: KnownRecord, due: DueCommand): boolean {
    if (due.doesEngineCheckEpoch) return true
    return timers.nowMs() - known.firstSeenAtMs >= settings.commandLifetimeMs + settings.clockDriftMs
  }

  function isRepeatedTooSoon (due: DueCommand): boolean {
    const last = sentAtMsByVmId.get(due.vmId)
    return last !== undefined && last.orderKey === getOrderKey(due) && timers.nowMs() - last.sentAtMs < settings.commandRetryMs
  }

  async function sendOne (domain: ListedDomain, known: KnownRecord, due: DueCommand): Promise<void> {
    const { command: order, vmId, address } = due
    if (!isConfirmed(domain, known)) {
      events.send({ kind: GroupEventKind.CommandWithheld, vmId, groupId: order.groupId })
      return
    }
    sentAtMsByVmId.set(vmId, { orderKey: getOrderKey(due), sentAtMs: timers.nowMs() })
    events.send({ kind: GroupEventKind.CommandSent, orderKind: order.kind, vmId, groupId: order.groupId, epoch: order.epoch })
    const result = await engineControl.sendCommand(address, order, settings.commandTimeoutMs)
    if (!result.isOk) {
      events.send({ kind: GroupEventKind.CommandFailed, vmId, groupId: order.groupId, errorKind: result.error.kind })
    }
    await probes.probeNow({ vmId, address })
  }

  async function send (domain: ListedDomain, known: KnownRecord, orders: readonly DueCommand[]): Promise<void> {
    const due = orders.filter(candidate => isSettled(known, candidate) && !isRepeatedTooSoon(candidate))
    if (due.length === 0) return
    if (!isConfirmed(domain, known)) {
      const latest = await records.refresh(domain)
      if (latest === undefined || latest.revision !== known.revision) return
    }
    await Promise.all(due.map(candidate => sendOne(domain, known, candidate)))
  }

  return { send }
}

function getOrderKey (due: DueCommand): string {
  return `${due.command.kind}/${due.command.groupId}/${due.command.epoch}`
}
