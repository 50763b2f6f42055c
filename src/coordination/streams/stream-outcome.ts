import type { EngineChunk, ModelRequestShape } from '../ports/engine-streams.js'

/** One caller's request for a model's answer. */
export interface ModelRequest {
  readonly requestId: string
  readonly partner: string
  readonly team: string
  readonly deployment: string
  readonly shape: ModelRequestShape
  readonly body: Readonly<Record<string, unknown>>
  /** Hash of the beginning of the prompt, for prefix cache affinity. */
  readonly prefixHash: string
  readonly isInteractive: boolean
  /** Time left for the whole answer. */
  readonly deadlineMs: number
  readonly traceParent?: string
}

export enum StreamOutcomeKind {
  /** The whole answer was delivered. */
  Completed = 'completed',
  /** No engine was given the request, or none delivered a token of it. */
  NotServed = 'notServed',
  /** The engine found the request wrong. */
  BadRequest = 'badRequest',
  /** Part of the answer was delivered; the rest could not be had. */
  Interrupted = 'interrupted',
  /** The time for the whole answer ran out. */
  DeadlineExceeded = 'deadlineExceeded',
  /** The caller went away. */
  Cancelled = 'cancelled'
}

export type StreamOutcome =
  | { readonly kind: StreamOutcomeKind.Completed, readonly tokenCount: number, readonly resumeCount: number }
  | { readonly kind: StreamOutcomeKind.NotServed, readonly reason: string, readonly retryAfterMs: number, readonly mayHaveExecuted: boolean, readonly isOverload: boolean }
  | { readonly kind: StreamOutcomeKind.BadRequest, readonly reason: string }
  | { readonly kind: StreamOutcomeKind.Interrupted, readonly reason: string, readonly retryAfterMs: number, readonly tokenCount: number }
  | { readonly kind: StreamOutcomeKind.DeadlineExceeded, readonly tokenCount: number }
  | { readonly kind: StreamOutcomeKind.Cancelled, readonly tokenCount: number }

/** Receives the chunks of one answer in order. */
export interface ChunkSink {
  /** Resolves when the caller can take more. */
  write (chunk: EngineChunk): Promise<void>
}

export enum ReleaseReason {
  Completed = 'completed',
  /** The engine refused the request because its slots were taken. */
  EngineFull = 'engineFull',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** The right to run one request on one group. */
export interface StreamGrant {
  readonly groupId: string
  readonly epoch: number
  readonly leaderAddress: string
  readonly priority: number
  /** Gives the slot back; called exactly once. */
  release (reason: ReleaseReason): void
}

export type GrantResult =
  | { readonly isGranted: true, readonly grant: StreamGrant }
  | { readonly isGranted: false, readonly reason: string, readonly isOverload: boolean, readonly retryAfterMs: number }

/** What a gate needs to know about a request beyond the request itself. */
export interface AcquireContext {
  /** Time left for the whole answer. */
  readonly remainingMs: number
  /** Groups that failed the request before its first token. */
  readonly failedGroupIds: readonly string[]
  /** True when part of the answer was delivered and the rest is wanted from another group. */
  readonly isResumption: boolean
  readonly signal: AbortSignal
}

/** Decides whether and where a request may run. */
export interface StreamAdmission {
  /** Resolves once a group is chosen or the request is refused. */
  acquire (request: ModelRequest, context: AcquireContext): Promise<GrantResult>
  /** Whether evidence allows a hand-over to the group at this moment. */
  canRouteTo (groupId: string, epoch: number): boolean
  /** Calls the listener when the group is known to be incomplete; returns a function that stops it. */
  onGroupLost (groupId: string, listener: (reason: string) => void): () => void
}
