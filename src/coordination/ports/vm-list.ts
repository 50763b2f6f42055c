import type { Result } from '../../shared/result.js'

/** Whether the platform is shutting the VM down. */
export enum VmLifecycle {
  Live = 'live',
  /** The VM is shutting down. */
  Leaving = 'leaving'
}

/** What runs on the VM. */
export enum VmRole {
  ModelEngine = 'modelEngine',
  PlainService = 'plainService'
}

/** A backend server VM as the platform lists it. The list is updated with a delay, so it can differ from the VMs' actual state. */
export interface ListedVm {
  readonly vmId: string
  /** `host:port` of the backend server on the VM. */
  readonly address: string
  readonly availabilityZone: string
  readonly fabricDomain: string
  readonly acceleratorCount: number
  readonly role: VmRole
  /** Name of the plain service; undefined for model engines. */
  readonly serviceName?: string
  readonly lifecycle: VmLifecycle
}

export interface VmListError {
  readonly kind: 'unavailable'
  readonly reason: string
}

/** The platform's list of live and leaving VMs. */
export interface VmList {
  fetch (): Promise<Result<readonly ListedVm[], VmListError>>
}
