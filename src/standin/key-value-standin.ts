import { z } from 'zod'

import type { KeyValueEntry } from '../coordination/ports/key-value-store.js'
import { createSystemTimerService, delay, type TimerService } from '../shared/timer-service.js'
import { createFaultRoutes, parseBody } from './fault-route.js'
import { createJsonServer, dropConnection, ok, type JsonCall, type JsonHandler, type JsonResponse, type JsonRoute, type JsonServer } from './json-server.js'
import { createKeyValueTable, type KeyValueTable } from './key-value-table.js'

/** Faults of the key-value service; each may change while it runs. */
export interface KeyValueFaults {
  /** Refuses each call with status 503 and drops the connections of waiting watches. */
  isOut: boolean
  /** Delay before a call takes effect. */
  delayMs: number
  /** Number of coming writes that take effect and whose response is lost. */
  lostReplyCount: number
  /** Number of coming writes whose response is lost and that take effect only after `lateWriteDelayMs`. */
  lateWriteCount: number
  lateWriteDelayMs: number
}

/** Calls since the start; a watch counts once. */
export interface KeyValueCounts {
  getCount: number
  listCount: number
  compareAndSwapCount: number
  leaseGrantCount: number
  leaseKeepAliveCount: number
  watchCount: number
}

export interface KeyValueStandinOptions {
  readonly host?: string
  readonly port?: number
  readonly timers?: TimerService
  readonly faults?: Partial<KeyValueFaults>
}

/** An in-memory key-value service over HTTP. */
export interface KeyValueStandin extends JsonServer {
  readonly faults: KeyValueFaults
  readonly counts: KeyValueCounts
  readonly table: KeyValueTable
}

const count = z.number().int().nonnegative()
const faultsSchema = z.strictObject({
  isOut: z.boolean(),
  delayMs: z.number().nonnegative(),
  lostReplyCount: count,
  lateWriteCount: count,
  lateWriteDelayMs: z.number().nonnegative()
}).partial()

const getSchema = z.object({ key: z.string() })
const listSchema = z.object({ prefix: z.string() })
const swapSchema = z.object({
  key: z.string(),
  expectedRevision: count,
  value: z.string().nullable(),
  leaseId: z.string().optional()
})
const grantSchema = z.object({ durationMs: z.number().positive() })
const keepAliveSchema = z.object({ leaseId: z.string() })
const watchSchema = z.object({ key: z.string(), afterRevision: count, timeoutMs: z.number().nonnegative() })

const unavailableResponse: JsonResponse = { statusCode: 503, body: { error: { message: 'the key-value service is unavailable' } } }

/** Creates a stand-in for the platform's key-value service. */
export function createKeyValueStandin (options: KeyValueStandinOptions = {}): KeyValueStandin {
  const timers = options.timers ?? createSystemTimerService()
  const table = createKeyValueTable(timers)
  const faults: KeyValueFaults = { isOut: false, delayMs: 0, lostReplyCount: 0, lateWriteCount: 0, lateWriteDelayMs: 1000, ...options.faults }
  const counts: KeyValueCounts = { getCount: 0, listCount: 0, compareAndSwapCount: 0, leaseGrantCount: 0, leaseKeepAliveCount: 0, watchCount: 0 }
  const waitingWatches = new Set<() => void>()

  /** Waits for `delayMs`; true when the service is unavailable before or after it. */
  async function isUnavailable (): Promise<boolean> {
    if (faults.isOut) return true
    if (faults.delayMs > 0) await delay(timers, faults.delayMs)
    return faults.isOut
  }

  function consumeFault (name: 'lostReplyCount' | 'lateWriteCount'): boolean {
    if (faults[name] === 0) return false
    faults[name] -= 1
    return true
  }

  function createReadRoute<T> (path: string, countName: keyof KeyValueCounts, schema: z.ZodType<T>, run: (body: T) => JsonResponse): JsonRoute {
    return createPostRoute(path, async call => {
      counts[countName] += 1
      const body = parseBody(schema, call.readJson())
      return await isUnavailable() ? unavailableResponse : run(body)
    })
  }

  function createWriteRoute<T> (path: string, countName: keyof KeyValueCounts, schema: z.ZodType<T>, run: (body: T) => JsonResponse): JsonRoute {
    return createPostRoute(path, async call => {
      counts[countName] += 1
      const body = parseBody(schema, call.readJson())
      if (await isUnavailable()) return unavailableResponse
      if (consumeFault('lateWriteCount')) {
        timers.subscribeOnce(faults.lateWriteDelayMs, () => run(body))
        return dropConnection(call)
      }
      const response = run(body)
      return consumeFault('lostReplyCount') ? dropConnection(call) : response
    })
  }

  function waitForChange (call: JsonCall, key: string, timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const end = () => {
        timeout.cancel()
        stopListening()
        waitingWatches.delete(end)
        call.response.off('close', end)
        resolve()
      }
      const timeout = timers.subscribeOnce(timeoutMs, end)
      const stopListening = table.onChange(key, end)
      waitingWatches.add(end)
      call.response.on('close', end)
    })
  }

  function endWatches (): void {
    for (const end of [...waitingWatches]) end()
  }

  async function watch (call: JsonCall): Promise<JsonResponse | undefined> {
    counts.watchCount += 1
    const { key, afterRevision, timeoutMs } = parseBody(watchSchema, call.readJson())
    if (await isUnavailable()) return unavailableResponse
    if (findNewer(key, afterRevision) === undefined) await waitForChange(call, key, timeoutMs)
    if (faults.isOut) return dropConnection(call)
    return ok({ entry: findNewer(key, afterRevision) ?? null })
  }

  function findNewer (key: string, afterRevision: number): KeyValueEntry | undefined {
    const entry = table.get(key)
    return entry !== undefined && entry.revision > afterRevision ? entry : undefined
  }

  function swap ({ value, ...rest }: z.infer<typeof swapSchema>): JsonResponse {
    const outcome = table.compareAndSwap({ ...rest, value: value ?? undefined })
    if (outcome.isOk) return ok({ revision: outcome.value })
    return { statusCode: 409, body: { current: outcome.error.current ?? null } }
  }

  const server = createJsonServer({
    host: options.host,
    port: options.port,
    onClosing () {
      endWatches()
      table.close()
    },
    routes: [
      createReadRoute('/kv/get', 'getCount', getSchema, ({ key }) => ok({ entry: table.get(key) ?? null })),
      createReadRoute('/kv/list', 'listCount', listSchema, ({ prefix }) => ok({ entries: table.list(prefix) })),
      createWriteRoute('/kv/cas', 'compareAndSwapCount', swapSchema, swap),
      createWriteRoute('/kv/lease/grant', 'leaseGrantCount', grantSchema, ({ durationMs }) => ok({ leaseId: table.grantLease(durationMs) })),
      createWriteRoute('/kv/lease/keep-alive', 'leaseKeepAliveCount', keepAliveSchema, ({ leaseId }) => ok({ isAlive: table.keepLeaseAlive(leaseId) })),
      createPostRoute('/kv/watch', watch),
      { method: 'GET', pattern: /^\/stats$/, handle: () => ok(counts) },
      ...createFaultRoutes<KeyValueFaults>(faultsSchema, faults, () => {
        if (faults.isOut) endWatches()
      })
    ]
  })

  return { ...server, faults, counts, table }
}

function createPostRoute (path: string, handle: JsonHandler): JsonRoute {
  return { method: 'POST', pattern: new RegExp(`^${path}$`), handle }
}
