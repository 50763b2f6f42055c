import fc from 'fast-check'

import { RequestPriority } from '../../state/fleet-config.js'
import type { AdmissionDriver, DriverRequest } from './admission-driver.js'
import type { AdmissionOracle } from './admission-oracle.js'
import { groupIds, partners, nodeIds, type WorldNode } from './admission-world.js'

type AdmissionCommand = fc.AsyncCommand<AdmissionOracle, AdmissionDriver>

/** Wraps an action as a command that can always run. */
function createCommand (text: string, action: (driver: AdmissionDriver, oracle: AdmissionOracle) => Promise<void> | void): AdmissionCommand {
  return {
    check: () => true,
    async run (oracle, driver) {
      await action(driver, oracle)
    },
    toString: () => text
  }
}

function getNode (driver: AdmissionDriver, nodeId: string): WorldNode {
  const node = driver.world.nodes.find(candidate => candidate.nodeId === nodeId)
  if (node === undefined) throw new Error(`node "${nodeId}" does not exist`)
  return node
}

const requestArbitrary: fc.Arbitrary<DriverRequest> = fc.record({
  nodeIndex: fc.nat(nodeIds.length - 1),
  partner: fc.constantFrom(...partners),
  team: fc.constantFrom('large', 'small'),
  priority: fc.constantFrom(RequestPriority.Interactive, RequestPriority.Batch),
  deadlineMs: fc.constantFrom(400, 1500, 4000, 20_000)
})
const nodeIdArbitrary = fc.constantFrom(...nodeIds)
const groupIdArbitrary = fc.constantFrom(...groupIds)

/** Command generators: requests, their ends, time and every fault of the area. */
export const admissionCommands: Array<fc.Arbitrary<AdmissionCommand>> = [
  requestArbitrary.map(request => createCommand(`request(${JSON.stringify(request)})`, driver => driver.request(request))),
  fc.tuple(requestArbitrary, fc.integer({ min: 5, max: 30 })).map(([request, count]) =>
    createCommand(`burst(${count}, ${JSON.stringify(request)})`, async driver => {
      for (let index = 0; index < count; index += 1) await driver.request(request)
    })),
  fc.nat(50).map(index => createCommand(`failCall(${index})`, driver => driver.failCall(index))),
  fc.nat(50).map(index => createCommand(`cancel(${index})`, driver => driver.cancel(index))),
  fc.integer({ min: 1, max: 1500 }).map(spanMs => createCommand(`advance(${spanMs})`, driver => driver.advance(spanMs))),
  fc.integer({ min: 100, max: 1500 }).map(spanMs => createCommand(`saturate(${spanMs})`, async driver => {
    await driver.saturate(partners, spanMs)
  })),
  nodeIdArbitrary.map(nodeId => createCommand(`changeOwner(${nodeId})`, (driver, oracle) => {
    oracle.recordOwnerChange()
    driver.world.changeOwner(nodeId)
  })),
  fc.tuple(nodeIdArbitrary, fc.integer({ min: 1, max: 16 })).map(([nodeId, count]) =>
    createCommand(`losePolls(${nodeId}, ${count})`, driver => { getNode(driver, nodeId).lostPollCount = count })),
  fc.tuple(nodeIdArbitrary, fc.integer({ min: 1, max: 8 })).map(([nodeId, count]) =>
    createCommand(`delayPolls(${nodeId}, ${count})`, driver => { getNode(driver, nodeId).latePollCount = count })),
  fc.constantFrom(20, 50, 70).map(percent => createCommand(`changeSplit(${percent})`, driver => {
    driver.world.share.percent = percent
  })),
  groupIdArbitrary.map(groupId => createCommand(`loseGroup(${groupId})`, driver => driver.loseGroup(groupId))),
  groupIdArbitrary.map(groupId => createCommand(`restoreGroup(${groupId})`, driver => {
    driver.world.lostGroupIds.delete(groupId)
  })),
  fc.tuple(nodeIdArbitrary, fc.constantFrom(300, 2000, 7000)).map(([nodeId, spanMs]) =>
    createCommand(`pauseNode(${nodeId}, ${spanMs})`, driver => {
      const node = getNode(driver, nodeId)
      if (driver.world.isPaused(node)) return
      node.pausedSinceMs = driver.world.timers.nowMs()
      node.pausedUntilMs = driver.world.timers.nowMs() + spanMs
    }))
]
