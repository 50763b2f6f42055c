import type { ListedDomain } from '../coordination/groups/domain-ownership.js'
import { VmLifecycle, VmRole, type ListedVm } from '../coordination/ports/vm-list.js'
import type { Deployment, FleetConfig, Partner } from '../state/fleet-config.js'

export const acceleratorsPerVm = 8

/** One second of downtime of a group costs vrany as much as 20 seconds of one stranded accelerator, and kandy as much as 2,000. */
export const partners: readonly Partner[] = [
  { name: 'vrany', teams: [], credentials: [], operators: [], groupDowntimeWeight: 20, strandedAcceleratorWeight: 1 },
  { name: 'kandy', teams: [], credentials: [], operators: [], groupDowntimeWeight: 2000, strandedAcceleratorWeight: 1 }
]

/** Creates a fabric domain with VMs that are all live. */
export function createBenchDomain (fabricDomain: string, availabilityZone: string, vmCount: number, acceleratorsPerVm: number): ListedDomain {
  const vms = Array.from({ length: vmCount }, (_, index): ListedVm => ({
    vmId: `${fabricDomain}-vm-${index}`,
    address: `${fabricDomain}-vm-${index}:9000`,
    availabilityZone,
    fabricDomain,
    acceleratorCount: acceleratorsPerVm,
    role: VmRole.ModelEngine,
    lifecycle: VmLifecycle.Live
  }))
  return { fabricDomain, availabilityZone, vms }
}

/** Creates a deployment that calls for 1,000 groups, so the quotas use all the room of a smaller fleet. */
export function createBenchDeployment (partner: string, membersPerGroup: number): Deployment {
  return {
    name: 'drafts',
    partner,
    model: 'draft-model',
    modelVersion: '1',
    membersPerGroup,
    groupCount: 1000,
    slotsPerGroup: 16,
    availabilityZones: ['zone-0', 'zone-1', 'zone-2'],
    doesEngineCheckEpoch: true,
    defaultDeadlineMs: 10_000
  }
}

/** Creates a configuration with both partners and one deployment. */
export function createBenchConfig (deployment: Deployment): FleetConfig {
  return {
    version: 1,
    changeToken: '',
    partners,
    deployments: [deployment],
    services: [],
    drainingVmIds: [],
    split: { shares: [] },
    splitHistory: []
  }
}

/** Creates domains of equal size in three availability zones, assigned round robin. */
export function createBenchFleet (domainCount: number, vmsPerDomain: number): ListedDomain[] {
  return Array.from({ length: domainCount }, (_, index) => createBenchDomain(`domain-${index}`, `zone-${index % 3}`, vmsPerDomain, acceleratorsPerVm))
}
