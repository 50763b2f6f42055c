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

/** Write rate of the store, from which the maximum order rate and the stored bytes follow. */
const storeWritesPerSecond = 300
const cpuOrderCount = 2_000
const bodyBytes = 300
const millisecondsPerSecond = 1_000
const millisecondsPerHour = 3_600_000

/** Virtual time, a fake store and a fake service that all nodes of a benchmark share. */
interface Fixture {
  readonly timers: VirtualTimerService
  readonly random: RandomSource
  readonly store: FakeKeyValueStore
  readonly service: { errorKind: ServiceErrorKind | undefined }
  createNode (nodeId: string): { executor: OrderExecutor, faults: ReturnType<FakeKeyValueStore['createClient']>['faults'] }
}

function createFixture (seed: number): Fixture {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const store = createFakeKeyValueStore(timers, random)
  const service: Fixture['service'] = { errorKind: undefined }
  const serviceClient: ServiceClient = {
    async call () {
      if (service.errorKind !== undefined) return failure({ kind: service.errorKind, reason: service.errorKind })
      return success({ statusCode: 201, contentType: 'application/json', body: Buffer.alloc(bodyBytes, 'a') })
    }
  }
  return {
    timers,
    random,
    store,
    service,
    createNode (nodeId) {
      const client = store.createClient()
      // The claimant is the node id with the incarnation, a start time in ms.
      const executor = createOrderExecutor({
        store: client.store, serviceClient, timers, random, claimant: `${nodeId}:1764800000000`, settings: defaultOrderSettings
      })
      return { executor, faults: client.faults }
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
    body: Buffer.alloc(bodyBytes, 'b'),
    timeoutMs: 10_000,
    pickBackend: () => '127.0.0.1:1'
  }
}

/** One way in which the execution of an order can go. */
interface OrderCase {
  readonly name: string
  readonly expected: OrderOutcomeKind
  /** Injects the faults that lead to this case. */
  prepare (fixture: Fixture, faults: Fixture['store']['faults']): void
  /** Whether another node has executed the order before. */
  readonly isRetry: boolean
}

const orderCases: OrderCase[] = [
  { name: 'first attempt, done', expected: OrderOutcomeKind.Done, isRetry: false, prepare () {} },
  { name: 'retry elsewhere, replayed', expected: OrderOutcomeKind.Done, isRetry: true, prepare () {} },
  { name: 'refused by the service, released', expected: OrderOutcomeKind.NotRun, isRetry: false, prepare (fixture) { fixture.service.errorKind = ServiceErrorKind.NotSent } },
  { name: 'connection reset, unknown', expected: OrderOutcomeKind.Unknown, isRetry: false, prepare (fixture) { fixture.service.errorKind = ServiceErrorKind.Ambiguous } },
  { name: 'reply to the claim lost, read back', expected: OrderOutcomeKind.Done, isRetry: false, prepare (_fixture, faults) { faults.lostReplyCount = 1 } },
  { name: 'claim written late, fenced', expected: OrderOutcomeKind.NotRun, isRetry: false, prepare (_fixture, faults) { faults.lateWriteCount = 1 } },
  { name: 'store out', expected: OrderOutcomeKind.NotRun, isRetry: false, prepare (fixture) { fixture.store.faults.isOut = true } }
]

async function countStoreCalls (context: BenchmarkContext, orderCase: OrderCase): Promise<void> {
  const fixture = createFixture(context.seed)
  const first = fixture.createNode('entry-1')
  const second = fixture.createNode('entry-2')
  for (const [index, node] of [first, second].entries()) {
    void node.executor.submit(createRequest(`warm-up-${index}`))
    await fixture.timers.advanceAsync(1_000)
  }
  if (orderCase.isRetry) void first.executor.submit(createRequest('order-1'))
  await fixture.timers.advanceAsync(1_000)
  orderCase.prepare(fixture, second.faults)
  const before = { ...fixture.store.counts }
  const submission = second.executor.submit(createRequest('order-1'))
  await fixture.timers.advanceAsync(60_000)
  const outcome = await submission
  const { readCount, writeCount } = fixture.store.counts
  const result = outcome.kind === orderCase.expected ? outcome.kind : `${outcome.kind}, expected ${orderCase.expected}`
  context.print(`${orderCase.name.padEnd(36)} ${result.padEnd(9)} writes ${writeCount - before.writeCount}  reads ${readCount - before.readCount}`)
}

/**
 * Prints the processor time that the executor takes for one order. Subtracts the time that the same writes take on the
 * fake store alone.
 */
async function measureCpu (context: BenchmarkContext): Promise<void> {
  const withExecutor = createFixture(context.seed)
  const { executor } = withExecutor.createNode('entry-1')
  const executorUs = await measureUs(withExecutor, index => executor.submit(createRequest(`order-${index}`)))
  const storeOnly = createFixture(context.seed)
  const { store } = storeOnly.store.createClient()
  const leaseGrant = store.grantLease(defaultOrderSettings.retentionMs)
  await storeOnly.timers.advanceAsync(5)
  const lease = await leaseGrant
  if (!lease.isOk) return
  const leaseId = lease.value
  const value = withExecutor.store.peekAll(orderKeyPrefix)[0]?.value ?? ''
  const storeUs = await measureUs(storeOnly, async index => {
    const claimed = await store.compareAndSwap({ key: `${index}`, expectedRevision: 0, value, leaseId })
    if (claimed.isOk) await store.compareAndSwap({ key: `${index}`, expectedRevision: claimed.value, value, leaseId })
  })
  context.print(`processor time an order: ${(executorUs - storeUs).toFixed(0)} us (${executorUs.toFixed(0)} us with the fake store, of which ${storeUs.toFixed(0)} us the fake store)`)
}

/** Returns the mean processor time of one call in microseconds. */
async function measureUs (fixture: Fixture, run: (index: number) => Promise<unknown>): Promise<number> {
  const cpuAtStart = process.cpuUsage()
  for (let index = 0; index < cpuOrderCount; index += 1) {
    const promise = run(index)
    await fixture.timers.advanceAsync(5)
    await promise
    await drainMicrotasks()
  }
  const used = process.cpuUsage(cpuAtStart)
  return (used.user + used.system) / cpuOrderCount
}

/** Prints the size of a stored order record, and the order rate and the stored bytes that follow from it. */
async function measureRecords (context: BenchmarkContext): Promise<void> {
  const fixture = createFixture(context.seed)
  const { executor } = fixture.createNode('entry-1')
  void executor.submit(createRequest('0e0a3d6e-52ad-4f0e-9a52-2f6f1c2f9a10'))
  await fixture.timers.advanceAsync(1_000)
  const entry = fixture.store.peekAll(orderKeyPrefix)[0]
  if (entry === undefined) return
  const keyBytes = Buffer.byteLength(entry.key)
  const valueBytes = Buffer.byteLength(entry.value)
  context.print(`record with an answer of ${bodyBytes} bytes: key ${keyBytes} bytes, value ${valueBytes} bytes`)
  const ordersPerSecond = storeWritesPerSecond / 2
  const records = ordersPerSecond * defaultOrderSettings.retentionMs / millisecondsPerSecond
  context.print(`ceiling at ${storeWritesPerSecond} writes/s, 2 writes an order: ${ordersPerSecond} orders/s if nothing else is written`)
  context.print(`records kept at that rate for ${defaultOrderSettings.retentionMs / millisecondsPerHour} hours: ${(records / 1e6).toFixed(1)} million, ${(records * (keyBytes + valueBytes) / 1e9).toFixed(1)} GB`)
}

/** Prints the store calls of an order in each case, the processor time of an order and the bytes of a record. */
export const runOrdersBenchmark: Benchmark = async context => {
  for (const orderCase of orderCases) await countStoreCalls(context, orderCase)
  await measureCpu(context)
  await measureRecords(context)
}
