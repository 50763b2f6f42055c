import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { EngineProfile } from '../../state/serving-config.js'
import type { ServiceDemand } from '../demand/demand-history.js'
import type { CommandOutcome, ServerCommand } from '../ports/server-control.js'
import type { SupplyDecision } from './supply-changes.js'

/** A command to send to one server. */
export interface PlannedCommand {
  readonly server: BackendServer
  readonly command: ServerCommand
}

/** What the planner knows of a service at one time. */
export interface PlannerInput {
  readonly nowMs: number
  readonly engine: EngineProfile
  readonly servers: readonly BackendServer[]
  readonly replicas: readonly Replica[]
  /** Whether client requests have arrived. */
  readonly hasTraffic: boolean
  /** Whether operators want no requests sent to the servers of the zone: its replicas stay and are no supply. */
  isZoneEvacuated (zone: string): boolean
  /** Demand for the service's models; without it, the split between them stays as it is. */
  readonly demand?: ServiceDemand | undefined
  /** Streams of all gateways on a replica. */
  getStreamCount? (replicaId: string): number
}

export interface PlannerSettings {
  /** Fencing token of this planner's lease; a later planner has a higher one. */
  readonly fencingToken: number
  /** Time after which a replica that lost a member refuses requests on its own. */
  getStallLimitMs (): number
  /** Called for each decision to change the split of servers between models. */
  onSupplyDecision? (decision: SupplyDecision): void
}

/** Plans the replicas of one service: forms them, replaces those that lost a member, and prepares spares. */
export interface ReplicaPlanner {
  /** Returns the commands to send now. A server gets no further command before `recordOutcome` is called for the last one. */
  plan (input: PlannerInput): PlannedCommand[]
  /** Records the outcome of a planned command; the server can get another one after a pause. */
  recordOutcome (planned: PlannedCommand, outcome: CommandOutcome, nowMs: number): void
  /** Records that a server did not answer; it joins no replica until it answers, restarts or a hold time passes. */
  recordUnreachable (server: BackendServer, nowMs: number): void
  /** Records that a server responded, so it may join replicas again. */
  recordReachable (server: BackendServer): void
  /** Records that the server reports a command of an earlier planner in progress. */
  recordBusy (server: BackendServer, nowMs: number): void
  /**
   * Whether new server reports are needed soon: a replica is being dissolved, a command is in flight, or a replica has
   * been forming for less time than one that needs no fetch takes.
   */
  isReconfiguring (): boolean
  /** Counts the servers that serve each model, or will once the changes in progress have ended. */
  countSupply (input: PlannerInput): ReadonlyMap<string, number>
  /** Summarizes replicas by model and state, and free servers, for logs. */
  summarize (input: PlannerInput): PlannerSummary
}

/** Fields of a log line: the groups by state as `model count` or names, the free servers by domain, and the number of unusable servers. */
export interface PlannerSummary {
  readonly openGroups: string
  readonly formingGroups: string
  readonly dissolvingGroups: string
  readonly freeServers: string
  readonly unusableCount: number
}
