import type { AssignedMember, DomainRecord, GroupAssignment } from '../../state/domain-record.js'
import type { Deployment, FleetConfig } from '../../state/fleet-config.js'
import type { ListedVm } from '../ports/vm-list.js'
import type { DomainQuota } from './domain-quota.js'
import { formatGroupId } from './group-id.js'
import type { GroupSettings } from './group-settings.js'
import { isLost, type GroupCondition } from './group-condition.js'
import { MemberStatus } from './member-condition.js'
import { RepairDecision, type BrokenGroup, type RepairPolicy } from './repair-policy.js'

/** Everything that the next record of a domain follows from. */
export interface PlannerInput {
  readonly record: DomainRecord
  /** One for each group of the record, in its order. */
  readonly situations: readonly GroupCondition[]
  /** Healthy, listed VMs that may be placed, assigned or not, the preferred first. */
  readonly placeableVms: readonly ListedVm[]
  readonly quota: DomainQuota
  readonly config: FleetConfig
  readonly settings: GroupSettings
  readonly policy: RepairPolicy
  /** How long a deployment has had more groups than its quota. */
  readonly surplusForMs: ReadonlyMap<string, number>
  readonly wallClockMs: number
  readonly changeToken: string
}

interface Draft {
  lastEpoch: number
  readonly groups: Map<string, GroupAssignment>
  freeVms: ListedVm[]
}

/** Returns the next record of a domain, or undefined when the present one is to stay. */
export function planDomain (input: PlannerInput): DomainRecord | undefined {
  const draft = createDraft(input)
  for (const situation of input.situations) {
    planRetirement(input, draft, situation)
  }
  retireSurplus(input, draft)
  for (const situation of input.situations) {
    planRepair(input, draft, situation)
  }
  followAddresses(input, draft)
  retireOneOldVersion(input, draft)
  formGroups(input, draft)
  const groups = [...draft.groups.values()]
  if (!isChanged(input.record.groups, groups)) return undefined
  return { ...input.record, lastEpoch: draft.lastEpoch, changeToken: input.changeToken, groups }
}

function createDraft (input: PlannerInput): Draft {
  const assignedVmIds = new Set(input.record.groups.flatMap(group => group.members.map(member => member.vmId)))
  return {
    lastEpoch: input.record.lastEpoch,
    groups: new Map(input.record.groups.map(group => [group.groupId, group])),
    freeVms: input.placeableVms.filter(vm => !assignedVmIds.has(vm.vmId))
  }
}

function isChanged (before: readonly GroupAssignment[], after: readonly GroupAssignment[]): boolean {
  if (before.length !== after.length) return true
  return after.some((group, index) => group !== before[index])
}

/** Retires a group whose deployment is gone or has another size, and removes a retired one that has ended its streams. */
function planRetirement (input: PlannerInput, draft: Draft, situation: GroupCondition): void {
  const { group } = situation
  const deployment = findDeployment(input.config, group.deployment)
  if (deployment === undefined || deployment.membersPerGroup !== group.members.length) {
    retire(draft, group.groupId)
  }
  const isServing = situation.conditions.every(condition => condition.status === MemberStatus.Ready)
  const isQuiet = situation.isIdle && situation.retiringForMs > input.settings.leavingHoldMs
  const isOverdue = situation.retiringForMs >= input.settings.drainTimeoutMs
  if (group.isRetiring === true && (!isServing || isQuiet || isOverdue)) remove(input, draft, group)
}

function retireSurplus (input: PlannerInput, draft: Draft): void {
  for (const deployment of input.config.deployments) {
    if ((input.surplusForMs.get(deployment.name) ?? 0) < input.settings.surplusGraceMs) continue
    const surplusCount = countGroups(draft, deployment.name) - (input.quota.get(deployment.name) ?? 0)
    const candidates = input.situations
      .filter(({ group }) => group.deployment === deployment.name && draft.groups.get(group.groupId)?.isRetiring !== true)
      .sort((left, right) => countReady(left) - countReady(right) || right.group.epoch - left.group.epoch)
    for (const situation of candidates.slice(0, Math.max(0, surplusCount))) {
      retire(draft, situation.group.groupId)
    }
  }
}

/** Lets the policy decide on a group that lacks members, or whose leaving members have ended their streams. */
function planRepair (input: PlannerInput, draft: Draft, situation: GroupCondition): void {
  const group = draft.groups.get(situation.group.groupId)
  const deployment = findDeployment(input.config, situation.group.deployment)
  if (group === undefined || group.isRetiring === true || deployment === undefined) return
  const isDrained = situation.isIdle && situation.leavingForMs > input.settings.leavingHoldMs
  const mayReplaceLeaving = isDrained || situation.leavingForMs >= input.settings.drainTimeoutMs || situation.conditions.some(isLost)
  const lost = situation.conditions.filter(condition => isLost(condition) || (condition.isLeaving && mayReplaceLeaving))
  if (lost.length === 0) return
  const broken = describeBrokenGroup(input, draft, situation, deployment, lost.length)
  const decision = input.policy.decide({
    ...broken,
    isGoneForGood: lost.some(condition => condition.isLeaving),
    isProvenDown: lost.every(condition => condition.isLeaving || condition.observation?.isUnreachable === true)
  })
  if (decision === RepairDecision.Dissolve) remove(input, draft, group)
  if (decision !== RepairDecision.Replace) return
  const lostVmIds = new Set(lost.map(condition => condition.member.vmId))
  const members = group.members.map(member => lostVmIds.has(member.vmId) ? takeFreeMember(draft) : member)
  if (members.every(member => member !== undefined)) reform(input, draft, { ...group, members })
}

function describeBrokenGroup (input: PlannerInput, draft: Draft, situation: GroupCondition, deployment: Deployment, missingCount: number): Omit<BrokenGroup, 'isGoneForGood' | 'isProvenDown'> {
  const partner = input.config.partners.find(candidate => candidate.name === deployment.partner)
  const memberCount = situation.group.members.length
  return {
    missingCount,
    memberCount,
    missingForMs: Math.max(situation.missingForMs, situation.leavingForMs),
    acceleratorsPerVm: input.placeableVms[0]?.acceleratorCount ?? 1,
    spareCount: draft.freeVms.length,
    mendableGroupCount: countMendable(input, draft, situation, memberCount - missingCount),
    weights: partner ?? { groupDowntimeWeight: 1, strandedAcceleratorWeight: 1 }
  }
}

/** Counts the other groups that lack no more members than the group and could take its healthy ones. */
function countMendable (input: PlannerInput, draft: Draft, situation: GroupCondition, survivorCount: number): number {
  const ownLostCount = situation.conditions.filter(isLost).length
  return input.situations.filter(other => {
    const lostCount = other.conditions.filter(isLost).length
    const isWorse = ownLostCount > lostCount ||
      (ownLostCount === lostCount && situation.group.epoch > other.group.epoch)
    return draft.groups.has(other.group.groupId) && lostCount > 0 && isWorse &&
      lostCount <= survivorCount + draft.freeVms.length
  }).length
}

/** Re-forms the groups of VMs that report at another address than the record holds. */
function followAddresses (input: PlannerInput, draft: Draft): void {
  const vmById = new Map(input.placeableVms.map(vm => [vm.vmId, vm]))
  for (const group of draft.groups.values()) {
    const members = group.members.map(member => {
      const vm = vmById.get(member.vmId)
      return vm === undefined || vm.address === member.address ? member : toMember(vm)
    })
    const hasMoved = members.some((member, rank) => member !== group.members[rank])
    if (hasMoved && group.isRetiring !== true) reform(input, draft, { ...group, members })
  }
}

/** Retires one group at a time whose model version is old; its VMs then form a group of the new version. */
function retireOneOldVersion (input: PlannerInput, draft: Draft): void {
  const isDomainWhole = input.situations.every(situation => countReady(situation) === situation.group.members.length)
  if (!isDomainWhole) return
  for (const group of draft.groups.values()) {
    const deployment = findDeployment(input.config, group.deployment)
    if (deployment === undefined || deployment.modelVersion === group.modelVersion) continue
    retire(draft, group.groupId)
    return
  }
}

function formGroups (input: PlannerInput, draft: Draft): void {
  for (const deployment of input.config.deployments) {
    const wantedCount = input.quota.get(deployment.name) ?? 0
    for (let count = countGroups(draft, deployment.name); count < wantedCount; count += 1) {
      if (draft.freeVms.length < deployment.membersPerGroup) break
      const vms = draft.freeVms.slice(0, deployment.membersPerGroup)
      draft.freeVms = draft.freeVms.slice(deployment.membersPerGroup)
      const groupId = formatGroupId(input.record.fabricDomain, deployment.name, draft.lastEpoch + 1)
      reform(input, draft, {
        groupId,
        deployment: deployment.name,
        modelVersion: deployment.modelVersion,
        epoch: 0,
        members: vms.map(toMember),
        formedAtMs: 0
      })
    }
  }
}

function reform (input: PlannerInput, draft: Draft, group: GroupAssignment): void {
  draft.lastEpoch += 1
  draft.groups.set(group.groupId, { ...group, epoch: draft.lastEpoch, formedAtMs: input.wallClockMs })
}

function retire (draft: Draft, groupId: string): void {
  const group = draft.groups.get(groupId)
  if (group === undefined || group.isRetiring === true) return
  draft.groups.set(groupId, { ...group, isRetiring: true })
}

function remove (input: PlannerInput, draft: Draft, group: GroupAssignment): void {
  draft.groups.delete(group.groupId)
  const memberIds = new Set(group.members.map(member => member.vmId))
  draft.freeVms.push(...input.placeableVms.filter(vm => memberIds.has(vm.vmId)))
}

function takeFreeMember (draft: Draft): AssignedMember | undefined {
  const vm = draft.freeVms.shift()
  return vm === undefined ? undefined : toMember(vm)
}

function toMember (vm: ListedVm): AssignedMember {
  return { vmId: vm.vmId, address: vm.address }
}

function countGroups (draft: Draft, deployment: string): number {
  return [...draft.groups.values()].filter(group => group.deployment === deployment && group.isRetiring !== true).length
}

function countReady (situation: GroupCondition): number {
  return situation.conditions.filter(condition => condition.status === MemberStatus.Ready).length
}

function findDeployment (config: FleetConfig, name: string): Deployment | undefined {
  return config.deployments.find(deployment => deployment.name === name)
}
