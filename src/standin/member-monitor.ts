import { request } from 'undici'

import type { EngineCommand, GroupMember } from '../coordination/ports/engine-control.js'
import type { TimerService } from '../shared/timer-service.js'

const pingIntervalMs = 200
const pingTimeoutMs = 400

export interface MemberMonitorOptions {
  readonly vmId: string
  readonly timers: TimerService
  /** The assignment whose members are watched; undefined when the engine leads no group. */
  readonly getLedAssignment: () => EngineCommand | undefined
}

/** Monitors the other members of the group that an engine leads. */
export interface MemberMonitor {
  /** Whether the last ping of any member failed. */
  isMemberMissing (): boolean
  close (): void
}

/** Creates a monitor that pings each member for its state at a fixed interval. */
export function createMemberMonitor (options: MemberMonitorOptions): MemberMonitor {
  const { vmId, timers, getLedAssignment } = options
  const missingVmIds = new Set<string>()
  const pendingVmIds = new Set<string>()
  const subscription = timers.subscribeEvery(pingIntervalMs, pingAll)

  function pingAll (): void {
    const assignment = getLedAssignment()
    const others = assignment?.members.filter(member => member.vmId !== vmId) ?? []
    for (const missing of [...missingVmIds]) {
      if (!others.some(member => member.vmId === missing)) missingVmIds.delete(missing)
    }
    for (const member of others) {
      if (assignment !== undefined && !pendingVmIds.has(member.vmId)) void ping(member, assignment)
    }
  }

  async function ping (member: GroupMember, assignment: EngineCommand): Promise<void> {
    pendingVmIds.add(member.vmId)
    const isPresent = await isMemberPresent(member, assignment)
    pendingVmIds.delete(member.vmId)
    if (getLedAssignment() !== assignment) return
    if (isPresent) missingVmIds.delete(member.vmId)
    else missingVmIds.add(member.vmId)
  }

  return {
    isMemberMissing: () => missingVmIds.size > 0,
    close: () => subscription.cancel()
  }
}

async function isMemberPresent (member: GroupMember, assignment: EngineCommand): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(pingTimeoutMs)
    const response = await request(`http://${member.address}/state`, { signal })
    const state = await response.body.json() as { vmId?: string, groupId?: string, epoch?: number, isLoaded?: boolean }
    return state.vmId === member.vmId &&
      state.groupId === assignment.groupId &&
      state.epoch === assignment.epoch &&
      state.isLoaded === true
  } catch {
    return false
  }
}
