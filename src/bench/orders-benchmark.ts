import { createOrderExecutor, type OrderExecutor } from '../coordination/orders/order-executor.js'
import { OrderOutcomeKind, type OrderRequest } from '../coordination/orders/order-outcome.js'
import { defaultOrderSettings } from '../coordination/orders/order-settings.js'
import { ServiceErrorKind, type ServiceClient } from '../coordination/ports/service-client.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import { failure, success } from '../shared/result.js'
import { createVirtualTimerService, drainMicrotasks, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { orderKeyPrefix } from '../state/order-record.js'
import { createFakeKeyValueStore, type FakeKeyValueStore } from '../testing/fake-key-value-store.js'
import type { Benchmark, BenchmarkContext } from './benchmark.js'

const storeWritesPerSecond = 300
const cpuOrderCount = 2_000
const answerBytes = 300
const millisecondsPerSecond = 1_000
const millisecondsPerHour = 3_600_000

interface Bench {
  readonly timers: VirtualTimerService
  readonly random: RandomSource
  readonly store: FakeKeyValueStore
  readonly service: { errorKind: ServiceErrorKind | undefined }
  createNode (nodeId: string): { ledger: OrderExecutor, faults: ReturnType<FakeKeyValueStore['createClient']>['faults'] }
}

function createBench (seed: number): Bench {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const store = createFakeKeyValueStore(timers, random)
  const service: Bench['service'] = { errorKind: undefined }
  const serviceClient: ServiceClient = {
    async call () {
      if (service.errorKind !== undefined) return failure({ kind: service.errorKind, reason: service.errorKind })
      return success({ statusCode: 201, contentType: 'application/json', body: Buffer.alloc(answerBytes, 'a') })
    }
  }
  return {
    timers,
    random,
    store,
    service,
    createNode (nodeId) {
      const client = store.createClient()
      const ledger = createOrderExecutor({
        store: client.store, serviceClient, timers, random, claimant: `${nodeId}:1764800000000`, settings: defaultOrderSettings
      })
      return { ledger, faults: client.faults }
    }
  }
}

function createRequest (key: string): OrderRequest {
  return {
    partner: 'vrany',
    service: 'quarry-orders',
    idempotencyKey: key,
    method: 'POST',
    path: '/orders',
    contentType: 'application/json',
    body: Buffer.alloc(answerBytes, 'b'),
    timeoutMs: 10_000,
    pickBackend: () => '127.0.0.1:1'
  }
}

interface PathCase {
  readonly name: string
  readonly expected: OrderOutcomeKind
  prepare (bench: Bench, faults: Bench['store']['faults']): void
  /** True when the order is submitted at a second node after a first attempt. */
  readonly isRetry: boolean
}

const pathCases: PathCase[] = [
  { name: 'first attempt, done', expected: OrderOutcomeKind.Done, isRetry: false, prepare () {} },
  { name: 'retry elsewhere, replayed', expected: OrderOutcomeKind.Done, isRetry: true, prepare () {} },
  { name: 'refused by the service, released', expected: OrderOutcomeKind.NotRun, isRetry: false, prepare (bench) { bench.service.errorKind = ServiceErrorKind.NotSent } },
  { name: 'connection reset, unknown', expected: OrderOutcomeKind.Unknown, isRetry: false, prepare (bench) { bench.service.errorKind = ServiceErrorKind.Ambiguous } },
  { name: 'reply to the claim lost, read back', expected: OrderOutcomeKind.Done, isRetry: false, prepare (_bench, faults) { faults.lostReplyCount = 1 } },
  { name: 'claim written late, fenced', expected: OrderOutcomeKind.NotRun, isRetry: false, prepare (_bench, faults) { faults.lateWriteCount = 1 } },
  { name: 'store out', expected: OrderOutcomeKind.NotRun, isRetry: false, prepare (bench) { bench.store.faults.isOut = true } }
]

async function countStoreCalls (context: BenchmarkContext, pathCase: PathCase): Promise<void> {
  const bench = createBench(context.seed)
  const first = bench.createNode('entry-1')
  const second = bench.createNode('entry-2')
  for (const [index, node] of [first, second].entries()) {
    void node.ledger.submit(createRequest(`warm-up-${index}`))
    await bench.timers.advanceAsync(1_000)
  }
  if (pathCase.isRetry) void first.ledger.submit(createRequest('order-1'))
  await bench.timers.advanceAsync(1_000)
  pathCase.prepare(bench, second.faults)
  const before = { ...bench.store.counts }
  const submitted = second.ledger.submit(createRequest('order-1'))
  await bench.timers.advanceAsync(60_000)
  const outcome = await submitted
  const { readCount, writeCount } = bench.store.counts
  const verdict = outcome.kind === pathCase.expected ? outcome.kind : `${outcome.kind}, expected ${pathCase.expected}`
  context.print(`${pathCase.name.padEnd(36)} ${verdict.padEnd(9)} writes ${writeCount - before.writeCount}  reads ${readCount - before.readCount}`)
}

/** Measures the processor time of the ledger and of the fake store together, then of the fake store alone. */
async function measureCpu (context: BenchmarkContext): Promise<void> {
  const withLedger = createBench(context.seed)
  const { ledger } = withLedger.createNode('entry-1')
  const ledgerUs = await measureUs(withLedger, index => ledger.submit(createRequest(`order-${index}`)))
  const alone = createBench(context.seed)
  const { store } = alone.store.createClient()
  const granting = store.grantLease(defaultOrderSettings.retentionMs)
  await alone.timers.advanceAsync(5)
  const lease = await granting
  if (!lease.isOk) return
  const leaseId = lease.value
  const value = withLedger.store.peekAll(orderKeyPrefix)[0]?.value ?? ''
  const storeUs = await measureUs(alone, async index => {
    const claimed = await store.compareAndSwap({ key: `${index}`, expectedRevision: 0, value, leaseId })
    if (claimed.isOk) await store.compareAndSwap({ key: `${index}`, expectedRevision: claimed.value, value, leaseId })
  })
  context.print(`processor time an order: ${(ledgerUs - storeUs).toFixed(0)} us (${ledgerUs.toFixed(0)} us with the fake store, of which ${storeUs.toFixed(0)} us the fake store)`)
}

async function measureUs (bench: Bench, act: (index: number) => Promise<unknown>): Promise<number> {
  const startedAt = process.cpuUsage()
  for (let index = 0; index < cpuOrderCount; index += 1) {
    const acted = act(index)
    await bench.timers.advanceAsync(5)
    await acted
    await drainMicrotasks()
  }
  const used = process.cpuUsage(startedAt)
  return (used.user + used.system) / cpuOrderCount
}

async function measureRecords (context: BenchmarkContext): Promise<void> {
  const bench = createBench(context.seed)
  const { ledger } = bench.createNode('entry-1')
  void ledger.submit(createRequest('0e0a3d6e-52ad-4f0e-9a52-2f6f1c2f9a10'))
  await bench.timers.advanceAsync(1_000)
  const entry = bench.store.peekAll(orderKeyPrefix)[0]
  if (entry === undefined) return
  const keyBytes = Buffer.byteLength(entry.key)
  const valueBytes = Buffer.byteLength(entry.value)
  context.print(`record with an answer of ${answerBytes} bytes: key ${keyBytes} bytes, value ${valueBytes} bytes`)
  const ordersPerSecond = storeWritesPerSecond / 2
  const records = ordersPerSecond * defaultOrderSettings.retentionMs / millisecondsPerSecond
  context.print(`ceiling at ${storeWritesPerSecond} writes/s, 2 writes an order: ${ordersPerSecond} orders/s if nothing else is written`)
  context.print(`records kept at that rate for ${defaultOrderSettings.retentionMs / millisecondsPerHour} hours: ${(records / 1e6).toFixed(1)} million, ${(records * (keyBytes + valueBytes) / 1e9).toFixed(1)} GB`)
}

/** Prints store calls an order on each path, processor time an order and bytes a record. */
export const runOrdersBenchmark: Benchmark = async context => {
  for (const pathCase of pathCases) await countStoreCalls(context, pathCase)
  await measureCpu(context)
  await measureRecords(context)
}
