import type { FleetConfig } from '../../state/fleet-config.js'
import type { ListedDomain } from './domain-ownership.js'
import type { EngineProbes } from './engine-probes.js'
import type { MemberContext } from './member-condition.js'

export interface MemberContextOptions {
  readonly domain: ListedDomain
  readonly config: FleetConfig
  readonly probes: Pick<EngineProbes, 'getObservation'>
  readonly nowMs: number
  /** Maximum age of a fresh report. */
  readonly maxAgeMs: number
}

/** Creates the `MemberContext` of one domain at one point in time. */
export function createMemberContext (options: MemberContextOptions): MemberContext {
  const vmById = new Map(options.domain.vms.map(vm => [vm.vmId, vm]))
  return {
    nowMs: options.nowMs,
    maxAgeMs: options.maxAgeMs,
    drainingVmIds: new Set(options.config.drainingVmIds),
    getListedVm: vmId => vmById.get(vmId),
    getObservation: vmId => options.probes.getObservation(vmId)
  }
}
