import type { BackendServer } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import type { EngineProfile } from '../../state/serving-config.js'
import type { CommandOutcome, ServerCommand } from '../ports/server-control.js'

/** An order for one server. */
export interface PlannedCommand {
  readonly server: BackendServer
  readonly command: ServerCommand
}

export interface PlannerInput {
  readonly nowMs: number
  readonly engine: EngineProfile
  readonly servers: readonly BackendServer[]
  readonly replicas: readonly Replica[]
  /** Whether callers' requests have arrived. */
  readonly hasTraffic: boolean
}

export interface PlannerSettings {
  /** Fencing token of this planner's lease; a later planner has a higher one. */
  readonly fencingToken: number
  /** Time after which a group that lost a member refuses requests by itself. */
  getStallLimitMs (): number
}

/** Forms groups of servers, replaces groups that lost a member, and stages models on spares. */
export interface ReplicaPlanner {
  /** Returns the orders to send now. No server gets a second order before the outcome of the first. */
  plan (input: PlannerInput): PlannedCommand[]
  noteOutcome (planned: PlannedCommand, outcome: CommandOutcome, nowMs: number): void
  /** A server did not answer; it joins no group until it is seen again. */
  noteUnreachable (server: BackendServer, nowMs: number): void
  noteReachable (server: BackendServer): void
  /** The server reports an order of an earlier planner in progress. */
  noteBusy (server: BackendServer, nowMs: number): void
  /** Whether groups are being formed or closed, so that the servers' reports are awaited. */
  isReconfiguring (): boolean
  /** Counts for logs: groups by model and state, and the servers in none. */
  summarize (input: PlannerInput): PlannerSummary
}

export interface PlannerSummary {
  readonly openGroups: string
  readonly formingGroups: string
  readonly dissolvingGroups: string
  readonly freeServers: string
  readonly unusableCount: number
}
