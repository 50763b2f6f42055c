import type { Result } from '../../shared/result.js'

/** State that the model engine on one VM reports. Stream counts and token interval lag behind the actual load. */
export interface EngineState {
  readonly vmId: string
  /** Group that the engine belongs to; undefined when it belongs to none. */
  readonly groupId?: string
  /** Epoch of the last command that the engine executed; epochs are the engines' fencing tokens. */
  readonly epoch: number
  readonly deployment?: string
  readonly modelVersion?: string
  readonly memberVmIds: readonly string[]
  /** True when weights are loaded and the engine is ready to serve its group. */
  readonly isLoaded: boolean
  /** True when the VM is shutting down and accepts no new work. */
  readonly isLeaving: boolean
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  /** Mean time between tokens over recent steps; a high value reveals a straggler. */
  readonly tokenIntervalMs: number
}

/** What a command tells an engine to do. */
export enum EngineCommandKind {
  Join = 'join',
  Release = 'release'
}

/** A VM of a group in a command to an engine, with its `host:port` address. */
export interface GroupMember {
  readonly vmId: string
  readonly address: string
}

/** Tells an engine to become a member of a group or to leave it. */
export interface EngineCommand {
  readonly kind: EngineCommandKind
  readonly groupId: string
  /** Fencing token. Engines that check it refuse a token lower than the highest they have seen. */
  readonly epoch: number
  readonly deployment: string
  readonly model: string
  readonly modelVersion: string
  /** Members in rank order; the first is the leader, which receives the requests. */
  readonly members: readonly GroupMember[]
}

/** Why a control call failed. */
export enum EngineControlErrorKind {
  /** The engine refused the command because it has seen a higher fencing token. */
  StaleEpoch = 'staleEpoch',
  Unreachable = 'unreachable',
  /** No response arrived; the engine may have executed the command. */
  Ambiguous = 'ambiguous',
  Refused = 'refused'
}

export interface EngineControlError {
  readonly kind: EngineControlErrorKind
  readonly reason: string
  /** Highest fencing token that the engine has seen; set with `StaleEpoch`. */
  readonly currentEpoch?: number
}

/** Control calls to the model engine on one VM. */
export interface EngineControl {
  fetchState (address: string, timeoutMs: number): Promise<Result<EngineState, EngineControlError>>
  sendCommand (address: string, command: EngineCommand, timeoutMs: number): Promise<Result<void, EngineControlError>>
}
