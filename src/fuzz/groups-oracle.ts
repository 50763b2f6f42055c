import { domainKeyPrefix, type DomainRecord } from '../state/domain-record.js'
import { fuzzGroupSettings, isExpectedToServe, type GroupsWorld, type WorldNode } from './groups-world.js'

/** A group to which a router would route a request now. */
interface RouteTarget {
  readonly groupId: string
  readonly epoch: number
}

/** How the nodes learn that a VM is leaving. */
export enum LeavingSource {
  Engine = 'engine',
  PlatformList = 'platformList',
  Operator = 'operator'
}

/** Maximum time after the loss of a member in which routers may still route requests to its group. */
export const memberLossBoundMs = fuzzGroupSettings.evidenceMaxAgeMs
/** Maximum time, once all nodes know that a VM is leaving, in which routers may still route requests to its group. */
export const leavingBoundMs = fuzzGroupSettings.evidenceMaxAgeMs

/** Checks the stored domain records and the routing decisions against what clients were promised. Each check throws on a violation. */
export interface GroupsOracle {
  /** Checks the stored records, and every group to which a router would route a request now. */
  check (world: GroupsWorld): void
  /** Checks that the group may get a request now. */
  checkRoute (world: GroupsWorld, group: RouteTarget): void
  /** Records the virtual time from which every node knows that the VM gets no new work. An earlier record of the same source stays. */
  recordLeaving (vmId: string, cause: LeavingSource, knownAtMs: number): void
  /** Removes the record of a source. */
  clearLeaving (vmId: string, cause: LeavingSource): void
  /** Checks that every running node routes to all groups that the deployments ask for. Call it once faults have ended and groups had time to form. */
  checkRecovered (world: GroupsWorld): void
  /** `checkCount`: calls of `check`. `routeCheckCount`: checks of one group at one node, in `check` or by `checkRoute`. */
  readonly counts: { routeCheckCount: number, checkCount: number }
}

/** Creates the oracle of one history. */
export function createGroupsOracle (): GroupsOracle {
  /** Member VM ids, separated by spaces. Key: `groupId@epoch`. */
  const membersByGroupEpoch = new Map<string, string>()
  const lastEpochByDomain = new Map<string, number>()
  const leavingKnownAtMs = new Map<string, number>()
  const counts = { routeCheckCount: 0, checkCount: 0 }

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
      const known = membersByGroupEpoch.get(key) ?? members
      if (known !== members) throw new Error(`group "${key}" has members ${members} after ${known}`)
      membersByGroupEpoch.set(key, members)
    }
  }

  function getMembers (group: RouteTarget): string[] {
    const members = membersByGroupEpoch.get(`${group.groupId}@${group.epoch}`)
    if (members === undefined) throw new Error(`group "${group.groupId}" was never stored with epoch ${group.epoch}`)
    return members.split(' ')
  }

  function checkRoute (world: GroupsWorld, group: RouteTarget): void {
    const nowMs = world.timers.nowMs()
    counts.routeCheckCount += 1
    for (const vmId of getMembers(group)) {
      const servedUntilMs = world.engines.get(vmId)?.getServedUntilMs(group.groupId, group.epoch) ?? -Infinity
      if (nowMs - servedUntilMs > memberLossBoundMs) {
        throw new Error(`group "${group.groupId}" may get a request ${nowMs - servedUntilMs} ms after member "${vmId}" last served its epoch ${group.epoch}`)
      }
      const knownAtMs = Math.min(...Object.values(LeavingSource).map(cause => leavingKnownAtMs.get(`${vmId}/${cause}`) ?? Infinity))
      if (nowMs - knownAtMs > leavingBoundMs) {
        throw new Error(`group "${group.groupId}" may get a request ${nowMs - knownAtMs} ms after member "${vmId}" was known to leave`)
      }
    }
  }

  function checkOverlap (targets: readonly RouteTarget[]): void {
    const groupByVmId = new Map<string, string>()
    for (const group of targets) {
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
    const targets = findRunningNodes(world).flatMap(node => findRouteTargets(world, node))
    targets.forEach(group => checkRoute(world, group))
    checkOverlap(targets)
  }

  function checkRecovered (world: GroupsWorld): void {
    for (const deployment of world.config.deployments) {
      const usableCount = [...world.vms.values()].filter(vm => {
        return deployment.availabilityZones.includes(vm.availabilityZone) && isExpectedToServe(world, vm.vmId)
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
    checkRoute,
    checkRecovered,
    recordLeaving (vmId, cause, knownAtMs) {
      const key = `${vmId}/${cause}`
      if (!leavingKnownAtMs.has(key)) leavingKnownAtMs.set(key, knownAtMs)
    },
    clearLeaving (vmId, cause) {
      leavingKnownAtMs.delete(`${vmId}/${cause}`)
    }
  }
}

function findRunningNodes (world: GroupsWorld): WorldNode[] {
  return world.nodes.flatMap(node => node === undefined || node.process.isStopped() ? [] : [node])
}

function findRouteTargets (world: GroupsWorld, node: WorldNode): RouteTarget[] {
  const nowMs = world.timers.nowMs()
  return world.config.deployments
    .flatMap(deployment => node.cache.getFreshGroups(deployment.name, nowMs))
    .filter(group => node.cache.canRouteTo(group.groupId, group.epoch, nowMs))
}
