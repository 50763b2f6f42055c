import type { EngineChunk, ModelRequestShape } from '../ports/engine-streams.js'

/** A client's request to a model. */
export interface ModelRequest {
  readonly requestId: string
  readonly partner: string
  readonly team: string
  readonly deployment: string
  readonly shape: ModelRequestShape
  readonly body: Readonly<Record<string, unknown>>
  /** Hash of the start of the prompt, for prefix cache affinity. */
  readonly prefixHash: string
  readonly isInteractive: boolean
  /** Timeout for the whole response, from the start of the run. */
  readonly timeoutMs: number
  readonly traceParent?: string
}

/** How the run of a request ended; the values are also labels of a metric. */
export enum StreamOutcomeKind {
  /** The whole response was delivered. */
  Completed = 'completed',
  /** No token was delivered. An engine may still have run the request: see `mayHaveExecuted`. */
  NotServed = 'notServed',
  /** The engine rejected the request as malformed. */
  BadRequest = 'badRequest',
  /** Part of the response was delivered, and no group could continue it. */
  Interrupted = 'interrupted',
  /** The deadline of the whole response passed. */
  DeadlineExceeded = 'deadlineExceeded',
  /** The client disconnected. */
  Cancelled = 'cancelled'
}

/**
 * Outcome of a run. `retryAfterMs` is the time after which the client may retry; `isOverload` distinguishes overload from
 * failure; `resumeCount` counts the attempts after the first, whether or not a token had been delivered.
 */
export type StreamOutcome =
  | { readonly kind: StreamOutcomeKind.Completed, readonly tokenCount: number, readonly resumeCount: number }
  | { readonly kind: StreamOutcomeKind.NotServed, readonly reason: string, readonly retryAfterMs: number, readonly mayHaveExecuted: boolean, readonly isOverload: boolean }
  | { readonly kind: StreamOutcomeKind.BadRequest, readonly reason: string }
  | { readonly kind: StreamOutcomeKind.Interrupted, readonly reason: string, readonly retryAfterMs: number, readonly tokenCount: number }
  | { readonly kind: StreamOutcomeKind.DeadlineExceeded, readonly tokenCount: number }
  | { readonly kind: StreamOutcomeKind.Cancelled, readonly tokenCount: number }

/** Receives the chunks of one response in order. */
export interface ChunkSink {
  /** Resolves when the client can receive more. */
  write (chunk: EngineChunk): Promise<void>
}

/** How the attempt on a group ended. */
export enum ReleaseReason {
  Completed = 'completed',
  /** The engine refused the request because all slots were in use. */
  EngineFull = 'engineFull',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** Permission to run one request on one group. */
export interface StreamGrant {
  readonly groupId: string
  readonly epoch: number
  readonly leaderAddress: string
  /** Priority in the engine's queue. */
  readonly priority: number
  /** Releases the slot. It must be called exactly once. */
  release (reason: ReleaseReason): void
}

/** A grant, or the refusal with its reason. */
export type GrantResult =
  | { readonly isGranted: true, readonly grant: StreamGrant }
  | { readonly isGranted: false, readonly reason: string, readonly isOverload: boolean, readonly retryAfterMs: number }

/** Context of an attempt to get a group for a request. */
export interface AcquireContext {
  /** Time left until the deadline of the whole response. */
  readonly remainingMs: number
  /** Groups on which earlier attempts of the request failed. */
  readonly failedGroupIds: readonly string[]
  /** Whether part of the response was delivered and another group has to continue it. */
  readonly isResumption: boolean
  readonly signal: AbortSignal
}

/** Decides whether and on which group a request may run. */
export interface StreamAdmission {
  /** Resolves once a group is chosen or the request is refused. */
  acquire (request: ModelRequest, context: AcquireContext): Promise<GrantResult>
  /** Whether the configuration is confirmed and the group's evidence allows a request to be sent to it now. */
  canRouteTo (groupId: string, epoch: number): boolean
  /** Calls the listener when the group is lost, with the reason; returns a function that unsubscribes. */
  onGroupLost (groupId: string, listener: (reason: string) => void): () => void
}
