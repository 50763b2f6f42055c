import { credentials, Metadata, status, type CallOptions, type ClientUnaryCall, type ServiceError } from '@grpc/grpc-js'

import {
  OperatorServiceClient,
  type AcceptSplitRequest,
  type ApplyRequest,
  type ApplyResponse,
  type GetConfigRequest,
  type GetConfigResponse,
  type GetSplitRequest,
  type GetSplitResponse,
  type GetStatusRequest,
  type GetStatusResponse,
  type ProposeSplitRequest,
  type ReplaceWitnessesRequest,
  type SetDrainRequest,
  type SplitResponse
} from '../protocol/generated/egretpaddle/operator/v1/operator.js'
import { failure, success, type Result } from '../shared/result.js'
import { createSystemTimerService, type TimerService } from '../shared/timer-service.js'

/** Kinds of failed calls, which determine the exit code of the operators' program. */
export enum OperatorCallErrorKind {
  /** The call is not allowed, invalid or not possible in the present state. */
  Refused = 'refused',
  /** Another change was accepted first. */
  Conflict = 'conflict',
  /** The node cannot be reached or cannot serve the call now. A connection that breaks during the call gives this kind too. */
  Unavailable = 'unavailable',
  /** The call may have been executed. */
  OutcomeUnknown = 'outcomeUnknown'
}

export interface OperatorCallError {
  readonly kind: OperatorCallErrorKind
  readonly message: string
}

export interface OperatorGrpcClientOptions {
  /** Defaults to the system's timers. */
  readonly timers?: TimerService
  /** `host:port` of an entry node's operator API. */
  readonly address: string
  readonly secret: string
  /** CA certificates that verify the server's certificate, as PEM; without them the client uses plain text. */
  readonly certificateAuthority?: Buffer
  readonly callTimeoutMs: number
}

type UnaryMethod<Request, Response> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, response: Response) => void
) => ClientUnaryCall

/** Request and response of each unary call. */
interface UnaryCalls {
  readonly getConfig: [GetConfigRequest, GetConfigResponse]
  readonly apply: [ApplyRequest, ApplyResponse]
  readonly proposeSplit: [ProposeSplitRequest, SplitResponse]
  readonly acceptSplit: [AcceptSplitRequest, SplitResponse]
  readonly getSplit: [GetSplitRequest, GetSplitResponse]
  readonly setDrain: [SetDrainRequest, ApplyResponse]
  readonly replaceWitnesses: [ReplaceWitnessesRequest, ApplyResponse]
  readonly getStatus: [GetStatusRequest, GetStatusResponse]
}

/** A client of the operator API of one entry node. */
export type OperatorGrpcClient = ReturnType<typeof createOperatorGrpcClient>

/** Creates a client of the operator API of one node. It never retries a call. */
export function createOperatorGrpcClient (options: OperatorGrpcClientOptions) {
  const timers = options.timers ?? createSystemTimerService()
  const channel = options.certificateAuthority === undefined
    ? credentials.createInsecure()
    : credentials.createSsl(options.certificateAuthority)
  const client = new OperatorServiceClient(options.address, channel, { 'grpc.enable_retries': 0 })
  const metadata = new Metadata()
  metadata.set('authorization', `Bearer ${options.secret}`)

  return {
    /** Calls a method with a deadline after `callTimeoutMs`; the kind of an error says whether the call may have been executed. */
    call<Name extends keyof UnaryCalls> (name: Name, request: UnaryCalls[Name][0]): Promise<Result<UnaryCalls[Name][1], OperatorCallError>> {
      const method = client[name].bind(client) as unknown as UnaryMethod<UnaryCalls[Name][0], UnaryCalls[Name][1]>
      const deadline = new Date(timers.wallClockMs() + options.callTimeoutMs)
      return new Promise(resolve => {
        method(request, metadata, { deadline }, (error, response) => {
          resolve(error === null ? success(response) : failure(toCallError(error)))
        })
      })
    },
    /** Calls the listener with each status; resolves with the error that ended the stream. */
    watchStatus (listener: (status: GetStatusResponse) => void): Promise<OperatorCallError> {
      const stream = client.watchStatus({}, metadata)
      stream.on('data', listener)
      return new Promise(resolve => {
        stream.on('error', error => resolve(toCallError(error as ServiceError)))
        stream.on('end', () => resolve({ kind: OperatorCallErrorKind.Unavailable, message: 'the node ended the stream' }))
      })
    },
    close: () => client.close()
  }
}

function toCallError (error: ServiceError): OperatorCallError {
  return { kind: toKind(error.code), message: error.details }
}

function toKind (code: status): OperatorCallErrorKind {
  switch (code) {
    case status.ABORTED: return OperatorCallErrorKind.Conflict
    case status.UNAVAILABLE: return OperatorCallErrorKind.Unavailable
    case status.UNKNOWN:
    case status.DEADLINE_EXCEEDED: return OperatorCallErrorKind.OutcomeUnknown
    default: return OperatorCallErrorKind.Refused
  }
}
