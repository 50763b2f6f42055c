/** The interface between a gateway and the deployment's HTTP headers. */
import type { IncomingHttpHeaders } from 'node:http'

/** What a client's headers say about its request. */
export interface ClientRequestInfo {
  /** Identifies one request of the client; a retry by the client has another id. */
  readonly requestId: string | undefined
  readonly apiKey: string | undefined
  /** How long the client waits, counted from when it sent the request. */
  readonly clientTimeoutMs: number | undefined
  readonly model: string | undefined
  /** Tokens of the prompt as the client states them; undefined when it states none, or none that can be read. */
  readonly promptTokenCount?: number | undefined
  /** Parts of the prompt that other requests may share, in order; the part that belongs to this request alone is left out. */
  readonly sharedPartIds: readonly string[]
  /** The last event that the client has received; the stream resumes after it. */
  readonly lastEventId: string | undefined
}

/** What the gateway adds to a request that it forwards to a server. */
export interface ForwardedRequestInfo {
  readonly remainingMs: number
  /** The server that the request is meant for; any other server refuses it. */
  readonly serverId: string
  readonly teamName: string | undefined
  readonly priority: number
  readonly lastEventId: string | undefined
  /** Undefined for a request without a body. */
  readonly bodyLength: number | undefined
}

/** What a server's headers say about its response. */
export interface ServerResponseInfo {
  /** The request that the response belongs to, which may be an earlier one on the same connection. */
  readonly requestId: string | undefined
  /** The server states that it has not executed the request. */
  readonly isNotExecuted: boolean
  /** The response has the server's stamp, which shows that the server itself produced it. */
  readonly isStamped: boolean
  /** The body has a content encoding, so that it isn't the bytes that the server produced. */
  readonly isEncoded: boolean
  /** The server that the response names as the reason why the request was not executed. */
  readonly faultyServerId: string | undefined
  /** The server announces that it is leaving. */
  readonly isLeaving: boolean
  /** Time for which the server wants no further requests; undefined when it states none, or none that can be read. */
  readonly holdMs: number | undefined
  /** The server's statement of that time when it can't be read. */
  readonly invalidHold: string | undefined
  /** Requests a second that the server takes from all gateways together; undefined when it states none, or none that can be read. */
  readonly limitPerSecond: number | undefined
  /** The server's statement of that limit when it can't be read. */
  readonly invalidLimit: string | undefined
}

/** Reads and writes the headers of the deployment's protocol. */
export interface WireCodec {
  readClientRequest (headers: IncomingHttpHeaders): ClientRequestInfo
  /** Headers of a forwarded request, as names and values in turn. */
  buildServerHeaders (clientHeaders: readonly string[], facts: ForwardedRequestInfo): string[]
  readServerResponse (statusCode: number, headers: IncomingHttpHeaders): ServerResponseInfo
  /** Headers of a response that the gateway makes itself. */
  buildGatewayHeaders (requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>
}
