import type { AssignedMember, GroupAssignment } from '../../state/domain-record.js'
import type { EngineState } from '../ports/engine-control.js'
import { VmLifecycle, type ListedVm } from '../ports/vm-list.js'
import type { EngineObservation } from './engine-probes.js'

export enum MemberStatus {
  /** A fresh report shows that the member serves the group under the assigned epoch. */
  Ready = 'ready',
  /** A fresh report shows the assignment, and that the weights are still loading. */
  Loading = 'loading',
  /** A fresh report shows another assignment, or none. */
  Misassigned = 'misassigned',
  /** No fresh report. */
  Missing = 'missing'
}

export interface MemberCondition {
  readonly member: AssignedMember
  readonly status: MemberStatus
  /** True when the VM must get no new requests: it reports that it is shutting down, is not listed as live, or is drained. */
  readonly isLeaving: boolean
  /** True when the platform lists the VM as live. */
  readonly isListedLive: boolean
  /**
   * True when probes have failed since the last report. Without a failure, a missing report may only be late, for
   * example after a pause of this process.
   */
  readonly isFailing: boolean
  readonly observation?: EngineObservation
}

/** Inputs for assessing members. Times are monotonic. */
export interface MemberContext {
  readonly nowMs: number
  /** Maximum age of a fresh report. */
  readonly maxAgeMs: number
  readonly drainingVmIds: ReadonlySet<string>
  getListedVm (vmId: string): ListedVm | undefined
  getObservation (vmId: string): EngineObservation | undefined
}

/** Assesses one member of a group by its last report, the platform's VM list and the drained VMs. */
export function assessMember (group: GroupAssignment, member: AssignedMember, context: MemberContext): MemberCondition {
  const listed = context.getListedVm(member.vmId)
  const observation = context.getObservation(member.vmId)
  const isListedLive = listed?.lifecycle === VmLifecycle.Live
  const isLeaving = !isListedLive ||
    context.drainingVmIds.has(member.vmId) ||
    observation?.state?.isLeaving === true
  return {
    member,
    status: findStatus(group, observation, context),
    isLeaving,
    isListedLive,
    isFailing: observation?.failingSinceMs !== undefined,
    ...(observation === undefined ? {} : { observation })
  }
}

/** Assesses all members of a group, in rank order. */
export function assessMembers (group: GroupAssignment, context: MemberContext): MemberCondition[] {
  return group.members.map(member => assessMember(group, member, context))
}

/** True when the report matches the group's id, epoch, deployment, model version and members in rank order. */
export function isAssignedTo (state: EngineState, group: GroupAssignment): boolean {
  return state.groupId === group.groupId &&
    state.epoch === group.epoch &&
    state.deployment === group.deployment &&
    state.modelVersion === group.modelVersion &&
    state.memberVmIds.length === group.members.length &&
    group.members.every((member, rank) => state.memberVmIds[rank] === member.vmId)
}

/** True when the last report is at most `maxAgeMs` old and the VM has not been found unreachable since. */
export function isFresh (observation: EngineObservation | undefined, context: Pick<MemberContext, 'nowMs' | 'maxAgeMs'>): boolean {
  if (observation?.state === undefined || observation.isUnreachable) return false
  return context.nowMs - observation.sentAtMs <= context.maxAgeMs
}

function findStatus (group: GroupAssignment, observation: EngineObservation | undefined, context: MemberContext): MemberStatus {
  if (observation?.state === undefined || !isFresh(observation, context)) return MemberStatus.Missing
  if (!isAssignedTo(observation.state, group)) return MemberStatus.Misassigned
  return observation.state.isLoaded ? MemberStatus.Ready : MemberStatus.Loading
}
