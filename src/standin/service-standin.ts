import { z } from 'zod'

import { createSystemTimerService, delay, type TimerService } from '../shared/timer-service.js'
import { createFaultRoutes } from './fault-route.js'
import { createJsonServer, dropConnection, ok, type JsonCall, type JsonResponse, type JsonServer } from './json-server.js'

/** Faults of the plain service; each may change while it runs. */
export interface ServiceFaults {
  /** Time that a call takes to run. */
  delayMs: number
  /** Number of coming calls that run and then close the connection without a response. */
  dropsReplyCount: number
  /** Refuses each call with status 503 without running it. */
  isRefusing: boolean
}

export interface ServiceStandinOptions {
  readonly host?: string
  readonly port?: number
  readonly timers?: TimerService
  readonly faults?: Partial<ServiceFaults>
}

/** Numbers of runs since the start. */
export interface ServiceCounts {
  /** Runs for each idempotency key. */
  readonly runs: Readonly<Record<string, number>>
  /** Runs with and without a key. */
  readonly total: number
}

/** A plain service that counts how often each order ran, and runs a repeated order again. */
export interface ServiceStandin extends JsonServer {
  readonly faults: ServiceFaults
  getCounts (): ServiceCounts
}

const faultsSchema = z.strictObject({
  delayMs: z.number().nonnegative(),
  dropsReplyCount: z.number().int().nonnegative(),
  isRefusing: z.boolean()
}).partial()

/** Creates a stand-in for a plain service. */
export function createServiceStandin (options: ServiceStandinOptions = {}): ServiceStandin {
  const timers = options.timers ?? createSystemTimerService()
  const faults: ServiceFaults = { delayMs: 0, dropsReplyCount: 0, isRefusing: false, ...options.faults }
  const runs = new Map<string, number>()
  let totalCount = 0

  function countRun (key: string | undefined): number {
    totalCount += 1
    if (key === undefined) return totalCount
    const runCount = (runs.get(key) ?? 0) + 1
    runs.set(key, runCount)
    return runCount
  }

  async function run (call: JsonCall): Promise<JsonResponse | undefined> {
    if (faults.isRefusing) return { statusCode: 503, body: { error: { message: 'the service refuses calls' } } }
    const key = readKey(call)
    const runCount = countRun(key)
    if (faults.delayMs > 0) await delay(timers, faults.delayMs)
    if (faults.dropsReplyCount > 0) {
      faults.dropsReplyCount -= 1
      return dropConnection(call)
    }
    return ok({ state: 'done', method: call.method, path: call.path, key: key ?? null, runCount, bodyBytes: call.rawBody.length })
  }

  function showOrder (call: JsonCall): JsonResponse {
    const { key } = call.parameters
    if (key !== undefined && runs.has(key)) return ok({ state: 'done' })
    return { statusCode: 404, body: { state: 'absent' } }
  }

  function getCounts (): ServiceCounts {
    return { runs: Object.fromEntries(runs), total: totalCount }
  }

  const server = createJsonServer({
    host: options.host,
    port: options.port,
    routes: [
      { method: 'GET', pattern: /^\/counts$/, handle: () => ok(getCounts()) },
      { method: 'GET', pattern: /^\/orders\/(?<key>[^/]+)$/, handle: showOrder },
      ...createFaultRoutes<ServiceFaults>(faultsSchema, faults),
      { method: '*', pattern: /^.*$/, handle: run }
    ]
  })

  return { ...server, faults, getCounts }
}

function readKey (call: JsonCall): string | undefined {
  const header = call.request.headers['idempotency-key']
  return typeof header === 'string' ? header : undefined
}
