import type { TimerService } from '../../shared/timer-service.js'
import type { GroupEvidence } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import type { GroupAssignment } from '../../state/domain-record.js'
import type { FleetConfig } from '../../state/fleet-config.js'
import type { ListedDomain } from './domain-ownership.js'
import type { DomainRecords } from './domain-records.js'
import type { EngineProbes } from './engine-probes.js'
import { getFabricDomain } from './group-id.js'
import type { GroupSettings } from './group-settings.js'
import { assessMembers, MemberStatus, type MemberCondition } from './member-condition.js'
import { createMemberContext } from './member-context.js'

/** Work of a group as its leader reports it. */
export interface GroupLoad {
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
}

/** What an owner can say about one group now. */
export interface GroupHealth {
  readonly groupId: string
  readonly deployment: string
  readonly epoch: number
  /** True when the group may take new work. */
  readonly isComplete: boolean
  /** True when all members serve but one is leaving, or the group retires: streams in flight may end, new work goes elsewhere. */
  readonly isLeaving: boolean
  /** True when a member itself said that it does not serve the group now. */
  readonly isRefuted: boolean
  /** Age of the oldest member report that the statement rests on; counts from the sending of the probe. */
  readonly ageMs: number
  /** Members in rank order. */
  readonly memberVmIds: readonly string[]
  readonly missingVmIds: readonly string[]
  readonly leavingVmIds: readonly string[]
  readonly load: GroupLoad
  readonly leaderAddress: string
  readonly availabilityZone: string
  /** Time between tokens of the slowest member. */
  readonly tokenIntervalMs: number
}

export interface EvidenceReporterOptions {
  readonly timers: TimerService
  readonly records: DomainRecords
  readonly probes: EngineProbes
  readonly settings: GroupSettings
  /** Domains whose groups this node probes. */
  getOwnedDomains (): readonly ListedDomain[]
  getConfig (): FleetConfig | undefined
}

/** States which of the groups that this node probes are complete. Says nothing without a configuration, which names the drained VMs. */
export interface EvidenceReporter {
  getEvidence (groupId: string): GroupHealth | undefined
  /** Statements about all groups that this node probes. */
  getAllEvidence (): GroupHealth[]
  /** Answers a poll, for the named groups or for all; credits are left empty. */
  answerPoll (groupIds?: readonly string[]): GroupEvidence[]
}

const maxUint32 = 0xffffffff

/** Creates a book that rests on the members' own reports and never on the absence of bad news. */
export function createEvidenceReporter (options: EvidenceReporterOptions): EvidenceReporter {
  const { timers, records, probes, settings } = options

  function stateDomain (domain: ListedDomain): GroupHealth[] {
    const known = records.getKnown(domain.fabricDomain)
    const config = options.getConfig()
    if (known === undefined || config === undefined) return []
    const context = createMemberContext({
      domain,
      config,
      probes,
      nowMs: timers.nowMs(),
      maxAgeMs: settings.evidenceMaxAgeMs
    })
    return known.record.groups.map(group => {
      return createStatement(group, assessMembers(group, context), domain.availabilityZone, context.nowMs, settings.evidenceMaxAgeMs)
    })
  }

  function getAllEvidence (): GroupHealth[] {
    return options.getOwnedDomains().flatMap(stateDomain)
  }

  function getEvidence (groupId: string): GroupHealth | undefined {
    const fabricDomain = getFabricDomain(groupId)
    const domain = options.getOwnedDomains().find(candidate => candidate.fabricDomain === fabricDomain)
    if (domain === undefined) return undefined
    return stateDomain(domain).find(statement => statement.groupId === groupId)
  }

  function answerPoll (groupIds?: readonly string[]): GroupEvidence[] {
    const wantedIds = groupIds === undefined ? undefined : new Set(groupIds)
    return getAllEvidence()
      .filter(statement => wantedIds === undefined || wantedIds.has(statement.groupId))
      .map(toGroupEvidence)
  }

  return { getEvidence, getAllEvidence, answerPoll }
}

function createStatement (group: GroupAssignment, conditions: readonly MemberCondition[], availabilityZone: string, nowMs: number, maxAgeMs: number): GroupHealth {
  const isServing = conditions.every(condition => isSettledMember(condition, nowMs, maxAgeMs))
  const isLeaving = group.isRetiring === true || conditions.some(condition => condition.isLeaving)
  const leaderState = conditions[0]?.observation?.state
  const oldestMs = Math.min(...conditions.map(condition => condition.observation?.sentAtMs ?? -Infinity))
  return {
    groupId: group.groupId,
    deployment: group.deployment,
    epoch: group.epoch,
    isComplete: isServing && !isLeaving,
    isLeaving: isServing && isLeaving,
    isRefuted: conditions.some(isRefuting),
    ageMs: nowMs - oldestMs,
    memberVmIds: group.members.map(member => member.vmId),
    missingVmIds: conditions.filter(condition => condition.status !== MemberStatus.Ready).map(condition => condition.member.vmId),
    leavingVmIds: conditions.filter(condition => condition.isLeaving).map(condition => condition.member.vmId),
    load: {
      activeStreamCount: leaderState?.activeStreamCount ?? 0,
      queuedStreamCount: leaderState?.queuedStreamCount ?? 0
    },
    leaderAddress: group.members[0]?.address ?? '',
    availabilityZone,
    tokenIntervalMs: Math.max(0, ...conditions.map(condition => condition.observation?.state?.tokenIntervalMs ?? 0))
  }
}

/**
 * True when a member serves the group and has done so for longer than evidence lives. Evidence for
 * the member's previous group has then run out on every router.
 */
function isSettledMember (condition: MemberCondition, nowMs: number, maxAgeMs: number): boolean {
  const { observation, status } = condition
  if (status !== MemberStatus.Ready || observation === undefined) return false
  return nowMs - observation.assignmentSeenAtMs > maxAgeMs
}

function isRefuting (condition: MemberCondition): boolean {
  return condition.status === MemberStatus.Misassigned ||
    condition.status === MemberStatus.Loading ||
    condition.observation?.isUnreachable === true
}

function toGroupEvidence (statement: GroupHealth): GroupEvidence {
  return {
    groupId: statement.groupId,
    epoch: statement.epoch,
    isComplete: statement.isComplete,
    ageMs: Math.min(maxUint32, Math.ceil(statement.ageMs)),
    activeStreamCount: statement.load.activeStreamCount,
    queuedStreamCount: statement.load.queuedStreamCount,
    tokenIntervalUs: Math.min(maxUint32, Math.round(statement.tokenIntervalMs * 1000)),
    credits: [],
    deployment: statement.deployment,
    leaderAddress: statement.leaderAddress,
    availabilityZone: statement.availabilityZone,
    isLeaving: statement.isLeaving,
    isRefuted: statement.isRefuted
  }
}
