import type { Result } from '../../shared/result.js'

/** What a model engine on one VM reports about itself. The load part lags. */
export interface EngineState {
  readonly vmId: string
  /** Group of the last order that the engine carried out; undefined when it has none. */
  readonly groupId?: string
  /** Fencing number of the last order that the engine carried out. */
  readonly epoch: number
  readonly deployment?: string
  readonly modelVersion?: string
  readonly memberVmIds: readonly string[]
  /** True when weights are loaded and the engine is ready to serve its group. */
  readonly isLoaded: boolean
  /** True when the VM is shutting down and takes no new work. */
  readonly isLeaving: boolean
  readonly activeStreamCount: number
  readonly queuedStreamCount: number
  /** Mean time between tokens of recent steps; a straggler shows here. */
  readonly tokenIntervalMs: number
}

export enum EngineCommandKind {
  Join = 'join',
  Release = 'release'
}

export interface GroupMember {
  readonly vmId: string
  readonly address: string
}

/** An order to an engine to become a member of a group, or to leave one. */
export interface EngineCommand {
  readonly kind: EngineCommandKind
  readonly groupId: string
  /** Fencing number. Engines that check it refuse a lower one than the highest seen. */
  readonly epoch: number
  readonly deployment: string
  readonly model: string
  readonly modelVersion: string
  /** Members in rank order; the first is the leader, which takes requests. */
  readonly members: readonly GroupMember[]
}

export enum EngineControlErrorKind {
  /** The engine refused the order because it has seen a higher fencing number. */
  StaleEpoch = 'staleEpoch',
  Unreachable = 'unreachable',
  /** No reply arrived; the engine may have carried the order out. */
  Ambiguous = 'ambiguous',
  Refused = 'refused'
}

export interface EngineControlError {
  readonly kind: EngineControlErrorKind
  readonly reason: string
  /** Highest fencing number seen by the engine; set with `StaleEpoch`. */
  readonly currentEpoch?: number
}

/** Control calls to the model engine on one VM. */
export interface EngineControl {
  fetchState (address: string, timeoutMs: number): Promise<Result<EngineState, EngineControlError>>
  sendCommand (address: string, order: EngineCommand, timeoutMs: number): Promise<Result<void, EngineControlError>>
}
