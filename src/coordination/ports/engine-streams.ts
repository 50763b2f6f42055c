/** The two request shapes that engines take. */
export enum ModelRequestShape {
  Chat = 'chat',
  Completion = 'completion'
}

/** A request to the leader of a group. */
export interface EngineStreamRequest {
  readonly shape: ModelRequestShape
  readonly groupId: string
  readonly epoch: number
  /** Names the answer: every chunk of it carries this id. */
  readonly requestId: string
  /** The caller's body, as an object. */
  readonly body: Readonly<Record<string, unknown>>
  readonly priority: number
  /** Number of tokens that the caller has already; the answer continues with this index. */
  readonly resumeFromToken: number
  readonly traceParent?: string
}

/** One chunk of an answer. */
export interface EngineChunk {
  /** JSON text of an OpenAI chunk. */
  readonly data: string
  /** Request id that the chunk belongs to. */
  readonly requestId: string
  /**
   * Index of the first token in the chunk; undefined for chunks without tokens. A last chunk without
   * tokens names the index behind the last token, where the engine tells it.
   */
  readonly tokenIndex: number | undefined
  readonly tokenCount: number
  /** True for the chunk that carries the finish reason. */
  readonly isLast: boolean
  /** True for the chunk behind the last one that only counts tokens. */
  readonly isUsage: boolean
}

export enum EngineStreamErrorKind {
  /** Proven: no byte of the request left this process. */
  NotSent = 'notSent',
  /** All slots of the group are taken. */
  Busy = 'busy',
  /** The engine is not the leader of a loaded group under this epoch. */
  WrongGroup = 'wrongGroup',
  /** The engine found the request itself wrong. */
  BadRequest = 'badRequest',
  /** The stream ended before its last chunk. */
  Broken = 'broken'
}

export interface EngineStreamError {
  readonly kind: EngineStreamErrorKind
  readonly reason: string
}

/** Streams of answers from model engines. An implementation never repeats a request by itself. */
export interface EngineStreams {
  /**
   * Sends the request and yields its chunks, then returns undefined for a whole answer or the error.
   * Aborting the signal or leaving the loop closes the connection, by which the engine cancels the work.
   */
  open (address: string, request: EngineStreamRequest, signal: AbortSignal): AsyncGenerator<EngineChunk, EngineStreamError | undefined>
}
