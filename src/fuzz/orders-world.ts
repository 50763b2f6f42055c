import { createOrderExecutor, type OrderExecutor, type OrderExecutorOptions } from '../coordination/orders/order-executor.js'
import type { OrderOutcome } from '../coordination/orders/order-outcome.js'
import { defaultOrderSettings, getOutcomeDueInMs, type OrderSettings } from '../coordination/orders/order-settings.js'
import type { KeyValueStore } from '../coordination/ports/key-value-store.js'
import { createRandomSource, type RandomSource } from '../shared/random-source.js'
import { createVirtualTimerService, type VirtualTimerService } from '../shared/virtual-timer-service.js'
import { createFakeKeyValueStore, type FakeKeyValueStore, type FakeStoreFaults } from '../testing/fake-key-value-store.js'
import { createOrdersOracle, type OrdersOracle } from './orders-oracle.js'
import { createFakeOrderService, type FakeOrderService } from './orders-service.js'
import { createGatedTimers, createProcessGate, type ProcessGate } from './process-gate.js'

export const ordersNodeCount = 3

/** Times are shortened so that due times pass within a history. */
export const ordersFuzzSettings: OrderSettings = {
  ...defaultOrderSettings,
  sendWindowMs: 500,
  callTimeoutMs: 2_000,
  outcomeSlackMs: 500,
  minRetryAfterMs: 100,
  retryAfterSpreadMs: 400,
  maxBackoffMs: 400
}

/** Replaces the ports of a node, for a deliberately broken variant. */
export type PortBreaker = (options: OrderExecutorOptions) => OrderExecutorOptions

interface SimulatedNode {
  readonly nodeId: string
  readonly gate: ProcessGate
  readonly faults: FakeStoreFaults
  readonly ledger: OrderExecutor
}

/** Several entry nodes before one store and one service, in virtual time. */
export interface OrdersWorld {
  readonly timers: VirtualTimerService
  readonly store: FakeKeyValueStore
  readonly service: FakeOrderService
  readonly oracle: OrdersOracle
  hasBackend: boolean
  submit (nodeIndex: number, key: string, body: string, deadlineMs: number): Promise<OrderOutcome>
  askStatus (nodeIndex: number, key: string): void
  pause (nodeIndex: number): void
  resume (nodeIndex: number): void
  /** Kills the node's process and starts another one under the same name. */
  restart (nodeIndex: number): void
  setStoreOut (nodeIndex: number, isOut: boolean): void
  getStoreFaults (nodeIndex: number): FakeStoreFaults
  /** Throws when the oracle found a violation. */
  assertHolds (): void
  /** Ends all faults and checks that every key comes to an end. */
  settle (): Promise<void>
}

const partner = 'vrany'
const service = 'quarry'
const settleRoundMs = 5_000
const maxSettleRounds = 6

/** Creates a world whose randomness comes from the seed. */
export function createOrdersWorld (seed: number, breakPorts: PortBreaker = options => options): OrdersWorld {
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
    const gate = createProcessGate()
    const client = store.createClient()
    const ledger = createOrderExecutor(breakPorts({
      store: gateStore(client.store, gate),
      serviceClient: { call: (address, request) => gateReply(gate, orderService.client.call(address, request)) },
      timers: createGatedTimers(timers, gate),
      random: createNodeRandom(random),
      claimant: `${nodeId}:${incarnation}`,
      settings: ordersFuzzSettings
    }))
    return { nodeId, gate, faults: client.faults, ledger }
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
      oracle.noteAttempt(attemptId, key, body, node.nodeId, timers.nowMs() + deadlineMs)
      if (!node.gate.isOpen || node.faults.isOut || store.faults.isOut) oracle.noteNodeDisturbed(node.nodeId)
      const outcome = await node.ledger.submit({
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
      oracle.noteOutcome(attemptId, outcome)
      return outcome
    },
    askStatus (nodeIndex, key) {
      const wasRun = oracle.hasRun(key)
      const request = { partner, service, idempotencyKey: key, statusPath: '/orders/{key}', pickBackend: () => 'backend:1' }
      void getNode(nodeIndex).ledger.getStatus(request).then(status => oracle.noteStatus(key, status, wasRun))
    },
    pause (nodeIndex) {
      oracle.noteNodeDisturbed(getNode(nodeIndex).nodeId)
      getNode(nodeIndex).gate.close()
    },
    resume (nodeIndex) {
      wake(getNode(nodeIndex).gate)
    },
    restart (nodeIndex) {
      const node = getNode(nodeIndex)
      oracle.noteNodeDisturbed(node.nodeId)
      node.gate.destroy()
      nodes[nodeIndex % ordersNodeCount] = createNode(nodeIndex % ordersNodeCount)
    },
    setStoreOut (nodeIndex, isOut) {
      if (isOut) oracle.noteNodeDisturbed(getNode(nodeIndex).nodeId)
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
    for (const node of nodes) wake(node.gate)
  }

  /** A key must become done, unknown, or be refused to all but one of its bodies. */
  async function settleKey (key: string): Promise<void> {
    for (let round = 0; round < maxSettleRounds; round += 1) {
      for (const body of oracle.getBodies(key)) {
        const submitted = world.submit(round, key, body, settleRoundMs)
        await timers.advanceAsync(settleRoundMs)
        const outcome = await submitted
        if (outcome.kind === 'done' || outcome.kind === 'unknown') return
      }
    }
    oracle.violations.push(`"${key}" stays blocked after all faults ended`)
  }

  async function settleDrains (): Promise<void> {
    const waiting = new Set(nodes.map(node => node.nodeId))
    for (const node of nodes) void node.ledger.drain().then(() => waiting.delete(node.nodeId))
    await timers.advanceAsync(settleRoundMs)
    if (waiting.size > 0) oracle.violations.push(`${[...waiting].join(', ')} did not drain after all faults ended`)
  }

  return world
}

function createNodeRandom (random: RandomSource): RandomSource {
  return createRandomSource(random.nextInt(2 ** 31))
}

/** Holds a reply back until the process runs; a call that is under way goes on while the process is stopped. */
async function gateReply<T> (gate: ProcessGate, reply: Promise<T>): Promise<T> {
  const value = await reply
  await gate.pass()
  return value
}

function wake (gate: ProcessGate): void {
  gate.open()
  gate.release()
}

function gateStore (store: KeyValueStore, gate: ProcessGate): KeyValueStore {
  return {
    get: key => gateReply(gate, store.get(key)),
    list: prefix => gateReply(gate, store.list(prefix)),
    compareAndSwap: request => gateReply(gate, store.compareAndSwap(request)),
    watch: request => gateReply(gate, store.watch(request)),
    grantLease: durationMs => gateReply(gate, store.grantLease(durationMs)),
    renewLease: leaseId => gateReply(gate, store.renewLease(leaseId))
  }
}
