import { ServiceErrorKind, type ServiceClient, type ServiceError, type ServiceRequest, type ServiceResponse } from '../coordination/ports/service-client.js'
import { failure, success, type Result } from '../shared/result.js'
import { delay, type TimerService } from '../shared/timer-service.js'
import type { OrdersOracle } from './orders-oracle.js'

/** What happens to one coming call of the fake service. */
export enum ServiceFaultKind {
  Refused = 'refused',
  /** The order runs at once, the answer comes after the delay. */
  Slow = 'slow',
  /** The order runs, the connection is reset instead of an answer. */
  ReplyDropped = 'replyDropped',
  /** The order is lost on its way, the connection is reset. */
  RequestLost = 'requestLost',
  /** The connection is reset, and the order runs after the delay. */
  LateArrival = 'lateArrival'
}

export interface ServiceFault {
  readonly kind: ServiceFaultKind
  readonly delayMs: number
}

export interface FakeOrderService {
  readonly client: ServiceClient
  /** Faults of the coming calls, first in first out. */
  readonly faults: ServiceFault[]
}

const travelMs = 3
const okStatusCode = 200
const notFoundStatusCode = 404

/** Creates a service that runs each order it gets, and tells the oracle. */
export function createFakeOrderService (timers: TimerService, oracle: OrdersOracle): FakeOrderService {
  const faults: ServiceFault[] = []

  function respond (statusCode: number, body: string): Result<ServiceResponse, ServiceError> {
    return success({ statusCode, contentType: 'application/json', body: Buffer.from(body) })
  }

  function runOrder (request: ServiceRequest): Result<ServiceResponse, ServiceError> {
    const answer = oracle.noteRun(request.idempotencyKey ?? '', request.traceParent ?? '', request.body.toString())
    return respond(okStatusCode, answer)
  }

  function reset (request: ServiceRequest): Result<ServiceResponse, ServiceError> {
    oracle.noteReset(request.idempotencyKey ?? '')
    return failure({ kind: ServiceErrorKind.Ambiguous, reason: 'connection reset' })
  }

  async function callWithFault (request: ServiceRequest, fault: ServiceFault | undefined): Promise<Result<ServiceResponse, ServiceError>> {
    await delay(timers, travelMs)
    switch (fault?.kind) {
      case undefined:
        return runOrder(request)
      case ServiceFaultKind.Refused:
        return failure({ kind: ServiceErrorKind.NotSent, reason: 'connection refused' })
      case ServiceFaultKind.Slow: {
        const answer = runOrder(request)
        await delay(timers, fault.delayMs)
        return answer
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
          await delay(timers, travelMs)
          const key = decodeURIComponent(request.path.slice(request.path.lastIndexOf('/') + 1))
          return oracle.hasRun(key) ? respond(okStatusCode, '{"state":"done"}') : respond(notFoundStatusCode, '{}')
        }
        oracle.noteSent(request.traceParent ?? '', timers.nowMs())
        const timeout = delay(timers, request.timeoutMs).then(() => failure<ServiceError>({ kind: ServiceErrorKind.Ambiguous, reason: 'timeout' }))
        return Promise.race([callWithFault(request, faults.shift()), timeout])
      }
    }
  }
}
