import type { AssignedMember, DomainRecord, GroupAssignment } from '../../state/domain-record.js'
import type { Deployment, FleetConfig } from '../../state/fleet-config.js'
import type { ListedVm } from '../ports/vm-list.js'
import type { DomainQuota } from './domain-quota.js'
import { formatGroupId } from './group-id.js'
import type { GroupSettings } from './group-settings.js'
import { isLost, type GroupCondition } from './group-condition.js'
import { MemberStatus } from './member-condition.js'
import { RepairDecision, type BrokenGroup, type RepairPolicy } from './repair-policy.js'

/** Inputs for planning the next record of a domain; the plan depends on nothing else. */
export interface DomainPlanInput {
  readonly record: DomainRecord
  /** One entry for each group of the record, in the same order. */
  readonly groupConditions: readonly GroupCondition[]
  /** Healthy, listed VMs that may belong to a group, assigned or not, in order of preference. */
  readonly placeableVms: readonly ListedVm[]
  readonly quota: DomainQuota
  readonly config: FleetConfig
  readonly settings: GroupSettings
  readonly policy: RepairPolicy
  /** How long each deployment has had more groups than its quota, by deployment name. */
  readonly surplusMsByDeployment: ReadonlyMap<string, number>
  readonly wallClockMs: number
  readonly changeToken: string
}

interface PlanDraft {
  lastEpoch: number
  readonly groups: Map<string, GroupAssignment>
  freeVms: ListedVm[]
}

/** Returns the next record of a domain, or undefined when the current one needs no change. */
export function planDomain (input: DomainPlanInput): DomainRecord | undefined {
  const draft = createDraft(input)
  for (const groupCondition of input.groupConditions) {
    planRetirement(input, draft, groupCondition)
  }
  retireSurplus(input, draft)
  for (const groupCondition of input.groupConditions) {
    planRepair(input, draft, groupCondition)
  }
  updateMovedMembers(input, draft)
  retireOneOutdatedGroup(input, draft)
  formGroups(input, draft)
  const groups = [...draft.groups.values()]
  if (!isChanged(input.record.groups, groups)) return undefined
  return { ...input.record, lastEpoch: draft.lastEpoch, changeToken: input.changeToken, groups }
}

function createDraft (input: DomainPlanInput): PlanDraft {
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

/**
 * Retires a group whose deployment was removed or changed its group size. Removes a retiring group when it has
 * been idle after `leavingHoldMs`, when a member is not ready, or when the drain timeout has passed.
 */
function planRetirement (input: DomainPlanInput, draft: PlanDraft, groupCondition: GroupCondition): void {
  const { group } = groupCondition
  const deployment = findDeployment(input.config, group.deployment)
  if (deployment === undefined || deployment.membersPerGroup !== group.members.length) {
    retire(draft, group.groupId)
  }
  const isServing = groupCondition.memberConditions.every(condition => condition.status === MemberStatus.Ready)
  const isDrained = groupCondition.isIdle && groupCondition.retiringForMs > input.settings.leavingHoldMs
  const isOverdue = groupCondition.retiringForMs >= input.settings.drainTimeoutMs
  if (group.isRetiring === true && (!isServing || isDrained || isOverdue)) removeGroup(input, draft, group)
}

/** Retires surplus groups after `surplusGraceMs`: those with the fewest ready members first, then the newest. */
function retireSurplus (input: DomainPlanInput, draft: PlanDraft): void {
  for (const deployment of input.config.deployments) {
    if ((input.surplusMsByDeployment.get(deployment.name) ?? 0) < input.settings.surplusGraceMs) continue
    const surplusCount = countGroups(draft, deployment.name) - (input.quota.get(deployment.name) ?? 0)
    const candidates = input.groupConditions
      .filter(({ group }) => group.deployment === deployment.name && draft.groups.get(group.groupId)?.isRetiring !== true)
      .sort((left, right) => countReady(left) - countReady(right) || right.group.epoch - left.group.epoch)
    for (const groupCondition of candidates.slice(0, Math.max(0, surplusCount))) {
      retire(draft, groupCondition.group.groupId)
    }
  }
}

/** Applies the policy to a group with lost members, or with leaving members that may be replaced now. */
function planRepair (input: DomainPlanInput, draft: PlanDraft, groupCondition: GroupCondition): void {
  const group = draft.groups.get(groupCondition.group.groupId)
  const deployment = findDeployment(input.config, groupCondition.group.deployment)
  if (group === undefined || group.isRetiring === true || deployment === undefined) return
  const isDrained = groupCondition.isIdle && groupCondition.leavingForMs > input.settings.leavingHoldMs
  const mayReplaceLeaving = isDrained || groupCondition.leavingForMs >= input.settings.drainTimeoutMs || groupCondition.memberConditions.some(isLost)
  const toReplace = groupCondition.memberConditions.filter(condition => isLost(condition) || (condition.isLeaving && mayReplaceLeaving))
  if (toReplace.length === 0) return
  const brokenGroup = describeBrokenGroup(input, draft, groupCondition, deployment, toReplace.length)
  const decision = input.policy.decide({
    ...brokenGroup,
    isPermanentlyGone: toReplace.some(condition => condition.isLeaving),
    isConfirmedDown: toReplace.every(condition => condition.isLeaving || condition.observation?.isUnreachable === true)
  })
  if (decision === RepairDecision.Dissolve) removeGroup(input, draft, group)
  if (decision !== RepairDecision.Replace) return
  const replacedVmIds = new Set(toReplace.map(condition => condition.member.vmId))
  const members = group.members.map(member => replacedVmIds.has(member.vmId) ? removeFirstFreeMember(draft) : member)
  if (members.every(member => member !== undefined)) assignWithNewEpoch(input, draft, { ...group, members })
}

function describeBrokenGroup (input: DomainPlanInput, draft: PlanDraft, groupCondition: GroupCondition, deployment: Deployment, toReplaceCount: number): Omit<BrokenGroup, 'isPermanentlyGone' | 'isConfirmedDown'> {
  const partner = input.config.partners.find(candidate => candidate.name === deployment.partner)
  const memberCount = groupCondition.group.members.length
  return {
    toReplaceCount,
    memberCount,
    brokenForMs: Math.max(groupCondition.lostForMs, groupCondition.leavingForMs),
    acceleratorsPerVm: input.placeableVms[0]?.acceleratorCount ?? 1,
    freeVmCount: draft.freeVms.length,
    repairableGroupCount: countRepairable(input, draft, groupCondition, memberCount - toReplaceCount),
    weights: partner ?? { groupDowntimeWeight: 1, strandedAcceleratorWeight: 1 }
  }
}

/**
 * Counts the other broken groups that this group's healthy members and the free VMs could repair. Counts only
 * groups that lost fewer members, or as many and have the lower epoch, so two groups cannot both be dissolved to
 * repair each other.
 */
function countRepairable (input: DomainPlanInput, draft: PlanDraft, groupCondition: GroupCondition, survivorCount: number): number {
  const ownLostCount = groupCondition.memberConditions.filter(isLost).length
  return input.groupConditions.filter(other => {
    const lostCount = other.memberConditions.filter(isLost).length
    const isWorse = ownLostCount > lostCount ||
      (ownLostCount === lostCount && groupCondition.group.epoch > other.group.epoch)
    return draft.groups.has(other.group.groupId) && lostCount > 0 && isWorse &&
      lostCount <= survivorCount + draft.freeVms.length
  }).length
}

/** Assigns a new epoch to groups with members whose listed address differs from the record, so their engines join again. */
function updateMovedMembers (input: DomainPlanInput, draft: PlanDraft): void {
  const vmById = new Map(input.placeableVms.map(vm => [vm.vmId, vm]))
  for (const group of draft.groups.values()) {
    const members = group.members.map(member => {
      const vm = vmById.get(member.vmId)
      return vm === undefined || vm.address === member.address ? member : toMember(vm)
    })
    const hasMoved = members.some((member, rank) => member !== group.members[rank])
    if (hasMoved && group.isRetiring !== true) assignWithNewEpoch(input, draft, { ...group, members })
  }
}

/**
 * Retires one group with an outdated model version, if all members of all groups are ready. Its VMs then form a
 * group of the new version.
 */
function retireOneOutdatedGroup (input: DomainPlanInput, draft: PlanDraft): void {
  const isDomainHealthy = input.groupConditions.every(groupCondition => countReady(groupCondition) === groupCondition.group.members.length)
  if (!isDomainHealthy) return
  for (const group of draft.groups.values()) {
    const deployment = findDeployment(input.config, group.deployment)
    if (deployment === undefined || deployment.modelVersion === group.modelVersion) continue
    retire(draft, group.groupId)
    return
  }
}

function formGroups (input: DomainPlanInput, draft: PlanDraft): void {
  for (const deployment of input.config.deployments) {
    const desiredCount = input.quota.get(deployment.name) ?? 0
    for (let count = countGroups(draft, deployment.name); count < desiredCount; count += 1) {
      if (draft.freeVms.length < deployment.membersPerGroup) break
      const vms = draft.freeVms.slice(0, deployment.membersPerGroup)
      draft.freeVms = draft.freeVms.slice(deployment.membersPerGroup)
      const groupId = formatGroupId(input.record.fabricDomain, deployment.name, draft.lastEpoch + 1)
      assignWithNewEpoch(input, draft, {
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

/** Stores a group in the draft with the next epoch and the current time. */
function assignWithNewEpoch (input: DomainPlanInput, draft: PlanDraft, group: GroupAssignment): void {
  draft.lastEpoch += 1
  draft.groups.set(group.groupId, { ...group, epoch: draft.lastEpoch, formedAtMs: input.wallClockMs })
}

function retire (draft: PlanDraft, groupId: string): void {
  const group = draft.groups.get(groupId)
  if (group === undefined || group.isRetiring === true) return
  draft.groups.set(groupId, { ...group, isRetiring: true })
}

/** Removes a group. Its healthy members become free. */
function removeGroup (input: DomainPlanInput, draft: PlanDraft, group: GroupAssignment): void {
  draft.groups.delete(group.groupId)
  const memberIds = new Set(group.members.map(member => member.vmId))
  draft.freeVms.push(...input.placeableVms.filter(vm => memberIds.has(vm.vmId)))
}

function removeFirstFreeMember (draft: PlanDraft): AssignedMember | undefined {
  const vm = draft.freeVms.shift()
  return vm === undefined ? undefined : toMember(vm)
}

function toMember (vm: ListedVm): AssignedMember {
  return { vmId: vm.vmId, address: vm.address }
}

function countGroups (draft: PlanDraft, deployment: string): number {
  return [...draft.groups.values()].filter(group => group.deployment === deployment && group.isRetiring !== true).length
}

function countReady (groupCondition: GroupCondition): number {
  return groupCondition.memberConditions.filter(condition => condition.status === MemberStatus.Ready).length
}

function findDeployment (config: FleetConfig, name: string): Deployment | undefined {
  return config.deployments.find(deployment => deployment.name === name)
}
