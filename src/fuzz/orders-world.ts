import { createOrderExecutor, type OrderExecutor, type OrderExecutorOptions } from '../coordination/orders/order-executor.js'
import type { OrderOutcome } from '../coordination/orders/order-outcome.js'
import { defaultOrderSettings, getOutcomeDueInMs, type OrderSettings } from '../coordination/orders/order-settings.js'
import type { KeyValueStore } from '../coordination/ports/key-value-store.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeKeyValueStore, type FakeKeyValueStore, type FakeStoreFaults } from '../testing/fake-key-value-store.js'
import { createOrdersOracle, type OrdersOracle } from './orders-oracle.js'
import { createFakeOrderService, type FakeOrderService } from './orders-service.js'
import { createProcessTimers, createSimulatedProcess, type SimulatedProcess } from './simulated-process.js'

export const ordersNodeCount = 3

/** The default settings with shorter times, so that claims become overdue within a history. */
export const ordersFuzzSettings: OrderSettings = {
  ...defaultOrderSettings,
  sendWindowMs: 500,
  callTimeoutMs: 2_000,
  outcomeSlackMs: 500,
  minRetryAfterMs: 100,
  retryAfterSpreadMs: 400,
  maxBackoffMs: 400
}

/** Replaces ports of a node, to create a deliberately broken variant. */
export type PortMutator = (options: OrderExecutorOptions) => OrderExecutorOptions

interface SimulatedNode {
  readonly nodeId: string
  readonly process: SimulatedProcess
  readonly faults: FakeStoreFaults
  readonly executor: OrderExecutor
}

/** Simulated entry nodes that share one store and one plain service, in virtual time. */
export interface OrdersWorld {
  readonly timers: VirtualTimerService
  readonly store: FakeKeyValueStore
  readonly service: FakeOrderService
  readonly oracle: OrdersOracle
  /** Whether nodes find a backend server of the service. */
  hasBackend: boolean
  submit (nodeIndex: number, key: string, body: string, deadlineMs: number): Promise<OrderOutcome>
  requestStatus (nodeIndex: number, key: string): void
  pause (nodeIndex: number): void
  resume (nodeIndex: number): void
  /** Kills the node's process and starts another one under the same id. */
  restart (nodeIndex: number): void
  setStoreOut (nodeIndex: number, isOut: boolean): void
  getStoreFaults (nodeIndex: number): FakeStoreFaults
  /** Throws if the oracle found a violation. */
  assertHolds (): void
  /** Ends all faults, then checks that every key gets a final outcome and every node drains. */
  settle (): Promise<void>
}

const partner = 'vrany'
const service = 'quarry'
const settleRoundMs = 5_000
const maxSettleRounds = 6

/** Creates a world with running nodes; the seed drives all its randomness. */
export function createOrdersWorld (seed: number, mutatePorts: PortMutator = options => options): OrdersWorld {
  const timers = createVirtualTimerService()
  const random = createRandomSource(seed)
  const store = createFakeKeyValueStore(timers, random)
  const oracle = createOrdersOracle()
  const orderService = createFakeOrderService(timers, oracle)
  const nodes: SimulatedNode[] = []
  let attemptCount = 0
  let incarnation = 0

  function createNode (nodeIndex: number): SimulatedNode {
    incarnation += 1
    const nodeId = `entry-${nodeIndex}`
    const nodeProcess = createSimulatedProcess()
    const client = store.createClient()
    const executor = createOrderExecutor(mutatePorts({
      store: holdStoreReplies(client.store, nodeProcess),
      serviceClient: { call: (address, request) => holdReplyWhileSuspended(nodeProcess, orderService.client.call(address, request)) },
      timers: createProcessTimers(timers, nodeProcess),
      random: createNodeRandom(random),
      claimant: `${nodeId}:${incarnation}`,
      settings: ordersFuzzSettings
    }))
    return { nodeId, process: nodeProcess, faults: client.faults, executor }
  }

  for (let index = 0; index < ordersNodeCount; index += 1) nodes.push(createNode(index))

  const getNode = (nodeIndex: number): SimulatedNode => nodes[nodeIndex % ordersNodeCount] as SimulatedNode

  function assertHolds (): void {
    if (oracle.violations.length > 0) throw new Error(oracle.violations.join('; '))
  }

  const world: OrdersWorld = {
    timers,
    store,
    service: orderService,
    oracle,
    hasBackend: true,
    async submit (nodeIndex, key, body, deadlineMs) {
      attemptCount += 1
      const attemptId = `attempt-${attemptCount}`
      const node = getNode(nodeIndex)
      oracle.recordAttempt(attemptId, key, body, node.nodeId, timers.nowMs() + deadlineMs)
      if (!node.process.isRunning || node.faults.isOut || store.faults.isOut) oracle.recordNodeFault(node.nodeId)
      const outcome = await node.executor.submit({
        partner,
        service,
        idempotencyKey: key,
        method: 'POST',
        path: '/orders',
        contentType: 'application/json',
        body: Buffer.from(body),
        timeoutMs: deadlineMs,
        pickBackend: () => world.hasBackend ? 'backend:1' : undefined,
        traceParent: attemptId
      })
      oracle.recordOutcome(attemptId, outcome)
      return outcome
    },
    requestStatus (nodeIndex, key) {
      const wasRun = oracle.hasRun(key)
      const request = { partner, service, idempotencyKey: key, statusPath: '/orders/{key}', pickBackend: () => 'backend:1' }
      void getNode(nodeIndex).executor.getStatus(request).then(status => oracle.recordStatus(key, status, wasRun))
    },
    pause (nodeIndex) {
      oracle.recordNodeFault(getNode(nodeIndex).nodeId)
      getNode(nodeIndex).process.suspend()
    },
    resume (nodeIndex) {
      resumeProcess(getNode(nodeIndex).process)
    },
    restart (nodeIndex) {
      const node = getNode(nodeIndex)
      oracle.recordNodeFault(node.nodeId)
      node.process.kill()
      nodes[nodeIndex % ordersNodeCount] = createNode(nodeIndex % ordersNodeCount)
    },
    setStoreOut (nodeIndex, isOut) {
      if (isOut) oracle.recordNodeFault(getNode(nodeIndex).nodeId)
      getNode(nodeIndex).faults.isOut = isOut
    },
    getStoreFaults: nodeIndex => getNode(nodeIndex).faults,
    assertHolds,
    async settle () {
      endFaults()
      await timers.advanceAsync(2 * getOutcomeDueInMs(ordersFuzzSettings))
      for (const key of oracle.getKeys()) await settleKey(key)
      await settleDrains()
      assertHolds()
    }
  }

  function endFaults (): void {
    world.hasBackend = true
    orderService.faults.length = 0
    for (const faults of [store.faults, ...nodes.map(node => node.faults)]) {
      Object.assign(faults, { isOut: false, requestDelayMs: 0, replyDelayMs: 0, lostReplyCount: 0, lateWriteCount: 0 })
    }
    for (const node of nodes) resumeProcess(node.process)
  }

  /** Retries each body of the key until one is reported done or unknown, and records a violation if none is. */
  async function settleKey (key: string): Promise<void> {
    for (let round = 0; round < maxSettleRounds; round += 1) {
      for (const body of oracle.getBodies(key)) {
        const submitted = world.submit(round, key, body, settleRoundMs)
        await timers.advanceAsync(settleRoundMs)
        const outcome = await submitted
        if (outcome.kind === 'done' || outcome.kind === 'unknown') return
      }
    }
    oracle.violations.push(`"${key}" has no final outcome after all faults ended`)
  }

  async function settleDrains (): Promise<void> {
    const waiting = new Set(nodes.map(node => node.nodeId))
    for (const node of nodes) void node.executor.drain().then(() => waiting.delete(node.nodeId))
    await timers.advanceAsync(settleRoundMs)
    if (waiting.size > 0) oracle.violations.push(`${[...waiting].join(', ')} did not drain after all faults ended`)
  }

  return world
}

function createNodeRandom (random: RandomSource): RandomSource {
  return createRandomSource(random.nextInt(2 ** 31))
}

/** Delays a reply while the process is suspended. The call itself continues, as its effects lie outside the process. */
async function holdReplyWhileSuspended<T> (nodeProcess: SimulatedProcess, reply: Promise<T>): Promise<T> {
  const value = await reply
  await nodeProcess.waitUntilRunning()
  return value
}

function resumeProcess (nodeProcess: SimulatedProcess): void {
  nodeProcess.resume()
  nodeProcess.runPending()
}

/** Delays results of the store while the process is suspended; calls that were sent reach the store. */
function holdStoreReplies (store: KeyValueStore, nodeProcess: SimulatedProcess): KeyValueStore {
  return {
    get: key => holdReplyWhileSuspended(nodeProcess, store.get(key)),
    list: prefix => holdReplyWhileSuspended(nodeProcess, store.list(prefix)),
    compareAndSwap: request => holdReplyWhileSuspended(nodeProcess, store.compareAndSwap(request)),
    watch: request => holdReplyWhileSuspended(nodeProcess, store.watch(request)),
    grantLease: durationMs => holdReplyWhileSuspended(nodeProcess, store.grantLease(durationMs)),
    renewLease: leaseId => holdReplyWhileSuspended(nodeProcess, store.renewLease(leaseId))
  }
}
