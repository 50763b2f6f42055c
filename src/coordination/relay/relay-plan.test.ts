import { expect } from 'chai'

import { createRelayPlans, listRelays, listReportPeers, planRelays, type ListedGateway } from './relay-plan.js'

function makeGateways (zoneCounts: Readonly<Record<string, number>>): ListedGateway[] {
  return Object.entries(zoneCounts).flatMap(([zone, count]) =>
    Array.from({ length: count }, (_, index) => ({ nodeId: `${zone}-${index}`, zone, address: `${zone}:${index}`, listedRevision: 100 + index })))
}

describe('relay plan', () => {
  it('lets all gateways of a small deployment read the store', () => {
    const gateways = makeGateways({ a: 3, b: 3, c: 2 })
    expect(gateways.every(gateway => planRelays(gateways, gateway.nodeId).readsStoreDirectly)).to.equal(true)
  })

  it('chooses a few relays per zone, the same for all gateways, and spreads the others over them', () => {
    const gateways = makeGateways({ a: 20, b: 20, c: 20, d: 20 })
    const plans = gateways.map(gateway => planRelays(gateways, gateway.nodeId))
    expect(plans.filter(plan => plan.readsStoreDirectly)).to.have.length(4)
    const preferred = plans.flatMap(plan => plan.relays[0]?.nodeId ?? [])
    expect([...new Set(preferred)].sort()).to.deep.equal(['a-0', 'b-0', 'c-0', 'd-0'])
    for (const id of new Set(preferred)) expect(preferred.filter(other => other === id)).to.have.length(19)
  })

  it('lets less than a twentieth of the gateways of a large deployment read the store', () => {
    const zones = Object.fromEntries(Array.from({ length: 9 }, (_, index) => [`z${index}`, 245]))
    const gateways = makeGateways(zones)
    const relayCount = gateways.filter(gateway => planRelays(gateways, gateway.nodeId).readsStoreDirectly).length
    expect(relayCount).to.be.lessThan(gateways.length / 20)
  })

  it('lists relays of other zones after those of the same zone', () => {
    const gateways = makeGateways({ a: 40, b: 20, c: 20 })
    const zones = planRelays(gateways, 'a-30').relays.map(relay => relay.zone)
    expect(zones.slice(0, 2)).to.deep.equal(['a', 'a'])
    expect(zones.slice(2).sort()).to.deep.equal(['b', 'c'])
  })

  it('lets a gateway that is not listed yet read the store', () => {
    expect(planRelays(makeGateways({ a: 40 }), 'new').readsStoreDirectly).to.equal(true)
  })

  it('is computed once for each list', () => {
    let gateways = Array.from({ length: 40 }, (_, index) => ({ nodeId: `n${index}`, zone: 'z', address: `h:${index}`, listedRevision: index }))
    const plans = createRelayPlans(() => gateways, 'n39')
    const first = plans.getPlan()
    expect(first).to.deep.equal(planRelays(gateways, 'n39'))
    expect(plans.listRelays()).to.deep.equal(listRelays(gateways))
    expect(plans.getPlan()).to.equal(first)
    gateways = gateways.slice(5)
    expect(plans.getPlan()).to.deep.equal(planRelays(gateways, 'n39'))
    expect(plans.getPlan()).to.not.equal(first)
  })

  describe('exchange of load reports', () => {
    const gateways = makeGateways({ a: 20, b: 20, c: 20 })
    const relays = listRelays(gateways)
    const listPeerIds = (changes: { readonly plannerId: string, readonly isPlanner?: boolean, readonly readsStoreDirectly?: boolean }) =>
      listReportPeers({ gateways, relays, isPlanner: false, readsStoreDirectly: true, ...changes }).map(gateway => gateway.nodeId)

    // Guards against a planner that knows of no streams and no demand but its own.
    it('includes a planner that is no relay, in both directions', () => {
      expect(listPeerIds({ plannerId: 'b-7' })).to.deep.equal(['a-0', 'b-0', 'c-0', 'b-7'])
      expect(listPeerIds({ plannerId: 'b-7', isPlanner: true, readsStoreDirectly: false })).to.include.members(['a-0', 'b-0', 'c-0'])
    })

    it('lists each gateway once, and none for gateways that ask a relay', () => {
      expect(listPeerIds({ plannerId: 'a-0' })).to.deep.equal(['a-0', 'b-0', 'c-0'])
      expect(listPeerIds({ plannerId: 'gone' })).to.deep.equal(['a-0', 'b-0', 'c-0'])
      expect(listPeerIds({ plannerId: 'b-7', readsStoreDirectly: false })).to.deep.equal([])
    })
  })
})
