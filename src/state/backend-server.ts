export enum ServerState {
  Ready = 'ready',
  Draining = 'draining'
}

export enum MemberState {
  Joining = 'joining',
  /** Weights are loaded; the group does not serve. */
  Ready = 'ready',
  Open = 'open',
  Closing = 'closing',
  Broken = 'broken'
}

/** A server's own report of the group that it belongs to. */
export interface GroupMembership {
  readonly groupName: string
  readonly epoch: number
  /** 0 is the leader, which takes the requests. */
  readonly rank: number
  readonly state: MemberState
}

/** A server as it registered itself. */
export interface BackendServer {
  readonly id: string
  readonly serviceName: string
  readonly host: string
  readonly port: number
  readonly zone: string
  readonly state: ServerState
  readonly slotCount: number
  /** Wall clock of its start; distinguishes two lives under one id. */
  readonly startedAtMs: number
  /** Undefined for a server that belongs to no fabric domain. */
  readonly domain: string | undefined
  readonly stagedModels: readonly string[]
  readonly loadedModels: readonly string[]
  readonly group: GroupMembership | undefined
}
