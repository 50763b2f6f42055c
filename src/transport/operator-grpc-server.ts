import { ServerCredentials, status, type Metadata, type sendUnaryData, type ServerUnaryCall, type ServerWritableStream } from '@grpc/grpc-js'
import { type Stream } from 'most'

import { OperatorErrorKind, type OperatorError } from '../coordination/operators/operator-error.js'
import type { OperatorIdentity } from '../coordination/operators/operator-identity.js'
import type { OperatorService } from '../coordination/operators/operator-service.js'
import {
  OperatorServiceService,
  type GetStatusRequest,
  type GetStatusResponse,
  type OperatorServiceServer
} from '../protocol/generated/egretpaddle/operator/v1/operator.js'
import { failure, success, type Result } from '../shared/result.js'
import { createGuardedGrpcServer, type GrpcServerLimits } from './guarded-grpc-server.js'

/** Certificate and key of the server, as PEM. */
export interface OperatorTls {
  readonly certificate: Buffer
  readonly key: Buffer
}

export interface OperatorGrpcServerOptions {
  readonly host: string
  readonly port: number
  /** Without it the server uses plain text, which needs a loopback host or `allowsPlainText`. */
  readonly tls?: OperatorTls
  readonly allowsPlainText?: boolean
  readonly limits: GrpcServerLimits
  readonly service: OperatorService
  /** Returns the status that `getStatus` and `watchStatus` respond with. */
  describeFleet (): GetStatusResponse | Promise<GetStatusResponse>
  /** Emits whenever the status may have changed. */
  readonly statusChanges: Stream<unknown>
}

/** The gRPC server of the operator API. */
export interface OperatorGrpcServer {
  /** Resolves with the port once the server listens; rejects when the address cannot be bound or the host needs TLS. */
  listen (): Promise<number>
  close (): void
}

const loopbackHosts = ['127.0.0.1', '::1', 'localhost']
const bearerPrefix = 'Bearer '
const maxRequestBytes = 2_097_152

const grpcStatusByErrorKind = {
  [OperatorErrorKind.Unauthenticated]: status.UNAUTHENTICATED,
  [OperatorErrorKind.NotAllowed]: status.PERMISSION_DENIED,
  [OperatorErrorKind.Invalid]: status.INVALID_ARGUMENT,
  [OperatorErrorKind.NotPossible]: status.FAILED_PRECONDITION,
  [OperatorErrorKind.Conflict]: status.ABORTED,
  [OperatorErrorKind.Unavailable]: status.UNAVAILABLE,
  [OperatorErrorKind.OutcomeUnknown]: status.UNKNOWN
}

/** Creates the server, which does not listen yet. */
export function createOperatorGrpcServer (options: OperatorGrpcServerOptions): OperatorGrpcServer {
  const { service, host, port, limits } = options
  const { server, listen, close } = createGuardedGrpcServer({
    ...limits,
    host,
    port,
    maxMessageBytes: maxRequestBytes,
    findRefusal (metadata) {
      const operator = authenticate(metadata)
      return operator.isOk ? undefined : toStatus(operator.error)
    }
  })

  function authenticate (metadata: Metadata): Result<OperatorIdentity, OperatorError> {
    const header = String(metadata.get('authorization')[0] ?? '')
    if (header.startsWith(bearerPrefix)) return service.authenticate(header.slice(bearerPrefix.length))
    return failure({ kind: OperatorErrorKind.Unauthenticated, message: 'metadata "authorization: Bearer <secret>" is missing' })
  }

  function handleUnary<Request, Response> (handler: (operator: OperatorIdentity, request: Request) => Result<Response, OperatorError> | Promise<Result<Response, OperatorError>>) {
    return async (call: ServerUnaryCall<Request, Response>, callback: sendUnaryData<Response>) => {
      const operator = authenticate(call.metadata)
      const outcome = operator.isOk ? await handler(operator.value, call.request) : operator
      if (outcome.isOk) callback(null, outcome.value)
      else callback(toStatus(outcome.error))
    }
  }

  function watchStatus (call: ServerWritableStream<GetStatusRequest, GetStatusResponse>): void {
    const operator = authenticate(call.metadata)
    if (!operator.isOk) {
      call.destroy(Object.assign(new Error(operator.error.message), toStatus(operator.error)))
      return
    }
    let isWriting = false
    let isChanged = false
    /** One description at a time: a client that does not read gets the newest one once it does. */
    const writeStatus = async (): Promise<void> => {
      isChanged = true
      if (isWriting) return
      isWriting = true
      try {
        while (isChanged && !call.cancelled) {
          isChanged = false
          const description = await options.describeFleet()
          if (!call.cancelled && !call.write(description)) await waitForDrain(call)
        }
      } finally {
        isWriting = false
      }
    }
    void writeStatus()
    const subscription = options.statusChanges.subscribe({
      next: () => { void writeStatus() },
      error: () => call.end(),
      complete: () => call.end()
    })
    call.on('cancelled', () => subscription.unsubscribe())
  }

  const implementation: OperatorServiceServer = {
    getConfig: handleUnary(operator => service.getConfig(operator)),
    getSplit: handleUnary(() => service.getSplit()),
    apply: handleUnary(service.apply),
    proposeSplit: handleUnary(service.proposeSplit),
    acceptSplit: handleUnary((operator, request) => service.acceptSplit(operator, request.expectedVersion)),
    setDrain: handleUnary(service.setDrain),
    replaceWitnesses: handleUnary(service.replaceWitnesses),
    getStatus: handleUnary(async () => success(await options.describeFleet())),
    watchStatus
  }
  server.addService(OperatorServiceService, implementation)

  return {
    listen () {
      const credentials = createCredentials(options)
      if (credentials !== undefined) return listen(credentials)
      return Promise.reject(new Error(`operator API on "${host}" needs TLS, a loopback host, or the setting operators.allowsPlainText`))
    },
    close
  }
}

function createCredentials ({ host, tls, allowsPlainText }: OperatorGrpcServerOptions): ServerCredentials | undefined {
  if (tls !== undefined) return ServerCredentials.createSsl(null, [{ cert_chain: tls.certificate, private_key: tls.key }])
  const isPlainTextAllowed = loopbackHosts.includes(host) || allowsPlainText === true
  return isPlainTextAllowed ? ServerCredentials.createInsecure() : undefined
}

function waitForDrain (call: ServerWritableStream<GetStatusRequest, GetStatusResponse>): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      call.off('drain', finish)
      call.off('cancelled', finish)
      resolve()
    }
    call.on('drain', finish)
    call.on('cancelled', finish)
  })
}

function toStatus (error: OperatorError): { code: status, details: string } {
  return { code: grpcStatusByErrorKind[error.kind], details: error.message }
}
