import { expect } from 'chai'

import { createPlannerFixture } from '../../testing/planner-fixture.js'
import { ServerCommandKind } from '../ports/server-control.js'

const zones = ['zone-1', 'zone-2']
/** A group of six, one of three and five spares, which suffice for one more group of three. */
const serverCount = 14

async function createZonedFixture () {
  const fixture = createPlannerFixture(5)
  for (const [index, zone] of zones.entries()) {
    for (let server = 0; server < serverCount; server += 1) fixture.servers.add(`d${index}-s${String(server).padStart(2, '0')}`, `d${index}`, zone)
  }
  fixture.takeOver()
  await fixture.timers.advanceAsync(120_000)
  fixture.beginTraffic()
  await fixture.timers.advanceAsync(1000)
  return fixture
}

function listIn ({ listOpen }: Awaited<ReturnType<typeof createZonedFixture>>, zone: string): string[] {
  return listOpen().filter(({ leader }) => leader?.zone === zone).map(({ id }) => id).sort()
}

describe('replica planner: evacuated zones', () => {
  // Guards against ending the streams in progress of an evacuated zone, and its only replicas of a model (EVAC).
  it('keeps the replicas of the zone, and sends its servers no commands', async () => {
    const fixture = await createZonedFixture()
    const before = listIn(fixture, 'zone-1')
    const sentCount = fixture.servers.sent.length
    fixture.evacuatedZones.add('zone-1')
    await fixture.timers.advanceAsync(60_000)
    expect(listIn(fixture, 'zone-1')).to.deep.equal(before)
    expect(fixture.servers.sent.slice(sentCount).filter(({ serverId }) => serverId.startsWith('d0'))).to.deep.equal([])
  })

  it('keeps them also when all zones are evacuated', async () => {
    const fixture = await createZonedFixture()
    const before = zones.map(zone => listIn(fixture, zone))
    zones.forEach(zone => fixture.evacuatedZones.add(zone))
    await fixture.timers.advanceAsync(60_000)
    expect(zones.map(zone => listIn(fixture, zone))).to.deep.equal(before)
  })

  // Guards against a fleet that stays short while a zone is evacuated, since its groups seem to serve.
  it('does not count them as supply: the model that lost most is formed elsewhere', async () => {
    const listFormed = async (isEvacuated: boolean) => {
      const fixture = createPlannerFixture(6)
      fixture.takeOver()
      const addDomain = async (domain: string, zone: string, count: number) => {
        for (let index = 0; index < count; index += 1) fixture.servers.add(`${domain}-${index}`, domain, zone)
        await fixture.timers.advanceAsync(60_000)
      }
      await addDomain('a', 'zone-1', 6)
      await addDomain('b', 'zone-2', 3)
      await addDomain('c', 'zone-1', 6)
      expect(fixture.listOpen().map(({ domain, model }) => `${domain} ${model?.name}`).sort()).to.deep.equal(['a large', 'b small', 'c large'])
      if (isEvacuated) fixture.evacuatedZones.add('zone-1')
      await addDomain('d', 'zone-2', 6)
      return fixture.listOpen().filter(({ domain }) => domain === 'd').map(({ model }) => model?.name)
    }
    expect(await listFormed(false)).to.deep.equal(['small', 'small'])
    expect(await listFormed(true)).to.deep.equal(['large'])
  })

  it('forms no replica in the zone until the evacuation ends', async () => {
    const fixture = createPlannerFixture(7)
    fixture.evacuatedZones.add('zone-1')
    for (let index = 0; index < 11; index += 1) fixture.servers.add(`a${String(index).padStart(2, '0')}`, 'd0', 'zone-1')
    fixture.takeOver()
    await fixture.timers.advanceAsync(60_000)
    expect(fixture.servers.sent.filter(({ command }) => command.kind === ServerCommandKind.Join)).to.deep.equal([])
    fixture.evacuatedZones.clear()
    await fixture.timers.advanceAsync(120_000)
    expect(fixture.listOpen()).to.have.length(2)
  })
})
