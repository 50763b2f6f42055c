/** Key of the fleet configuration in the platform's key-value service. */
export const fleetConfigKey = 'egretpaddle/config'

export enum RequestPriority {
  Interactive = 'interactive',
  Batch = 'batch'
}

/** A team of a partner; callers belong to a team through their credential. */
export interface Team {
  readonly name: string
  /** Relative weight among the partner's teams. */
  readonly weight: number
}

/** A secret known by its SHA-256 digest only. */
export interface Credential {
  readonly sha256Hex: string
  readonly team: string
}

export interface OperatorCredential {
  readonly sha256Hex: string
  readonly name: string
}

/** A customer of the fleet, with its callers and operators. */
export interface Partner {
  readonly name: string
  readonly teams: readonly Team[]
  readonly credentials: readonly Credential[]
  readonly operators: readonly OperatorCredential[]
  /** Cost of one second of group downtime, relative to `strandedAcceleratorWeight`. */
  readonly groupDowntimeWeight: number
  /** Cost of one accelerator that serves no complete group for one second. */
  readonly strandedAcceleratorWeight: number
}

/** A model served by groups of VMs. */
export interface Deployment {
  readonly name: string
  /** Partner that may change the deployment. */
  readonly partner: string
  readonly model: string
  readonly modelVersion: string
  readonly membersPerGroup: number
  readonly groupCount: number
  /** Streams that one group serves at a time. */
  readonly slotsPerGroup: number
  /** Availability zones that may hold its groups. */
  readonly availabilityZones: readonly string[]
  /** Whether the deployment's engines refuse orders with an old fencing number. */
  readonly doesEngineCheckEpoch: boolean
  readonly defaultDeadlineMs: number
}

/** A call of a plain service. */
export interface ServiceRoute {
  readonly method: string
  /** Exact path below the service. */
  readonly path: string
  /** False for work that must not repeat; such calls need an idempotency key. */
  readonly isRepeatable: boolean
}

export interface PlainService {
  readonly name: string
  readonly partner: string
  readonly routes: readonly ServiceRoute[]
  readonly timeoutMs: number
  /** Path template of the service's own status check; `{key}` stands for the idempotency key. */
  readonly statusPath?: string
}

/** Part of one partner in the cost split, in capacity and priority. */
export interface PartnerShare {
  readonly partner: string
  /** Part of the capacity in percent; the shares add up to 100. */
  readonly capacityPercent: number
  /** Engine priority of the partner's work; higher goes first. */
  readonly priority: number
}

export interface CostSplit {
  readonly shares: readonly PartnerShare[]
}

/** A split that waits for the agreement of the partners that have not agreed yet. */
export interface SplitProposal {
  readonly split: CostSplit
  readonly proposedBy: string
  readonly agreedBy: readonly string[]
}

export interface SplitHistoryEntry {
  readonly version: number
  readonly split: CostSplit
  readonly acceptedAtMs: number
}

/** One accepted change. Lets a writer that lost the reply find its own write under later ones. */
export interface ChangeLogEntry {
  readonly version: number
  readonly changeToken: string
  /** Operator as `partner/name`, or the entry node that made the change. */
  readonly changedBy: string
}

/** A partner's mark on a VM that is to get no new work. */
export interface DrainMark {
  readonly vmId: string
  readonly partner: string
}

/** The whole configuration that the operators declare. One stored value, changed only by compare-and-swap. */
export interface FleetConfig {
  /** Grows by one with each accepted change. */
  readonly version: number
  /** Unique to one change, so that a writer that lost the reply can recognise its own write. */
  readonly changeToken: string
  readonly partners: readonly Partner[]
  readonly deployments: readonly Deployment[]
  readonly services: readonly PlainService[]
  /** VMs that operators took out of use; they get no new work. Each has at least one mark in `drainMarks`. */
  readonly drainingVmIds: readonly string[]
  readonly drainMarks?: readonly DrainMark[]
  readonly split: CostSplit
  readonly proposal?: SplitProposal
  /** Accepted splits, newest last; at most 50. */
  readonly splitHistory: readonly SplitHistoryEntry[]
  /** Entry nodes of which a majority must hold a version before any node acts on it. */
  readonly witnesses?: readonly string[]
  /** Witnesses of earlier versions, of which a majority is needed as well until the handover is settled. */
  readonly formerWitnesses?: readonly string[]
  /** Highest version known to be settled when this was stored; written once more after a change for nodes that start later. */
  readonly settledVersion?: number
  /** The latest accepted changes, newest last; at most 64. */
  readonly changeLog?: readonly ChangeLogEntry[]
}
