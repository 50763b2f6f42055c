import type { IncomingHttpHeaders } from 'node:http'

/** What a caller's headers say about its request. */
export interface ClientRequestInfo {
  /** Identifies one attempt of the caller. */
  readonly requestId: string | undefined
  readonly apiKey: string | undefined
  /** How long the caller waits, from when it sent the request. */
  readonly deadlineMs: number | undefined
  readonly model: string | undefined
  /** The last event that the caller has; a stream goes on after it. */
  readonly lastEventId: string | undefined
}

/** What the gateway adds to a request for a server. */
export interface ForwardedRequestInfo {
  readonly remainingMs: number
  /** Any other server refuses the request. */
  readonly serverId: string
  readonly teamName: string | undefined
  readonly priority: number
  readonly lastEventId: string | undefined
  /** Undefined for a request without a body. */
  readonly bodyLength: number | undefined
}

/** What a server's headers say about its answer. */
export interface ServerResponseInfo {
  /** The request that is answered; an answer may belong to an earlier one. */
  readonly requestId: string | undefined
  /** The server states that it has not run the request. */
  readonly isNotRun: boolean
  /** The server vouches for the answer. */
  readonly isStamped: boolean
  /** The body is not the bytes that the server made. */
  readonly isEncoded: boolean
  /** The server because of which the request was not run. */
  readonly faultyServerId: string | undefined
}

/** Names and values of headers on the deployment's wire. */
export interface WireCodec {
  readClientRequest (headers: IncomingHttpHeaders): ClientRequestInfo
  buildServerHeaders (clientHeaders: readonly string[], facts: ForwardedRequestInfo): string[]
  readServerResponse (statusCode: number, headers: IncomingHttpHeaders): ServerResponseInfo
  /** Headers of an answer that the gateway makes itself. */
  buildOwnHeaders (requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>
}
