import fc from 'fast-check'

import { setDrain } from '../state/config-change.js'
import { isMajority, listWitnessSets } from '../state/witness-plan.js'
import { createStoreFaults, type FakeStoreFaults } from '../testing/fake-key-value-store.js'
import type { ConfigFleet, FleetNode } from './config-fleet.js'
import type { ChangeAttempt, ConfigOracle } from './config-oracle.js'

/** One command of a history in the configuration area. */
export type ConfigCommand = fc.AsyncCommand<ConfigOracle, ConfigFleet>

const checkIntervalMs = 50
/** Time for a change to reach the nodes that are connected. */
const changeSpreadMs = 1_500
/** Pause after a kill, in which the membership detects the death, so that a missing witness is seen before its replacement starts. */
const replacementDelayMs = 2_000

/** Advances virtual time and runs the oracle every `checkIntervalMs`. */
export async function advanceAndCheck (oracle: ConfigOracle, fleet: ConfigFleet, spanMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < spanMs; passedMs += checkIntervalMs) {
    await fleet.timers.advanceAsync(checkIntervalMs)
    oracle.check()
  }
}

function command (text: string, run: (oracle: ConfigOracle, fleet: ConfigFleet) => void | Promise<void>): ConfigCommand {
  return {
    check: () => true,
    async run (oracle, fleet) {
      await run(oracle, fleet)
      await fleet.timers.advanceAsync(1)
      oracle.check()
    },
    toString: () => text
  }
}

function startChange (oracle: ConfigOracle, fleet: ConfigFleet, index: number, expectedVersion: number): void {
  const node = fleet.nodes[index]
  if (node === undefined || !node.process.isRunning) return
  const name = `op-${oracle.attempts.length}`
  const attempt: ChangeAttempt = { vmId: `vm-${name}`, changedBy: `alpha/${name}`, expectedVersion }
  oracle.attempts.push(attempt)
  void node.keeper.change({
    transition: config => setDrain(config, 'alpha', attempt.vmId, true),
    expectedVersion,
    changedBy: attempt.changedBy
  }).then(outcome => oracle.recordOutcome(attempt, outcome))
}

/** Two operators change the same version at once, while a store fault affects the write of the first node. */
function raceWithFault (oracle: ConfigOracle, fleet: ConfigFleet, indexes: readonly [number, number], faults: Partial<FakeStoreFaults>): void {
  const { version } = oracle.readStored()
  Object.assign(fleet.nodes[indexes[0]]?.storeFaults ?? {}, faults)
  for (const index of indexes) startChange(oracle, fleet, index, version)
}

/** Cuts all links to a node, and unless `isOneWay` also those from it. */
function isolate (fleet: ConfigFleet, index: number, isOneWay: boolean): void {
  const nodeId = fleet.nodes[index]?.nodeId
  for (const other of fleet.nodes) {
    if (other.nodeId === nodeId) continue
    fleet.cuts.add(`${other.nodeId}>${nodeId}`)
    if (!isOneWay) fleet.cuts.add(`${nodeId}>${other.nodeId}`)
  }
}

/** Cuts all links between the nodes below the index and the others. Links within each side stay up. */
function partition (fleet: ConfigFleet, index: number): void {
  for (const left of fleet.nodes.slice(0, index)) {
    for (const right of fleet.nodes.slice(index)) {
      fleet.cuts.add(`${left.nodeId}>${right.nodeId}`)
      fleet.cuts.add(`${right.nodeId}>${left.nodeId}`)
    }
  }
}

/** Cuts a node off from the store and from its peers. */
function disconnect (fleet: ConfigFleet, index: number): void {
  isolate(fleet, index, false)
  setStoreOutage(fleet, index, true)
}

/** Restarts a node that can reach a single peer and not the store. */
function restartWithOnePeer (fleet: ConfigFleet, index: number, peer: number): void {
  const [self, other] = [fleet.nodes[index]?.nodeId, fleet.nodes[peer]?.nodeId]
  disconnect(fleet, index)
  fleet.kill(index)
  fleet.restart(index)
  setStoreOutage(fleet, index, true)
  fleet.cuts.delete(`${self}>${other}`)
  fleet.cuts.delete(`${other}>${self}`)
}

function setStoreOutage (fleet: ConfigFleet, index: number, isOut: boolean): void {
  const node = fleet.nodes[index]
  if (node !== undefined) node.storeFaults.isOut = isOut
}

function cutLowerNodesFromStore (fleet: ConfigFleet, nodeCount: number): void {
  for (let index = 0; index < nodeCount; index += 1) setStoreOutage(fleet, index, true)
}

/** Restarts a node during a store outage. It reaches only a peer that missed a change while it was disconnected. */
async function restartWithStalePeer (oracle: ConfigOracle, fleet: ConfigFleet, index: number, peer: number): Promise<void> {
  endFaults(oracle, fleet)
  await advanceAndCheck(oracle, fleet, changeSpreadMs)
  disconnect(fleet, peer)
  startChange(oracle, fleet, index, 0)
  await advanceAndCheck(oracle, fleet, changeSpreadMs)
  fleet.store.faults.isOut = true
  restartWithOnePeer(fleet, index, peer)
}

/** A node may be replaced only if a majority of each witness set remains and some node already uses the stored version. */
function isReplaceable (oracle: ConfigOracle, fleet: ConfigFleet, node: FleetNode): boolean {
  const config = oracle.readStored()
  const remaining = fleet.nodes.filter(other => other !== node && other.isAlive).map(other => other.nodeId)
  const isSettled = fleet.nodes.some(other => other.keeper.getConfig()?.version === config.version)
  return isSettled && listWitnessSets(config).every(set => isMajority(new Set(remaining), set))
}

async function replace (oracle: ConfigOracle, fleet: ConfigFleet, index: number): Promise<void> {
  const node = fleet.nodes[index]
  if (node === undefined || !isReplaceable(oracle, fleet, node)) return
  fleet.kill(index)
  await advanceAndCheck(oracle, fleet, replacementDelayMs)
  fleet.replace(index)
}

function resume (oracle: ConfigOracle, fleet: ConfigFleet, index: number): void {
  fleet.resume(index, () => oracle.checkNodes())
}

/** Ends all faults, restarts killed nodes and resumes paused ones. */
export function endFaults (oracle: ConfigOracle, fleet: ConfigFleet): void {
  fleet.cuts.clear()
  Object.assign(fleet.store.faults, createStoreFaults())
  fleet.nodes.forEach((node, index) => {
    Object.assign(node.storeFaults, createStoreFaults())
    if (!node.isAlive) fleet.restart(index)
    else if (!node.process.isRunning) resume(oracle, fleet, index)
  })
}

function setFaults (index: number | undefined, faults: Partial<FakeStoreFaults>): ConfigCommand {
  const target = index === undefined ? 'store' : `store link of ${index}`
  return command(`${target}: ${JSON.stringify(faults)}`, (oracle, fleet) => {
    Object.assign(index === undefined ? fleet.store.faults : fleet.nodes[index]?.storeFaults ?? {}, faults)
  })
}

/** Creates the command generators for a fleet of the given size. */
export function createConfigCommands (nodeCount: number): Array<fc.Arbitrary<ConfigCommand>> {
  const index = fc.nat({ max: nodeCount - 1 })
  // A node's link to the store; undefined for the store itself.
  const faultTarget = fc.option(index, { nil: undefined, freq: 2 })
  const spanMs = fc.oneof(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 40, max: 140 }))
    .map(steps => steps * checkIntervalMs)
  const advance = spanMs.map(span => command(`advance ${span} ms`, (oracle, fleet) => advanceAndCheck(oracle, fleet, span)))
  const change = index.map(at => command(`change at ${at}`, (oracle, fleet) => startChange(oracle, fleet, at, 0)))
  const endAll = fc.constant(command('end all faults', endFaults))
  // Commands that are listed several times are drawn more often.
  return [
    advance,
    advance,
    advance,
    change,
    change,
    fc.tuple(index, index).map(([first, second]) => command(`race at ${first} and ${second}`, (oracle, fleet) => {
      const { version } = oracle.readStored()
      startChange(oracle, fleet, first, version)
      startChange(oracle, fleet, second, version)
    })),
    fc.tuple(index, index).map(([from, to]) => command(`cut ${from}>${to}`, (_oracle, fleet) => {
      fleet.cuts.add(`${fleet.nodes[from]?.nodeId}>${fleet.nodes[to]?.nodeId}`)
    })),
    fc.tuple(index, fc.boolean()).map(([at, isOneWay]) => command(`isolate ${at}${isOneWay ? ' one way' : ''}`, (_oracle, fleet) => isolate(fleet, at, isOneWay))),
    index.map(at => command(`partition before ${at}`, (_oracle, fleet) => partition(fleet, at))),
    index.map(at => command(`disconnect ${at}`, (_oracle, fleet) => disconnect(fleet, at))),
    fc.tuple(index, index).map(([at, peer]) => command(`restart ${at} with only peer ${peer}`, (_oracle, fleet) => restartWithOnePeer(fleet, at, peer))),
    fc.tuple(index, index).map(([at, peer]) => command(`restart ${at} with only peer ${peer}, which missed a change`, (oracle, fleet) => restartWithStalePeer(oracle, fleet, at, peer))),
    index.map(at => command(`cut the nodes before ${at} from the store`, (_oracle, fleet) => cutLowerNodesFromStore(fleet, at))),
    index.map(at => command(`cut the nodes before ${at} from the store and the other nodes`, (_oracle, fleet) => {
      partition(fleet, at)
      cutLowerNodesFromStore(fleet, at)
    })),
    endAll,
    endAll,
    endAll,
    fc.constant(command('heal links', (_oracle, fleet) => fleet.cuts.clear())),
    index.map(at => command(`kill ${at}`, (_oracle, fleet) => fleet.kill(at))),
    index.map(at => command(`restart ${at}`, (_oracle, fleet) => fleet.restart(at))),
    index.map(at => command(`kill and restart ${at}`, (_oracle, fleet) => {
      fleet.kill(at)
      fleet.restart(at)
    })),
    index.map(at => command(`replace ${at}`, (oracle, fleet) => replace(oracle, fleet, at))),
    index.map(at => command(`pause ${at}`, (_oracle, fleet) => fleet.pause(at))),
    index.map(at => command(`resume ${at}`, (oracle, fleet) => resume(oracle, fleet, at))),
    fc.tuple(faultTarget, fc.boolean()).map(([at, isOut]) => setFaults(at, { isOut })),
    fc.constant(setFaults(undefined, { isOut: true })),
    fc.constant(setFaults(undefined, { isOut: false })),
    faultTarget.map(at => setFaults(at, { lostReplyCount: 1 })),
    fc.tuple(faultTarget, fc.integer({ min: 100, max: 8_000 })).map(([at, lateWriteDelayMs]) => setFaults(at, { lateWriteCount: 1, lateWriteDelayMs })),
    fc.tuple(index, index, fc.integer({ min: 1, max: 500 })).map(([first, second, lateWriteDelayMs]) => command(
      `race at ${first}, written ${lateWriteDelayMs} ms late, and ${second}`,
      (oracle, fleet) => raceWithFault(oracle, fleet, [first, second], { lateWriteCount: 1, lateWriteDelayMs })
    )),
    fc.tuple(index, index).map(([first, second]) => command(
      `race at ${first}, reply lost, and ${second}`,
      (oracle, fleet) => raceWithFault(oracle, fleet, [first, second], { lostReplyCount: 1 })
    )),
    fc.tuple(faultTarget, fc.nat({ max: 2_000 }), fc.nat({ max: 2_000 }))
      .map(([at, requestDelayMs, replyDelayMs]) => setFaults(at, { requestDelayMs, replyDelayMs }))
  ]
}
