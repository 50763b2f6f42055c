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

/** Load of a group as reported by its leader. */
export interface GroupLoad {
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
}

/** Health of one group, as an owner derives it from its probes. */
export interface GroupHealth {
  readonly groupId: string
  readonly deployment: string
  readonly epoch: number
  /** True when all members serve, none is leaving and the group is not retiring, so it may receive new requests. */
  readonly isComplete: boolean
  /**
   * True when all members serve, but one is leaving or the group is retiring. Streams in flight may finish;
   * new requests go to other groups.
   */
  readonly isLeaving: boolean
  /** True when a member reported that it does not serve the group now, or cannot be reached at its address. */
  readonly isRefuted: boolean
  /** Age of the oldest member report used, counted from the send time of its probe; Infinity if a member has never reported. */
  readonly ageMs: number
  /** Members in rank order. */
  readonly memberVmIds: readonly string[]
  /** Members that are not ready, for any reason. */
  readonly missingVmIds: readonly string[]
  readonly leavingVmIds: readonly string[]
  readonly load: GroupLoad
  readonly leaderAddress: string
  readonly availabilityZone: string
  /** Time between tokens of the slowest member; 0 before the first report. */
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

/**
 * Reports which of the groups that this node probes are complete. Reports no group without a configuration,
 * because only the configuration lists the drained VMs.
 */
export interface EvidenceReporter {
  getHealth (groupId: string): GroupHealth | undefined
  /** Health of all groups that this node probes. */
  getAllHealth (): GroupHealth[]
  /** Returns the evidence for a poll about the given groups, or about all. The credits are left empty for the caller to add. */
  createPollResponse (groupIds?: readonly string[]): GroupEvidence[]
}

/** Largest value of the uint32 fields of `GroupEvidence`. */
const maxUint32 = 0xffffffff

/** Creates a reporter. It relies only on the members' own reports, never on the absence of failures. */
export function createEvidenceReporter (options: EvidenceReporterOptions): EvidenceReporter {
  const { timers, records, probes, settings } = options

  function assessDomain (domain: ListedDomain): GroupHealth[] {
    const cached = records.getCached(domain.fabricDomain)
    const config = options.getConfig()
    if (cached === undefined || config === undefined) return []
    const context = createMemberContext({
      domain,
      config,
      probes,
      nowMs: timers.nowMs(),
      maxAgeMs: settings.evidenceMaxAgeMs
    })
    return cached.record.groups.map(group => {
      return createGroupHealth(group, assessMembers(group, context), domain.availabilityZone, context.nowMs, settings.evidenceMaxAgeMs)
    })
  }

  function getAllEvidence (): GroupHealth[] {
    return options.getOwnedDomains().flatMap(assessDomain)
  }

  function getEvidence (groupId: string): GroupHealth | undefined {
    const fabricDomain = getFabricDomain(groupId)
    const domain = options.getOwnedDomains().find(candidate => candidate.fabricDomain === fabricDomain)
    if (domain === undefined) return undefined
    return assessDomain(domain).find(health => health.groupId === groupId)
  }

  function answerPoll (groupIds?: readonly string[]): GroupEvidence[] {
    const wantedIds = groupIds === undefined ? undefined : new Set(groupIds)
    return getAllEvidence()
      .filter(health => wantedIds === undefined || wantedIds.has(health.groupId))
      .map(toGroupEvidence)
  }

  return { getHealth: getEvidence, getAllHealth: getAllEvidence, createPollResponse: answerPoll }
}

function createGroupHealth (group: GroupAssignment, conditions: readonly MemberCondition[], availabilityZone: string, nowMs: number, maxAgeMs: number): GroupHealth {
  const isServing = conditions.every(condition => hasOutlivedEarlierEvidence(condition, nowMs, maxAgeMs))
  const isLeaving = group.isRetiring === true || conditions.some(condition => condition.isLeaving)
  const leaderState = conditions[0]?.observation?.state
  const oldestMs = Math.min(...conditions.map(condition => condition.observation?.sentAtMs ?? -Infinity))
  return {
    groupId: group.groupId,
    deployment: group.deployment,
    epoch: group.epoch,
    isComplete: isServing && !isLeaving,
    isLeaving: isServing && isLeaving,
    isRefuted: conditions.some(isMemberRefuting),
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
 * True when a member is ready and has reported this assignment for longer than the maximum age of evidence.
 * By then, evidence for the member's previous group has expired on every router.
 */
function hasOutlivedEarlierEvidence (condition: MemberCondition, nowMs: number, maxAgeMs: number): boolean {
  const { observation, status } = condition
  if (status !== MemberStatus.Ready || observation === undefined) return false
  return nowMs - observation.assignmentSeenAtMs > maxAgeMs
}

function isMemberRefuting (condition: MemberCondition): boolean {
  return condition.status === MemberStatus.Misassigned ||
    condition.status === MemberStatus.Loading ||
    condition.observation?.isUnreachable === true
}

function toGroupEvidence (health: GroupHealth): GroupEvidence {
  return {
    groupId: health.groupId,
    epoch: health.epoch,
    isComplete: health.isComplete,
    ageMs: Math.min(maxUint32, Math.ceil(health.ageMs)),
    activeStreamCount: health.load.activeStreamCount,
    queuedStreamCount: health.load.queuedStreamCount,
    tokenIntervalUs: Math.min(maxUint32, Math.round(health.tokenIntervalMs * 1000)),
    credits: [],
    deployment: health.deployment,
    leaderAddress: health.leaderAddress,
    availabilityZone: health.availabilityZone,
    isLeaving: health.isLeaving,
    isRefuted: health.isRefuted
  }
}
