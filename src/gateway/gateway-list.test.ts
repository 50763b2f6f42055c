import { expect } from 'chai'

import type { ListedGateway } from '../coordination/relay/relay-plan.js'
import { createGatewayList } from './gateway-list.js'

const makeGateways = (count: number): ListedGateway[] => Array.from({ length: count }, (_, index) => ({ nodeId: `n${index}`, zone: 'z1', address: `10.0.0.${index}:80`, listedRevision: index }))

function createSample (count: number) {
  const state = { gateways: makeGateways(count), knownCount: count }
  return { state, list: createGatewayList({ nodeId: 'n0', listGateways: () => state.gateways, countGateways: () => state.knownCount }) }
}

describe('gateway list', () => {
  it('returns the same array until the list changes', () => {
    const { state, list } = createSample(4)
    expect(list.listIds()).to.equal(list.listIds())
    state.gateways = makeGateways(5)
    expect(list.listIds()).to.have.length(5)
  })

  // Guards against gateways with different short lists that issue more permits together than a server takes.
  it('keeps the former list while one that has lost more than half of the gateways is new', () => {
    const { state, list } = createSample(8)
    list.listIds()
    state.gateways = makeGateways(3)
    expect(list.listIds()).to.have.length(8)
    state.knownCount = 3
    expect(list.listIds()).to.have.length(3)
  })

  it('lists the addresses of the others that can be read', () => {
    const { state, list } = createSample(3)
    expect(list.toAddresses([...state.gateways, { nodeId: 'odd', zone: 'z1', address: 'nowhere', listedRevision: 9 }]).map(({ host }) => host)).to.deep.equal(['10.0.0.1', '10.0.0.2'])
  })
})
