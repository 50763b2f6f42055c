import type { Channel } from '../../shared/channel.js'
import type { TimerService } from '../../shared/timer-service.js'
import type { DomainRecord, GroupAssignment } from '../../state/domain-record.js'
import type { Deployment, FleetConfig } from '../../state/fleet-config.js'
import { EngineCommandKind, type EngineControl, type EngineCommand } from '../ports/engine-control.js'
import type { ListedDomain } from './domain-ownership.js'
import type { DomainRecords, CachedRecord } from './domain-records.js'
import type { EngineProbes } from './engine-probes.js'
import { GroupEventKind, type GroupEvent } from './group-event.js'
import type { GroupSettings } from './group-settings.js'
import type { GroupCondition } from './group-condition.js'
import { isFresh, MemberStatus, type MemberCondition } from './member-condition.js'

/** A command that is due because an engine's report differs from the domain record. */
export interface DueCommand {
  readonly vmId: string
  readonly address: string
  readonly command: EngineCommand
  readonly doesEngineCheckEpoch: boolean
}

/**
 * Returns the join commands that make the engines of a domain match their assignments. Skips retiring groups,
 * groups of unknown deployments and groups with a member that has no fresh report. Starts no further group while
 * `maxLoadingGroupCount` groups load weights.
 */
export function findDueJoinCommands (
  record: DomainRecord,
  groupConditions: readonly GroupCondition[],
  config: FleetConfig,
  maxLoadingGroupCount: number
): DueCommand[] {
  const commands: DueCommand[] = []
  let loadingCount = groupConditions.filter(isLoading).length
  for (const groupCondition of groupConditions) {
    const deployment = config.deployments.find(candidate => candidate.name === groupCondition.group.deployment)
    const due = groupCondition.memberConditions.filter(isMisassigned)
    if (deployment === undefined || due.length === 0 || groupCondition.group.isRetiring === true) continue
    if (!areAllMembersReporting(groupCondition)) continue
    if (!isLoading(groupCondition)) {
      if (loadingCount >= maxLoadingGroupCount) continue
      loadingCount += 1
    }
    commands.push(...due.map(({ member }) => createJoinCommand(member.vmId, member.address, groupCondition.group, deployment)))
  }
  return commands
}

/** Returns the release commands for engines that report a group but belong to none in the record. */
export function findDueReleaseCommands (
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
      // The highest epoch of the domain, so it is not older than that of any earlier join.
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

function createJoinCommand (vmId: string, address: string, group: GroupAssignment, deployment: Deployment): DueCommand {
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

function isMisassigned (condition: MemberCondition): boolean {
  return condition.status === MemberStatus.Misassigned
}

function isLoading (groupCondition: GroupCondition): boolean {
  return groupCondition.memberConditions.some(condition => condition.status === MemberStatus.Loading)
}

/** True when every member has a fresh report. Otherwise the group could not become complete. */
function areAllMembersReporting (groupCondition: GroupCondition): boolean {
  return groupCondition.memberConditions.every(condition => condition.status !== MemberStatus.Missing)
}

export interface CommandSender {
  /**
   * Sends the commands if the record was read or written at most `commandLifetimeMs` ago; otherwise reads it again
   * first. Sends nothing if the record has changed.
   */
  send (domain: ListedDomain, cached: CachedRecord, commands: readonly DueCommand[]): Promise<void>
}

export interface CommandSenderOptions {
  readonly engineControl: EngineControl
  readonly timers: TimerService
  readonly records: DomainRecords
  readonly probes: EngineProbes
  readonly settings: GroupSettings
  readonly events: Channel<GroupEvent>
}

/** Creates a sender that checks the age of the last read of the record immediately before each command. */
export function createCommandSender (options: CommandSenderOptions): CommandSender {
  const { engineControl, timers, records, probes, settings, events } = options
  const lastCommandByVmId = new Map<string, { readonly commandKey: string, readonly sentAtMs: number }>()

  /** True when the record is still the newest known one and was read or written at most `commandLifetimeMs` ago. */
  function isConfirmed (domain: ListedDomain, cached: CachedRecord): boolean {
    const latest = records.getCached(domain.fabricDomain)
    if (latest === undefined || latest.revision !== cached.revision) return false
    return timers.nowMs() - latest.confirmedAtMs <= settings.commandLifetimeMs
  }

  /** Engines that ignore epochs get a command only after every command based on an earlier record has expired. */
  function haveEarlierCommandsExpired (cached: CachedRecord, due: DueCommand): boolean {
    if (due.doesEngineCheckEpoch) return true
    return timers.nowMs() - cached.firstSeenAtMs >= settings.commandLifetimeMs + settings.maxClockDriftMs
  }

  function isRepeatedTooSoon (due: DueCommand): boolean {
    const last = lastCommandByVmId.get(due.vmId)
    return last !== undefined && last.commandKey === getCommandKey(due) && timers.nowMs() - last.sentAtMs < settings.commandRetryMs
  }

  async function sendOne (domain: ListedDomain, cached: CachedRecord, due: DueCommand): Promise<void> {
    const { command, vmId, address } = due
    if (!isConfirmed(domain, cached)) {
      events.send({ kind: GroupEventKind.CommandWithheld, vmId, groupId: command.groupId })
      return
    }
    lastCommandByVmId.set(vmId, { commandKey: getCommandKey(due), sentAtMs: timers.nowMs() })
    events.send({ kind: GroupEventKind.CommandSent, orderKind: command.kind, vmId, groupId: command.groupId, epoch: command.epoch })
    const result = await engineControl.sendCommand(address, command, settings.commandTimeoutMs)
    if (!result.isOk) {
      events.send({ kind: GroupEventKind.CommandFailed, vmId, groupId: command.groupId, errorKind: result.error.kind })
    }
    await probes.probeNow({ vmId, address })
  }

  async function send (domain: ListedDomain, cached: CachedRecord, commands: readonly DueCommand[]): Promise<void> {
    const due = commands.filter(candidate => haveEarlierCommandsExpired(cached, candidate) && !isRepeatedTooSoon(candidate))
    if (due.length === 0) return
    if (!isConfirmed(domain, cached)) {
      const latest = await records.refresh(domain)
      if (latest === undefined || latest.revision !== cached.revision) return
    }
    await Promise.all(due.map(candidate => sendOne(domain, cached, candidate)))
  }

  return { send }
}

function getCommandKey (due: DueCommand): string {
  return `${due.command.kind}/${due.command.groupId}/${due.command.epoch}`
}
