import { expect } from 'chai'

import { createConfigFleet } from '../../fuzz/config-fleet.js'
import { success } from '../../shared/result.js'
import { setDrain } from '../../state/config-change.js'
import { ChangeOutcomeKind } from './change-outcome.js'

const options = { seed: 1, nodeCount: 8, zoneCount: 3 }

function drainRequest (vmId: string, expectedVersion: number = 0) {
  return { transition: setDrainOf(vmId), expectedVersion, changedBy: `alpha/${vmId}` }
}

function setDrainOf (vmId: string) {
  return (config: Parameters<typeof setDrain>[0]) => setDrain(config, 'alpha', vmId, true)
}

describe('config keeper', () => {
  describe('with all nodes up', () => {
    it('brings a change into force on each node within five seconds', async () => {
      const fleet = createConfigFleet(options)
      await fleet.timers.advanceAsync(3_000)
      const outcome = fleet.nodes[0]?.keeper.change(drainRequest('vm-1'))
      await fleet.timers.advanceAsync(5_000)
      expect((await outcome)?.kind).to.equal(ChangeOutcomeKind.InForce)
      for (const node of fleet.nodes) {
        expect(node.keeper.getConfig()?.drainingVmIds).to.deep.equal(['vm-1'])
        expect(node.keeper.getFreshness().canServe).to.equal(true)
      }
    })

    it('reports the winning version to the loser of two concurrent changes', async () => {
      const fleet = createConfigFleet(options)
      await fleet.timers.advanceAsync(3_000)
      const version = fleet.readStored().version
      const racing = [0, 1].map(index => fleet.nodes[index]?.keeper.change(drainRequest(`vm-${index}`, version)))
      await fleet.timers.advanceAsync(5_000)
      const outcomes = await Promise.all(racing)
      expect(outcomes.filter(outcome => outcome?.kind === ChangeOutcomeKind.InForce)).to.have.length(1)
      const lost = outcomes.find(outcome => outcome?.kind === ChangeOutcomeKind.Failed)
      expect(lost).to.have.property('error').that.deep.include({ kind: 'conflict', expectedVersion: version, currentVersion: version + 1 })
    })

    it('writes nothing for a change without differences', async () => {
      const fleet = createConfigFleet(options)
      await fleet.timers.advanceAsync(3_000)
      const version = fleet.readStored().version
      void fleet.nodes[0]?.keeper.change({ transition: config => success(config), expectedVersion: 0, changedBy: 'alpha/first' })
      await fleet.timers.advanceAsync(5_000)
      expect(fleet.readStored().version).to.equal(version)
    })
  })

  describe('while the store is unavailable', () => {
    it('keeps serving while a majority of the witnesses responds', async () => {
      const fleet = createConfigFleet(options)
      await fleet.timers.advanceAsync(5_000)
      fleet.store.faults.isOut = true
      await fleet.timers.advanceAsync(60_000)
      expect(fleet.nodes.every(node => node.keeper.getFreshness().canServe)).to.equal(true)
    })

    it('lets a restarted node serve the settled version', async () => {
      const fleet = createConfigFleet(options)
      await fleet.timers.advanceAsync(5_000)
      fleet.store.faults.isOut = true
      await fleet.timers.advanceAsync(5_000)
      fleet.kill(3)
      fleet.restart(3)
      expect(fleet.nodes[3]?.keeper.getFreshness().canServe).to.equal(false)
      await fleet.timers.advanceAsync(5_000)
      expect(fleet.nodes[3]?.keeper.getFreshness().canServe).to.equal(true)
    })

    it('refuses a change at once', async () => {
      const fleet = createConfigFleet(options)
      await fleet.timers.advanceAsync(5_000)
      fleet.store.faults.isOut = true
      const outcome = fleet.nodes[0]?.keeper.change(drainRequest('vm-1'))
      await fleet.timers.advanceAsync(500)
      expect(await outcome).to.have.property('error').that.deep.include({ kind: 'unavailable' })
    })

    it('stops serving on a node that reaches neither the store nor a majority of the witnesses', async () => {
      const fleet = createConfigFleet(options)
      await fleet.timers.advanceAsync(5_000)
      fleet.store.faults.isOut = true
      for (const node of fleet.nodes) fleet.cuts.add(`${node.nodeId}>node-2`)
      await fleet.timers.advanceAsync(5_000)
      expect(fleet.nodes.map(node => node.keeper.getFreshness().canServe).filter(canServe => !canServe)).to.have.length(1)
    })
  })
})
