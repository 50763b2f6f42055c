import { rankByRendezvous } from '../../shared/rendezvous.js'

export interface GroupSubsetSettings {
  /** Maximum number of groups of one deployment in its own zone that a node routes to. */
  readonly maxLocalGroupCount: number
  /** Maximum number of groups of one deployment in other zones that a node routes to. */
  readonly maxRemoteGroupCount: number
}

export const defaultGroupSubsetSettings: GroupSubsetSettings = {
  maxLocalGroupCount: 12,
  maxRemoteGroupCount: 4
}

/** Fields of a group that the selection depends on. */
export interface SelectableGroup {
  readonly groupId: string
  readonly deployment: string
  readonly availabilityZone: string
}

/**
 * Selects the groups that a node routes to and whose owners it polls: a bounded number for each
 * deployment, the same after every restart, and spread over the nodes by rendezvous hashing.
 * If its own zone has fewer groups than the maximum, groups of other zones take their places.
 */
export function selectGroups<T extends SelectableGroup> (
  nodeId: string,
  availabilityZone: string,
  groups: readonly T[],
  settings: GroupSubsetSettings
): T[] {
  const deployments = new Set(groups.map(group => group.deployment))
  return [...deployments].flatMap(deployment => {
    const ofDeployment = groups.filter(group => group.deployment === deployment)
    const ranked = rankByRendezvous(nodeId, ofDeployment, group => group.groupId)
    const local = ranked.filter(group => group.availabilityZone === availabilityZone)
    const remote = ranked.filter(group => group.availabilityZone !== availabilityZone)
    const chosenLocal = local.slice(0, settings.maxLocalGroupCount)
    const remoteCount = settings.maxRemoteGroupCount + settings.maxLocalGroupCount - chosenLocal.length
    return [...chosenLocal, ...remote.slice(0, remoteCount)]
  })
}
