import type { GetStatusResponse, GroupStatus, NodeStatus } from '../../protocol/generated/egretpaddle/operator/v1/operator.js'
import type { ConfigKeeper } from '../config/config-keeper.js'
import type { MembershipView } from '../ports/membership-view.js'

/** Groups and accelerators of the fleet, as known to the responding node. */
export interface FleetGroups {
  readonly groups: readonly GroupStatus[]
  /** Accelerators of live VMs that serve no complete group. */
  readonly strandedAcceleratorCount: number
  readonly acceleratorCount: number
}

/** Provides the fleet's groups for the status response. */
export interface FleetGroupsSource {
  getGroups (): Promise<FleetGroups>
}

export interface OperatorStatusOptions {
  readonly keeper: Pick<ConfigKeeper, 'getConfig' | 'getStatus' | 'getFreshness'>
  readonly membership: MembershipView
  readonly groupsSource: FleetGroupsSource
}

/** Describes the fleet from the responding node's point of view. */
export async function describeFleet ({ keeper, membership, groupsSource }: OperatorStatusOptions): Promise<GetStatusResponse> {
  const { groups, strandedAcceleratorCount, acceleratorCount } = await groupsSource.getGroups()
  const config = keeper.getConfig()
  const status = keeper.getStatus()
  return {
    configVersion: status.versionInUse,
    configConfirmedAgeMs: status.confirmedAgeMs,
    isStoreReachable: !status.isStoreUnreachable,
    nodes: listNodes(membership),
    groups: [...groups],
    strandedAcceleratorCount,
    acceleratorCount,
    canServe: keeper.getFreshness().canServe,
    witnessNodeIds: [...config?.witnesses ?? []],
    drainingVmIds: [...config?.drainingVmIds ?? []]
  }
}

function listNodes (membership: MembershipView): NodeStatus[] {
  const liveIds = new Set(membership.getLiveNodes().map(node => node.nodeId))
  return membership.getKnownNodes().map(node => ({
    nodeId: node.nodeId,
    availabilityZone: node.availabilityZone,
    partner: node.partner,
    status: liveIds.has(node.nodeId) ? 'live' : 'missing'
  }))
}
