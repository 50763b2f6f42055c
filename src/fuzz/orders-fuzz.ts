import fc from 'fast-check'

import { runCommandFuzz, type FuzzArea, type FuzzOptions, type FuzzReport } from './command-fuzz.js'
import type { OrdersOracle } from './orders-oracle.js'
import { ServiceFaultKind } from './orders-service.js'
import { createOrdersWorld, ordersNodeCount, type OrdersWorld, type PortMutator } from './orders-world.js'

type OrdersCommand = fc.AsyncCommand<OrdersOracle, OrdersWorld>

// The slash must be escaped in the path of a status request.
const keyNames = ['key-a', 'key-b', 'key/c']
const maxAdvanceMs = 4_000
const maxFaultDelayMs = 8_000

const nodeArbitrary = fc.nat({ max: ordersNodeCount - 1 })
const keyArbitrary = fc.constantFrom(...keyNames)

function createCommand (label: string, apply: (world: OrdersWorld) => void | Promise<void>): OrdersCommand {
  return {
    check: () => true,
    async run (_oracle, world) {
      await apply(world)
      await world.timers.advanceAsync(0)
      world.assertHolds()
    },
    toString: () => label
  }
}

const submitArbitrary = fc.record({
  node: nodeArbitrary,
  key: keyArbitrary,
  body: fc.constantFrom('body-1', 'body-1', 'body-1', 'body-1', 'body-2'),
  deadlineMs: fc.constantFrom(50, 1_000, 6_000)
}).map(({ node, key, body, deadlineMs }) => createCommand(`submit(${node}, ${key}, ${body}, ${deadlineMs})`, world => {
  void world.submit(node, key, body, deadlineMs)
}))

/** Submits two attempts under one key to two nodes at once. */
const raceArbitrary = fc.record({ node: nodeArbitrary, key: keyArbitrary }).map(({ node, key }) =>
  createCommand(`race(${node}, ${key})`, world => {
    void world.submit(node, key, 'body-1', maxAdvanceMs)
    void world.submit(node + 1, key, 'body-1', maxAdvanceMs)
  }))

const advanceArbitrary = fc.oneof(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 1, max: maxAdvanceMs })).map(spanMs =>
  createCommand(`advance(${spanMs})`, world => world.timers.advanceAsync(spanMs)))

const statusArbitrary = fc.record({ node: nodeArbitrary, key: keyArbitrary }).map(({ node, key }) =>
  createCommand(`status(${node}, ${key})`, world => { world.requestStatus(node, key) }))

const pauseArbitrary = nodeArbitrary.map(node => createCommand(`pause(${node})`, world => { world.pause(node) }))
const resumeArbitrary = nodeArbitrary.map(node => createCommand(`resume(${node})`, world => { world.resume(node) }))
const restartArbitrary = nodeArbitrary.map(node => createCommand(`restart(${node})`, world => { world.restart(node) }))

const storeOutArbitrary = fc.record({ node: nodeArbitrary, isOut: fc.boolean() }).map(({ node, isOut }) =>
  createCommand(`storeOut(${node}, ${isOut})`, world => { world.setStoreOut(node, isOut) }))

const storeFaultArbitrary = fc.record({
  node: nodeArbitrary,
  name: fc.constantFrom('lostReplyCount' as const, 'lateWriteCount' as const),
  count: fc.integer({ min: 1, max: 3 }),
  lateMs: fc.integer({ min: 1, max: maxFaultDelayMs })
}).map(({ node, name, count, lateMs }) => createCommand(`${name}(${node}, ${count}, ${lateMs})`, world => {
  const faults = world.getStoreFaults(node)
  faults[name] = count
  faults.lateWriteDelayMs = lateMs
}))

const storeSlowArbitrary = fc.record({ node: nodeArbitrary, delayMs: fc.constantFrom(0, 5, 700) }).map(({ node, delayMs }) =>
  createCommand(`storeSlow(${node}, ${delayMs})`, world => {
    world.getStoreFaults(node).requestDelayMs = delayMs
    world.getStoreFaults(node).replyDelayMs = delayMs
  }))

const serviceFaultArbitrary = fc.record({
  kind: fc.constantFrom(...Object.values(ServiceFaultKind)),
  delayMs: fc.integer({ min: 1, max: maxFaultDelayMs })
}).map(({ kind, delayMs }) => createCommand(`service(${kind}, ${delayMs})`, world => { world.service.faults.push({ kind, delayMs }) }))

const forgetLeasesArbitrary = fc.constant(createCommand('forgetLeases()', world => { world.store.forgetLeases() }))

const backendArbitrary = fc.boolean().map(hasBackend =>
  createCommand(`backend(${hasBackend})`, world => { world.hasBackend = hasBackend }))

/** Creates the fuzz area of orders. `mutatePorts` turns each node into a deliberately broken variant. */
export function createOrdersFuzzArea (mutatePorts?: PortMutator): FuzzArea<OrdersOracle, OrdersWorld> {
  return {
    commands: [
      submitArbitrary, submitArbitrary, raceArbitrary, advanceArbitrary, advanceArbitrary, statusArbitrary,
      pauseArbitrary, resumeArbitrary, restartArbitrary, storeOutArbitrary, storeFaultArbitrary, storeSlowArbitrary,
      serviceFaultArbitrary, serviceFaultArbitrary, backendArbitrary, forgetLeasesArbitrary
    ],
    setup (systemSeed) {
      const world = createOrdersWorld(systemSeed, mutatePorts)
      return { model: world.oracle, real: world }
    },
    finish: (_oracle, world) => world.settle()
  }
}

/** Fuzzes the order executor. */
export function runOrdersFuzz (options: FuzzOptions): Promise<FuzzReport> {
  return runCommandFuzz(createOrdersFuzzArea(), options)
}
