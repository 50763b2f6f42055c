import { credentials, Metadata, status as grpcStatus, type CallOptions, type ClientUnaryCall, type ServiceError } from '@grpc/grpc-js'

import { PeerErrorKind, type PeerError, type PeerLink } from '../coordination/ports/peer-link.js'
import { PeerServiceClient } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { failure, success, type Result } from '../shared/result.js'
import type { TimerService } from '../shared/timer-service.js'
import { maxPeerMessageBytes, peerSecretHeader } from './peer-rpc-limits.js'

export interface PeerRpcClientOptions {
  readonly timers: TimerService
  readonly callTimeoutMs: number
  /** Secret shared by all entry nodes; undefined means that calls are not authenticated. */
  readonly sharedSecret?: string
}

/** gRPC client for calls to other entry nodes. It keeps one connection to each. */
export interface PeerRpcClient extends PeerLink {
  close (): void
}

type UnaryMethod<Request, Response> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, response: Response) => void
) => ClientUnaryCall

const channelOptions = {
  'grpc.max_receive_message_length': maxPeerMessageBytes,
  // Shorter than gRPC's defaults of 1 s and 120 s, so that a restarted peer is reached soon.
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.enable_retries': 0
}

/** Creates a client that connects to each node on the first call. It never retries a call. */
export function createPeerRpcClient (options: PeerRpcClientOptions): PeerRpcClient {
  const clients = new Map<string, PeerServiceClient>()
  const metadata = createMetadata(options.sharedSecret)

  function getClient (peerAddress: string): PeerServiceClient {
    const existing = clients.get(peerAddress)
    if (existing !== undefined) return existing
    const created = new PeerServiceClient(peerAddress, credentials.createInsecure(), channelOptions)
    clients.set(peerAddress, created)
    return created
  }

  function call<Request, Response> (method: UnaryMethod<Request, Response>, request: Request): Promise<Result<Response, PeerError>> {
    return new Promise(resolve => {
      const deadline = new Date(options.timers.wallClockMs() + options.callTimeoutMs)
      method(request, metadata, { deadline }, (error, response) => {
        resolve(error === null ? success(response) : failure(toPeerError(error)))
      })
    })
  }

  return {
    pollGroups (peerAddress, request) {
      const client = getClient(peerAddress)
      return call(client.pollGroups.bind(client), request)
    },
    fetchConfig (peerAddress, knownVersion) {
      const client = getClient(peerAddress)
      return call(client.fetchConfig.bind(client), { knownVersion })
    },
    pushConfig (peerAddress, snapshot) {
      const client = getClient(peerAddress)
      return call(client.pushConfig.bind(client), snapshot)
    },
    describeDomains (peerAddress) {
      const client = getClient(peerAddress)
      return call(client.describeDomains.bind(client), {})
    },
    close () {
      for (const client of clients.values()) client.close()
      clients.clear()
    }
  }
}

function createMetadata (sharedSecret: string | undefined): Metadata {
  const metadata = new Metadata()
  if (sharedSecret !== undefined) metadata.set(peerSecretHeader, sharedSecret)
  return metadata
}

function toPeerError (error: ServiceError): PeerError {
  // With these status codes the peer rejected the call; any other leaves it open whether the peer was reached.
  const isRefused = error.code === grpcStatus.UNAUTHENTICATED || error.code === grpcStatus.UNIMPLEMENTED || error.code === grpcStatus.INTERNAL
  return { kind: isRefused ? PeerErrorKind.Refused : PeerErrorKind.Unreachable, reason: error.message }
}
