/** The two request formats that engines accept. */
export enum ModelRequestShape {
  Chat = 'chat',
  Completion = 'completion'
}

/** A request to the leader of a group. */
export interface EngineStreamRequest {
  readonly shape: ModelRequestShape
  readonly groupId: string
  /** Epoch of the group; the engine refuses the request under another one. */
  readonly epoch: number
  /** Every chunk of the response carries this id. */
  readonly requestId: string
  /** The client's request body, as an object. */
  readonly body: Readonly<Record<string, unknown>>
  /** Engine priority; higher runs first. */
  readonly priority: number
  /** Number of tokens that the client already has; the response continues with this token index. */
  readonly resumeFromToken: number
  readonly traceParent?: string
}

/** One chunk of a streamed response. */
export interface EngineChunk {
  /** JSON text of a chunk in the OpenAI format. */
  readonly data: string
  /** Request id that the chunk belongs to. */
  readonly requestId: string
  /**
   * Index of the first token in the chunk; undefined for chunks without tokens. On a last chunk without
   * tokens it is the total token count, if the engine reports that.
   */
  readonly tokenIndex: number | undefined
  readonly tokenCount: number
  /** True for the chunk that carries the finish reason. */
  readonly isLast: boolean
  /** True for the usage chunk, which follows the last chunk and only carries token counts. */
  readonly isUsage: boolean
}

/** Why a stream did not complete. */
export enum EngineStreamErrorKind {
  /** No byte of the request left this process, so the engine cannot have executed it. */
  NotSent = 'notSent',
  /** All slots of the group are in use. */
  Busy = 'busy',
  /** The engine is not the leader of a loaded group under this epoch. */
  WrongGroup = 'wrongGroup',
  /** The engine rejected the request as invalid. */
  BadRequest = 'badRequest',
  /** The stream ended before its last chunk. */
  Broken = 'broken'
}

export interface EngineStreamError {
  readonly kind: EngineStreamErrorKind
  readonly reason: string
}

/** Streamed responses of model engines. Implementations never retry a request. */
export interface EngineStreams {
  /**
   * Sends the request and yields the response's chunks. Returns the error, or undefined after a complete response.
   * Aborting the signal or leaving the loop closes the connection, which cancels the request in the engine.
   */
  open (address: string, request: EngineStreamRequest, signal: AbortSignal): AsyncGenerator<EngineChunk, EngineStreamError | undefined>
}
