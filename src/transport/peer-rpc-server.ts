import { timingSafeEqual } from 'node:crypto'

import { ServerCredentials, status, type sendUnaryData, type ServerUnaryCall } from '@grpc/grpc-js'

import type { PeerHandlers } from '../coordination/ports/peer-link.js'
import { PeerServiceService, type PeerServiceServer } from '../protocol/generated/egretpaddle/peer/v1/peer.js'
import { createGuardedGrpcServer, type GrpcServerLimits } from './guarded-grpc-server.js'
import { maxPeerMessageBytes, peerSecretHeader } from './peer-rpc-limits.js'

export interface PeerRpcServerOptions {
  readonly host: string
  readonly port: number
  /** Secret shared by all entry nodes; undefined means that calls are not authenticated. */
  readonly sharedSecret?: string
  readonly limits: GrpcServerLimits
  readonly handlers: PeerHandlers
}

/** The gRPC server for calls of other entry nodes. */
export interface PeerRpcServer {
  /** Resolves with the port once the server listens. */
  listen (): Promise<number>
  close (): void
}

/** Creates the server, which does not listen yet. */
export function createPeerRpcServer (options: PeerRpcServerOptions): PeerRpcServer {
  const { handlers, host, port, limits } = options
  const expectedSecret = options.sharedSecret === undefined ? undefined : Buffer.from(options.sharedSecret)
  const { server, listen, close } = createGuardedGrpcServer({
    ...limits,
    host,
    port,
    maxMessageBytes: maxPeerMessageBytes,
    findRefusal (metadata) {
      const [secret] = metadata.get(peerSecretHeader)
      return isSecretValid(expectedSecret, secret) ? undefined : { code: status.UNAUTHENTICATED, details: 'peer secret is missing or wrong' }
    }
  })

  function handleUnary<Request, Response> (handler: (request: Request) => Response) {
    return (call: ServerUnaryCall<Request, Response>, callback: sendUnaryData<Response>) => {
      callback(null, handler(call.request))
    }
  }

  const implementation: PeerServiceServer = {
    pollGroups: handleUnary(handlers.pollGroups),
    fetchConfig: handleUnary(request => handlers.fetchConfig(request.knownVersion)),
    pushConfig: handleUnary(handlers.pushConfig),
    describeDomains: handleUnary(() => handlers.describeDomains())
  }
  server.addService(PeerServiceService, implementation)

  return { listen: () => listen(ServerCredentials.createInsecure()), close }
}

function isSecretValid (expected: Buffer | undefined, found: string | Buffer | undefined): boolean {
  if (expected === undefined) return true
  const actual = Buffer.from(found ?? '')
  return actual.length === expected.length && timingSafeEqual(actual, expected)
}
