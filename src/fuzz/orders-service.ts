import { ServiceErrorKind, type ServiceClient, type ServiceError, type ServiceRequest, type ServiceResponse } from '../coordination/ports/service-client.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { OrdersOracle } from './orders-oracle.js'

/** Faults that the fake service can apply to a call. */
export enum ServiceFaultKind {
  /** The connection is refused; the order does not run. */
  Refused = 'refused',
  /** The order runs at once; the response follows after the delay. */
  Slow = 'slow',
  /** The order runs, but the connection is reset before the response. */
  ReplyDropped = 'replyDropped',
  /** The order is lost in transit, and the connection is reset. */
  RequestLost = 'requestLost',
  /** The connection is reset, and the order runs after the delay. */
  LateArrival = 'lateArrival'
}

/** One fault; kinds without a delay ignore `delayMs`. */
export interface ServiceFault {
  readonly kind: ServiceFaultKind
  readonly delayMs: number
}

/** A fake plain service that runs orders. */
export interface FakeOrderService {
  readonly client: ServiceClient
  /** Queue of faults; each call except a status request takes the first one. */
  readonly faults: ServiceFault[]
}

const networkDelayMs = 3
const okStatusCode = 200
const notFoundStatusCode = 404

/** Creates a service that runs every order it receives and reports each run to the oracle. */
export function createFakeOrderService (timers: TimerService, oracle: OrdersOracle): FakeOrderService {
  const faults: ServiceFault[] = []

  function respond (statusCode: number, body: string): Result<ServiceResponse, ServiceError> {
    return success({ statusCode, contentType: 'application/json', body: Buffer.from(body) })
  }

  /** The trace parent carries the attempt id, by which the oracle identifies the attempt. */
  function runOrder (request: ServiceRequest): Result<ServiceResponse, ServiceError> {
    const responseBody = oracle.recordRun(request.idempotencyKey ?? '', request.traceParent ?? '', request.body.toString())
    return respond(okStatusCode, responseBody)
  }

  function reset (request: ServiceRequest): Result<ServiceResponse, ServiceError> {
    oracle.recordReset(request.idempotencyKey ?? '')
    return failure({ kind: ServiceErrorKind.Ambiguous, reason: 'connection reset' })
  }

  async function callWithFault (request: ServiceRequest, fault: ServiceFault | undefined): Promise<Result<ServiceResponse, ServiceError>> {
    await delay(timers, networkDelayMs)
    switch (fault?.kind) {
      case undefined:
        return runOrder(request)
      case ServiceFaultKind.Refused:
        return failure({ kind: ServiceErrorKind.NotSent, reason: 'connection refused' })
      case ServiceFaultKind.Slow: {
        const response = runOrder(request)
        await delay(timers, fault.delayMs)
        return response
      }
      case ServiceFaultKind.ReplyDropped:
        runOrder(request)
        return reset(request)
      case ServiceFaultKind.RequestLost:
        return reset(request)
      case ServiceFaultKind.LateArrival:
        timers.subscribeOnce(fault.delayMs, () => { runOrder(request) })
        return reset(request)
    }
  }

  return {
    faults,
    client: {
      async call (_address, request) {
        if (request.method === 'GET') {
          await delay(timers, networkDelayMs)
          const key = decodeURIComponent(request.path.slice(request.path.lastIndexOf('/') + 1))
          return oracle.hasRun(key) ? respond(okStatusCode, '{"state":"done"}') : respond(notFoundStatusCode, '{}')
        }
        oracle.recordSent(request.traceParent ?? '', timers.nowMs())
        const timeout = delay(timers, request.timeoutMs).then(() => failure<ServiceError>({ kind: ServiceErrorKind.Ambiguous, reason: 'timeout' }))
        return Promise.race([callWithFault(request, faults.shift()), timeout])
      }
    }
  }
}
