import { domainKeyPrefix, type DomainRecord } from '../state/domain-record.js'
import { fuzzGroupSettings, isMeantToServe, type GroupsWorld, type WorldNode } from './groups-world.js'

/** A group that a router is ready to hand a request to. */
interface OpenGroup {
  readonly groupId: string
  readonly epoch: number
}

/** Who says that a VM leaves. */
export enum LeavingCause {
  Engine = 'engine',
  PlatformList = 'platformList',
  Operator = 'operator'
}

/** Greatest time between a member's loss and the last hand-over to its group. */
export const handOverBoundMs = fuzzGroupSettings.evidenceMaxAgeMs
/** Greatest time between the moment at which all nodes know that a VM leaves and the last hand-over to its group. */
export const leavingBoundMs = fuzzGroupSettings.evidenceMaxAgeMs

/** Judges the stored states and the hand-overs, from what the users were promised. */
export interface GroupsOracle {
  /** Checks the stored state and every hand-over that a router would make now. */
  check (world: GroupsWorld): void
  /** Checks one hand-over that a router makes now. */
  checkHandOver (world: GroupsWorld, group: OpenGroup): void
  /** Notes when every node knows that the VM is to get no new work. */
  noteLeaving (vmId: string, cause: LeavingCause, knownAtMs: number): void
  /** Takes a cause back. */
  clearLeaving (vmId: string, cause: LeavingCause): void
  /** Checks that the wanted groups serve; faults have ended a bounded time ago. */
  checkRecovered (world: GroupsWorld): void
  readonly counts: { handOverCount: number, checkCount: number }
}

/** Creates an oracle that has seen nothing yet. */
export function createGroupsOracle (): GroupsOracle {
  const membersByAssignment = new Map<string, string>()
  const lastEpochByDomain = new Map<string, number>()
  const leavingKnownAtMs = new Map<string, number>()
  const counts = { handOverCount: 0, checkCount: 0 }

  function checkStoredState (world: GroupsWorld): void {
    const groupByVmId = new Map<string, string>()
    for (const entry of world.store.peekAll(domainKeyPrefix)) {
      const record = JSON.parse(entry.value) as DomainRecord
      checkEpochs(record)
      for (const group of record.groups) {
        for (const { vmId } of group.members) {
          const other = groupByVmId.get(vmId)
          if (other !== undefined) throw new Error(`VM "${vmId}" is stored in group "${other}" and in group "${group.groupId}"`)
          groupByVmId.set(vmId, group.groupId)
        }
      }
    }
  }

  function checkEpochs (record: DomainRecord): void {
    if (record.lastEpoch < (lastEpochByDomain.get(record.fabricDomain) ?? 0)) {
      throw new Error(`domain "${record.fabricDomain}" went back to epoch ${record.lastEpoch}`)
    }
    lastEpochByDomain.set(record.fabricDomain, record.lastEpoch)
    for (const group of record.groups) {
      const key = `${group.groupId}@${group.epoch}`
      const members = group.members.map(member => member.vmId).join(' ')
      const known = membersByAssignment.get(key) ?? members
      if (known !== members) throw new Error(`group "${key}" has members ${members} after ${known}`)
      membersByAssignment.set(key, members)
    }
  }

  function getMembers (group: OpenGroup): string[] {
    const members = membersByAssignment.get(`${group.groupId}@${group.epoch}`)
    if (members === undefined) throw new Error(`group "${group.groupId}" was never stored with epoch ${group.epoch}`)
    return members.split(' ')
  }

  function checkHandOver (world: GroupsWorld, group: OpenGroup): void {
    const nowMs = world.timers.nowMs()
    counts.handOverCount += 1
    for (const vmId of getMembers(group)) {
      const servedUntilMs = world.engines.get(vmId)?.getServedUntilMs(group.groupId, group.epoch) ?? -Infinity
      if (nowMs - servedUntilMs > handOverBoundMs) {
        throw new Error(`group "${group.groupId}" took a request ${nowMs - servedUntilMs} ms after member "${vmId}" served its epoch ${group.epoch}`)
      }
      const knownAtMs = Math.min(...Object.values(LeavingCause).map(cause => leavingKnownAtMs.get(`${vmId}/${cause}`) ?? Infinity))
      if (nowMs - knownAtMs > leavingBoundMs) {
        throw new Error(`group "${group.groupId}" took a request ${nowMs - knownAtMs} ms after member "${vmId}" was known to leave`)
      }
    }
  }

  function checkOverlap (open: readonly OpenGroup[]): void {
    const groupByVmId = new Map<string, string>()
    for (const group of open) {
      const key = `${group.groupId}@${group.epoch}`
      for (const vmId of getMembers(group)) {
        const other = groupByVmId.get(vmId) ?? key
        if (other !== key) throw new Error(`VM "${vmId}" may get work for ${other} and for ${key}`)
        groupByVmId.set(vmId, key)
      }
    }
  }

  function check (world: GroupsWorld): void {
    counts.checkCount += 1
    checkStoredState(world)
    const open = findRunningNodes(world).flatMap(node => findOpenGroups(world, node))
    open.forEach(group => checkHandOver(world, group))
    checkOverlap(open)
  }

  function checkRecovered (world: GroupsWorld): void {
    for (const deployment of world.config.deployments) {
      const usableCount = [...world.vms.values()].filter(vm => {
        return deployment.availabilityZones.includes(vm.availabilityZone) && isMeantToServe(world, vm.vmId)
      }).length
      const wantedCount = Math.min(deployment.groupCount, Math.floor(usableCount / deployment.membersPerGroup))
      for (const node of findRunningNodes(world)) {
        const openCount = node.cache.getFreshGroups(deployment.name, world.timers.nowMs()).length
        if (openCount !== wantedCount) {
          throw new Error(`${node.entryNode.nodeId} has ${openCount} of ${wantedCount} groups of deployment "${deployment.name}" after recovery`)
        }
      }
    }
  }

  return {
    counts,
    check,
    checkHandOver,
    checkRecovered,
    noteLeaving (vmId, cause, knownAtMs) {
      const key = `${vmId}/${cause}`
      if (!leavingKnownAtMs.has(key)) leavingKnownAtMs.set(key, knownAtMs)
    },
    clearLeaving (vmId, cause) {
      leavingKnownAtMs.delete(`${vmId}/${cause}`)
    }
  }
}

function findRunningNodes (world: GroupsWorld): WorldNode[] {
  return world.nodes.flatMap(node => node === undefined || node.gate.isStopped() ? [] : [node])
}

function findOpenGroups (world: GroupsWorld, node: WorldNode): OpenGroup[] {
  const nowMs = world.timers.nowMs()
  return world.config.deployments
    .flatMap(deployment => node.cache.getFreshGroups(deployment.name, nowMs))
    .filter(group => node.cache.canRouteTo(group.groupId, group.epoch, nowMs))
}
