/** Whether a server accepts new work. */
export enum ServerState {
  Ready = 'ready',
  Draining = 'draining'
}

/** State of a server within its group. */
export enum MemberState {
  Joining = 'joining',
  /** Weights are loaded, but the group does not accept requests. */
  Ready = 'ready',
  Open = 'open',
  Closing = 'closing',
  /** The group lost a member and cannot serve any more. */
  Broken = 'broken'
}

/** The group that a server belongs to, as the server reports it. */
export interface GroupMembership {
  readonly groupName: string
  readonly epoch: number
  /** Rank 0 is the leader, which receives the requests. */
  readonly rank: number
  readonly state: MemberState
}

/** A backend server as it registered itself in the store. */
export interface BackendServer {
  readonly id: string
  readonly serviceName: string
  readonly host: string
  readonly port: number
  readonly zone: string
  readonly state: ServerState
  readonly slotCount: number
  /** Wall clock time at which the server started; distinguishes restarts under the same id. */
  readonly startedAtMs: number
  /** Undefined for a server that belongs to no fabric domain. */
  readonly domain: string | undefined
  /** Models whose weights are staged on the server's host. */
  readonly stagedModels: readonly string[]
  /** Models whose weights the server has loaded. */
  readonly loadedModels: readonly string[]
  readonly group: GroupMembership | undefined
  /** How much longer the server is cold, as of the write of its entry; undefined when it states nothing, or nothing that can be read. */
  readonly coldRemainingMs?: number | undefined
  /** The server's statement of that time when it can't be read. */
  readonly invalidCold?: string | undefined
}
