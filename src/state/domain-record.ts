/** Prefix of the keys that hold one record for each fabric domain. */
export const domainKeyPrefix = 'egretpaddle/domain/'

/** Returns the key of a fabric domain's record. */
export function getDomainKey (fabricDomain: string): string {
  return `${domainKeyPrefix}${fabricDomain}`
}

export interface AssignedMember {
  readonly vmId: string
  readonly address: string
}

/** A group of VMs that serves one deployment. All members lie in one fabric domain. */
export interface GroupAssignment {
  readonly groupId: string
  readonly deployment: string
  readonly modelVersion: string
  /** Fencing number of the assignment; a later assignment of any VM in the domain has a higher one. */
  readonly epoch: number
  /** Members in rank order; the first is the leader. */
  readonly members: readonly AssignedMember[]
  /** Wall clock of the change, for people. */
  readonly formedAtMs: number
}

/**
 * All assignments of one fabric domain in one stored value.
 * A VM lies in one domain and appears at most once here, so that it is in at most one group.
 */
export interface DomainRecord {
  readonly fabricDomain: string
  readonly availabilityZone: string
  /** Highest fencing number given out in the domain. */
  readonly lastEpoch: number
  /** Unique to one change, so that a writer that lost the reply can recognise its own write. */
  readonly changeToken: string
  readonly groups: readonly GroupAssignment[]
}
