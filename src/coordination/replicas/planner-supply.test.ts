import { expect } from 'chai'

import type { EngineProfile } from '../../state/serving-config.js'
import { createPlannerFixture } from '../../testing/planner-fixture.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import { ServerCommandKind } from '../ports/server-control.js'

/** The engine of a deployment whose configured shares are wrong by a factor of two. */
const engine: EngineProfile = {
  ...sampleEngine,
  slotCount: 14,
  loadsPerSecond: 14,
  maxConcurrentLoads: 20,
  models: [
    { name: 'm0', groupSize: 8, pace: 1, share: 0.5, loadMs: 16_000, warmLoadMs: 1600 },
    { name: 'm1', groupSize: 2, pace: 0.6, share: 0.5, loadMs: 12_000, warmLoadMs: 1100 }
  ]
}
/** Servers that the mean demand keeps busy. */
const meanDemand = { m0: 26, m1: 50 }
const formingTimeMs = 120_000

type Fixture = ReturnType<typeof createPlannerFixture>

/** Forms 162 servers in 9 domains of 3 zones, with early staging when demand is reported. */
async function createDeployment ({ reportsDemand = true, refusesStaging = false, profile = engine } = {}): Promise<Fixture> {
  const fixture = createPlannerFixture(1, profile)
  fixture.servers.faults.refusesStaging = refusesStaging
  for (let domain = 0; domain < 9; domain += 1) {
    for (let index = 0; index < 18; index += 1) fixture.servers.add(`d${domain}-s${String(index).padStart(2, '0')}`, `d${domain}`, `z${domain % 3}`)
  }
  if (reportsDemand) fixture.setDemand({})
  fixture.takeOver()
  await fixture.timers.advanceAsync(formingTimeMs)
  return fixture
}

/** Forms a deployment and plays 30 s of the mean demand, so that the split fits it. */
async function createSettledDeployment (): Promise<Fixture> {
  const fixture = await createDeployment()
  fixture.beginTraffic()
  fixture.setDemand(meanDemand)
  await fixture.timers.advanceAsync(30_000)
  return fixture
}

function countServers (fixture: Fixture): Record<'m0' | 'm1', number> {
  const counts = { m0: 0, m1: 0 }
  for (const { model } of fixture.listOpen()) counts[model?.name as 'm0' | 'm1'] += model?.groupSize ?? 0
  return counts
}

/** Utilization of the most utilized model; the lower, the more demand the split can serve. */
function getHighestUtilization (fixture: Fixture, demand: { readonly m0: number, readonly m1: number }): number {
  const { m0, m1 } = countServers(fixture)
  return Math.max(demand.m0 / m0, demand.m1 / m1)
}

/** The utilization of the best split of the servers into groups. */
function getBestUtilization (serverCount: number, demand: { readonly m0: number, readonly m1: number }): number {
  const splits = Array.from({ length: Math.floor(serverCount / 8) }, (_, index) => (index + 1) * 8).filter(m0 => serverCount - m0 >= 2)
  return Math.min(...splits.map(m0 => Math.max(demand.m0 / m0, demand.m1 / (Math.floor((serverCount - m0) / 2) * 2))))
}

describe('replica planner with demand', () => {
  describe('when the configured shares are wrong', () => {
    it('comes within 10 s to nine tenths of the best split, without fetches and without ending streams', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      fixture.servers.faults.closingMs = 1500
      fixture.servers.faults.listLagMs = 300
      const loadCount = fixture.servers.countLoads()
      fixture.setDemand(meanDemand)
      await fixture.timers.advanceAsync(10_000)
      expect(getBestUtilization(162, meanDemand) / getHighestUtilization(fixture, meanDemand)).to.be.at.least(0.9)
      expect(fixture.servers.countLoads()).to.equal(loadCount)
      expect(fixture.servers.preempted).to.deep.equal([])
      expect(fixture.servers.violations).to.deep.equal([])
    })

    // Guards against the limit of 2.5 s for replicas with a leaving member, which would end these streams.
    it('waits for streams that last for 6 s', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      fixture.servers.faults.closingMs = 6000
      fixture.setDemand(meanDemand)
      await fixture.timers.advanceAsync(20_000)
      expect(fixture.servers.preempted).to.deep.equal([])
      expect(getBestUtilization(162, meanDemand) / getHighestUtilization(fixture, meanDemand)).to.be.at.least(0.9)
    })

    it('begins within 4 s, and has at most a fifth of the servers changing', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      fixture.servers.faults.closingMs = 1500
      fixture.setDemand(meanDemand)
      let fewest = Infinity
      for (let step = 0; step < 100; step += 1) {
        await fixture.timers.advanceAsync(100)
        const { m0, m1 } = countServers(fixture)
        fewest = Math.min(fewest, m0 + m1)
        if (step === 40) expect(m0).to.be.below(80)
      }
      expect(fewest).to.be.at.least(162 * 0.8 - 18)
    })

    it('closes the replicas with the fewest streams, of the zones with the most replicas', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      const large = fixture.listOpen().filter(replica => replica.model?.name === 'm0')
      for (const { id } of large) fixture.streamCounts.set(id, 5)
      fixture.setDemand(meanDemand)
      await fixture.timers.advanceAsync(15_000)
      const zones = new Set(fixture.listOpen().filter(replica => replica.model?.name === 'm0').map(replica => replica.members[0]?.zone))
      expect(zones.size).to.equal(3)
    })

    it('stages a model that is short on running replicas when none has it, and changes afterwards', async () => {
      const fixture = await createDeployment({ reportsDemand: false })
      fixture.beginTraffic()
      fixture.setDemand(meanDemand)
      await fixture.timers.advanceAsync(15_000)
      expect(countServers(fixture).m0 + countServers(fixture).m1, 'nothing is closed for a fetch').to.be.at.least(144)
      await fixture.timers.advanceAsync(60_000)
      expect(getBestUtilization(162, meanDemand) / getHighestUtilization(fixture, meanDemand)).to.be.at.least(0.9)
      expect(fixture.servers.violations).to.deep.equal([])
    })

    it('keeps a replica of a model without any demand', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      fixture.setDemand({ m1: 140 })
      await fixture.timers.advanceAsync(120_000)
      expect(countServers(fixture).m0).to.equal(8)
    })
  })

  describe('when the split fits the demand', () => {
    for (const [kind, burst] of [['m1', { m0: 26, m1: 125 }], ['m0', { m0: 65, m1: 50 }]] as const) {
      it(`does not change it for a burst of 4 s of ${kind}`, async () => {
        const fixture = await createSettledDeployment()
        const sentCount = fixture.servers.sent.length
        for (let turn = 0; turn < 3; turn += 1) {
          fixture.setDemand(burst)
          // The measured demand decays for 1 to 2 s after a burst.
          await fixture.timers.advanceAsync(5500)
          fixture.setDemand(meanDemand)
          await fixture.timers.advanceAsync(10_000)
        }
        expect(fixture.servers.sent.slice(sentCount)).to.deep.equal([])
      })
    }

    it('changes it for a demand that lasts, once, and back', async () => {
      const fixture = await createSettledDeployment()
      const before = countServers(fixture)
      const wave = { m0: 26, m1: 90 }
      fixture.setDemand(wave)
      await fixture.timers.advanceAsync(60_000)
      expect(getBestUtilization(162, wave) / getHighestUtilization(fixture, wave)).to.be.at.least(0.85)
      expect(countServers(fixture).m1).to.be.above(before.m1)
      const sentCount = fixture.servers.sent.length
      await fixture.timers.advanceAsync(30_000)
      expect(fixture.servers.sent.slice(sentCount), 'no change and change back').to.deep.equal([])
      const reversed = { m0: 60, m1: 40 }
      fixture.setDemand(reversed)
      await fixture.timers.advanceAsync(90_000)
      expect(getHighestUtilization(fixture, reversed)).to.be.below(0.9)
      expect(fixture.servers.preempted).to.deep.equal([])
    })

    it('sends no command while no model is short, whatever the ratio', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      const sentCount = fixture.servers.sent.length
      fixture.setDemand({ m0: 2, m1: 39 })
      await fixture.timers.advanceAsync(40_000)
      expect(fixture.servers.sent.slice(sentCount)).to.deep.equal([])
    })
  })

  describe('without demand reports', () => {
    it('stages nothing beside the spares and changes nothing', async () => {
      const fixture = await createDeployment({ reportsDemand: false })
      const open = fixture.listOpen().flatMap(replica => replica.members)
      expect(open.filter(server => !server.stagedModels.includes(server.loadedModels[0] ?? ''))).to.deep.equal([])
      fixture.beginTraffic()
      const sentCount = fixture.servers.sent.length
      await fixture.timers.advanceAsync(30_000)
      expect(fixture.servers.sent.slice(sentCount)).to.deep.equal([])
    })

    it('changes nothing when most gateways are not heard', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      const sentCount = fixture.servers.sent.length
      fixture.setDemand(meanDemand, 40)
      await fixture.timers.advanceAsync(30_000)
      expect(fixture.servers.sent.slice(sentCount)).to.deep.equal([])
    })

    it('starts a change anew after a gap in the reports', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      const sentCount = fixture.servers.sent.length
      for (let turn = 0; turn < 5; turn += 1) {
        fixture.setDemand(meanDemand)
        await fixture.timers.advanceAsync(2000)
        fixture.setDemand(meanDemand, 10)
        await fixture.timers.advanceAsync(2000)
      }
      expect(fixture.servers.sent.slice(sentCount)).to.deep.equal([])
    })
  })

  describe('before traffic', () => {
    it('stages the other model on part of the replicas of each model, once', async () => {
      const fixture = await createDeployment()
      const stagedOther = (name: string) => fixture.listOpen().filter(replica => replica.model?.name === name && replica.members.every(member => !member.stagedModels.includes(name)))
      const large = fixture.listOpen().filter(replica => replica.model?.name === 'm0').length
      expect(stagedOther('m0').length).to.be.within(large / 2, large * 0.6)
      const sentCount = fixture.servers.sent.length
      expect(fixture.servers.sent.filter(({ command }) => command.kind === ServerCommandKind.Stage).length).to.be.below(162)
      await fixture.timers.advanceAsync(60_000)
      expect(fixture.servers.sent.slice(sentCount)).to.deep.equal([])
    })
  })

  describe('when staging has no use', () => {
    it('asks each member three times at most when they refuse', async () => {
      const fixture = await createDeployment({ refusesStaging: true })
      const counts = new Map<string, number>()
      const members = new Set(fixture.listOpen().flatMap(replica => replica.members.map(member => member.id)))
      for (const { serverId, command } of fixture.servers.sent) {
        if (command.kind === ServerCommandKind.Stage && members.has(serverId)) counts.set(serverId, (counts.get(serverId) ?? 0) + 1)
      }
      expect(Math.max(...counts.values())).to.equal(3)
      const sentCount = fixture.servers.sent.length
      await fixture.timers.advanceAsync(30_000)
      expect(fixture.servers.sent.slice(sentCount)).to.deep.equal([])
    })

    it('stages nothing on members when the configuration states no times of the engine', async () => {
      const fixture = await createDeployment({ profile: { ...engine, stepMs: 0 } })
      const open = fixture.listOpen().flatMap(replica => replica.members)
      expect(open.filter(server => !server.stagedModels.includes(server.loadedModels[0] ?? ''))).to.deep.equal([])
    })
  })

  describe('when parts are lost', () => {
    it('follows the demand with the servers that are left when a zone is lost', async () => {
      const fixture = await createSettledDeployment()
      for (const server of fixture.servers.list()) if (server.zone === 'z0') fixture.servers.kill(server.id)
      for (let step = 0; step < 40; step += 1) {
        for (const replica of fixture.listReplicas()) fixture.check(replica.id)
        await fixture.timers.advanceAsync(1000)
      }
      expect(getBestUtilization(108, meanDemand) / getHighestUtilization(fixture, meanDemand)).to.be.at.least(0.8)
      expect(fixture.servers.violations).to.deep.equal([])
    })

    for (const atMs of [3200, 3700, 4500, 5500]) {
      it(`goes on with a new planner in mid-change (after ${atMs} ms)`, async () => {
        const fixture = await createDeployment()
        fixture.beginTraffic()
        fixture.servers.faults.closingMs = 1000
        fixture.setDemand(meanDemand)
        await fixture.timers.advanceAsync(atMs)
        fixture.takeOver()
        await fixture.timers.advanceAsync(25_000)
        expect(getBestUtilization(162, meanDemand) / getHighestUtilization(fixture, meanDemand)).to.be.at.least(0.9)
        expect(fixture.servers.preempted).to.deep.equal([])
        expect(fixture.servers.violations).to.deep.equal([])
      })
    }

    it('replaces a member that is lost while its replica gives up its servers', async () => {
      const fixture = await createDeployment()
      fixture.beginTraffic()
      fixture.servers.faults.closingMs = 2000
      fixture.setDemand(meanDemand)
      await fixture.timers.advanceAsync(4000)
      const closing = fixture.listReplicas().find(replica => replica.leader?.group?.state === 'closing')
      expect(closing).to.not.equal(undefined)
      fixture.servers.kill(closing?.members[2]?.id as string)
      fixture.check(closing?.id as string)
      await fixture.timers.advanceAsync(30_000)
      expect(getBestUtilization(161, meanDemand) / getHighestUtilization(fixture, meanDemand)).to.be.at.least(0.9)
      expect(fixture.servers.violations).to.deep.equal([])
    })
  })

  describe('under changing demand, server deaths, late commands, lost responses and planner changes', () => {
    for (const seed of [1, 2, 3, 4]) {
      it(`never opens an incomplete replica or moves a member of an open one, and recovers (seed ${seed})`, async () => {
        const fixture = createPlannerFixture(seed, engine)
        for (let domain = 0; domain < 3; domain += 1) {
          for (let index = 0; index < 18; index += 1) fixture.servers.add(`d${domain}-s${index}`, `d${domain}`, `z${domain}`)
        }
        fixture.setDemand({})
        fixture.takeOver()
        await fixture.timers.advanceAsync(formingTimeMs)
        fixture.beginTraffic()
        Object.assign(fixture.servers.faults, { lateCommandShare: 0.2, lostResponseShare: 0.2, listLagMs: seed % 3 * 200, closingMs: 1500 })
        for (let step = 0; step < 40; step += 1) {
          const choice = fixture.random.nextInt(6)
          const server = fixture.random.pick(fixture.servers.list())
          if (choice === 0 && server !== undefined) fixture.servers.kill(server.id)
          if (choice === 1) fixture.servers.add(`new-${step}`, `d${fixture.random.nextInt(3)}`)
          if (choice === 2 && step % 4 === 0) fixture.takeOver()
          if (step % 8 === 0) fixture.setDemand({ m0: 5 + fixture.random.nextInt(20), m1: 5 + fixture.random.nextInt(25) })
          for (const replica of fixture.listReplicas()) fixture.check(replica.id)
          await fixture.timers.advanceAsync(500 + fixture.random.nextInt(2500))
        }
        Object.assign(fixture.servers.faults, { lateCommandShare: 0, lostResponseShare: 0 })
        fixture.setDemand({ m0: 8, m1: 8 })
        for (let index = 0; index < 60; index += 1) {
          for (const replica of fixture.listReplicas()) fixture.check(replica.id)
          await fixture.timers.advanceAsync(2000)
        }
        expect(fixture.servers.violations).to.deep.equal([])
        const { m0, m1 } = countServers(fixture)
        expect(m0).to.be.at.least(8)
        expect(m1).to.be.at.least(2)
      })
    }
  })
})
