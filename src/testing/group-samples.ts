import { VmLifecycle, VmRole, type ListedVm } from '../coordination/ports/vm-list.js'
import type { EntryNodeInfo, MembershipView } from '../coordination/ports/membership-view.js'
import { createChannel } from '../shared/channel.js'
import type { Deployment, FleetConfig, Partner } from '../state/fleet-config.js'

/** Creates a live model engine VM in a domain. */
export function createListedVm (vmId: string, fabricDomain: string, availabilityZone: string, acceleratorCount: number = 8): ListedVm {
  return {
    vmId,
    address: `${vmId}:9000`,
    availabilityZone,
    fabricDomain,
    acceleratorCount,
    role: VmRole.ModelEngine,
    lifecycle: VmLifecycle.Live
  }
}

/** Creates a deployment of the partner "vrany"; the given fields replace the defaults. */
export function createDeployment (fields: Partial<Deployment>): Deployment {
  return {
    name: 'drafts',
    partner: 'vrany',
    model: 'draft-model',
    modelVersion: '1',
    membersPerGroup: 2,
    groupCount: 2,
    slotsPerGroup: 8,
    availabilityZones: ['zone-a'],
    doesEngineCheckEpoch: true,
    defaultDeadlineMs: 10_000,
    ...fields
  }
}

/** Creates a partner without teams or credentials. */
export function createPartner (name: string, groupDowntimeWeight: number, strandedAcceleratorWeight: number): Partner {
  return { name, teams: [], credentials: [], operators: [], groupDowntimeWeight, strandedAcceleratorWeight }
}

/** Creates a configuration with the given deployments. */
export function createSampleFleetConfig (deployments: readonly Deployment[], partners: readonly Partner[] = [createPartner('vrany', 1, 1)]): FleetConfig {
  return {
    version: 1,
    changeToken: 'sample',
    partners,
    deployments,
    services: [],
    drainingVmIds: [],
    split: { shares: [] },
    splitHistory: []
  }
}

/** Creates the description of an entry node; its addresses are its id. */
export function createEntryNodeInfo (nodeId: string, availabilityZone: string): EntryNodeInfo {
  return { nodeId, incarnation: 1, peerAddress: nodeId, gossipAddress: nodeId, availabilityZone, partner: 'vrany' }
}

/** Creates a membership view that calls `getLiveNodes` at each read. */
export function createFakeMembership (self: EntryNodeInfo, getLiveNodes: () => readonly EntryNodeInfo[]): MembershipView {
  return { self, getLiveNodes, getKnownNodes: getLiveNodes, liveNodeChanges: createChannel<readonly EntryNodeInfo[]>().messages }
}
