/** Key of the fleet configuration in the platform's key-value service. */
export const fleetConfigKey = 'egretpaddle/config'

/** Priority class of a request. */
export enum RequestPriority {
  Interactive = 'interactive',
  Batch = 'batch'
}

/** A team of a partner; a client belongs to the team of its credential. */
export interface Team {
  readonly name: string
  /** Relative weight among the partner's teams. */
  readonly weight: number
}

/** A client's secret, stored as its SHA-256 digest only. */
export interface Credential {
  readonly sha256Hex: string
  readonly team: string
}

/** An operator's secret, stored as its SHA-256 digest only. */
export interface OperatorCredential {
  readonly sha256Hex: string
  readonly name: string
}

/** A customer of the fleet, with its clients and operators. */
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
  /** Number of streams that one group serves concurrently. */
  readonly slotsPerGroup: number
  /** Availability zones in which its groups may run. */
  readonly availabilityZones: readonly string[]
  /** Whether the deployment's engines refuse commands with an outdated fencing token. */
  readonly doesEngineCheckEpoch: boolean
  readonly defaultDeadlineMs: number
}

/** An operation of a plain service. */
export interface ServiceRoute {
  readonly method: string
  /** Exact path, relative to the service. */
  readonly path: string
  /** False for operations that must not run twice; such calls need an idempotency key. */
  readonly isRepeatable: boolean
}

/** A plain service: an HTTP service without a model engine. */
export interface PlainService {
  readonly name: string
  readonly partner: string
  readonly routes: readonly ServiceRoute[]
  readonly timeoutMs: number
  /**
   * Path template of the service's status check; `{key}` is replaced by the idempotency key. If the order ran, the
   * service responds with status 200 and the JSON object `{"state":"done"}`.
   */
  readonly statusPath?: string
}

/** Share of one partner in the cost split: its capacity and its priority. */
export interface PartnerShare {
  readonly partner: string
  /** Percentage of the capacity; the shares of a split add up to 100. */
  readonly capacityPercent: number
  /** Engine priority of the partner's requests; higher runs first, unlike the priority of a gateway's route. */
  readonly priority: number
}

/** How the partners share the capacity of the fleet. */
export interface CostSplit {
  readonly shares: readonly PartnerShare[]
}

/** A proposed split; it takes effect once all partners have agreed. */
export interface SplitProposal {
  readonly split: CostSplit
  readonly proposedBy: string
  readonly agreedBy: readonly string[]
}

/** A split that all partners agreed to, with the configuration version that introduced it. */
export interface SplitHistoryEntry {
  readonly version: number
  readonly split: CostSplit
  readonly acceptedAtMs: number
}

/** One accepted change. A writer that received no response uses it to find its own write below later ones. */
export interface ChangeLogEntry {
  readonly version: number
  readonly changeToken: string
  /** Operator as `partner/name`, or the entry node that made the change. */
  readonly changedBy: string
}

/** A partner's request to drain a VM, so that it receives no new work. */
export interface DrainMark {
  readonly vmId: string
  readonly partner: string
}

/** The whole configuration of the entry nodes, as the operators declare it. It is one stored value, changed only by compare-and-swap. */
export interface FleetConfig {
  /** Incremented by each accepted change. */
  readonly version: number
  /** Unique to each change, so a writer that received no response can recognize its own write. */
  readonly changeToken: string
  readonly partners: readonly Partner[]
  readonly deployments: readonly Deployment[]
  readonly services: readonly PlainService[]
  /** VMs that operators are draining; they receive no new work. Each has at least one mark in `drainMarks`. */
  readonly drainingVmIds: readonly string[]
  readonly drainMarks?: readonly DrainMark[]
  readonly split: CostSplit
  readonly proposal?: SplitProposal
  /** Accepted splits, newest last; at most 50. */
  readonly splitHistory: readonly SplitHistoryEntry[]
  /** Entry nodes that witness versions: a majority must store a version before any node uses it. */
  readonly witnesses?: readonly string[]
  /** The previous witnesses. Until the handover is settled, versions need a majority of these as well. */
  readonly formerWitnesses?: readonly string[]
  /**
   * Highest version known to be settled, that is, stored by a majority of the witnesses, when this value was written.
   * Stored in a second write after each change, for nodes that start later.
   */
  readonly settledVersion?: number
  /** The latest accepted changes, newest last; at most 64. */
  readonly changeLog?: readonly ChangeLogEntry[]
}
