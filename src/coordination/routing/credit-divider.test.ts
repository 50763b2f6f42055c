import { expect } from 'chai'
import fc from 'fast-check'

import { defaultCreditDividerSettings, divideCredits, type DividedCredits, type RouterDemand } from './credit-divider.js'

const settings = defaultCreditDividerSettings

function createRouter (nodeId: string, vrany: number, lotus: number): RouterDemand {
  const toDemand = (partner: string, waitingCount: number) => ({ partner, inFlightCount: 0, waitingCount, heldCreditCount: 0, preferredCount: 0 })
  return { nodeId, partners: [toDemand('vrany', vrany), toDemand('lotus', lotus)] }
}

function divide (slotCount: number, vranyPercent: number, routers: RouterDemand[]): DividedCredits {
  const shares = [
    { partner: 'vrany', capacityPercent: vranyPercent, priority: 1 },
    { partner: 'lotus', capacityPercent: 100 - vranyPercent, priority: 1 }
  ]
  return divideCredits({ groupId: 'g', slotCount, shares, routers, settings })
}

function sumPartner (divided: DividedCredits, partner: string): number {
  return [...divided.values()].reduce((sum, counts) => sum + (counts.get(partner) ?? 0), 0)
}

describe('credit divider', () => {
  it('gives each partner its share when both request more', () => {
    const divided = divide(40, 70, [createRouter('a', 100, 0), createRouter('b', 0, 100)])
    expect(sumPartner(divided, 'vrany')).to.equal(28)
    expect(sumPartner(divided, 'lotus')).to.equal(12)
  })

  it('lends the slots that a partner does not use, except the reserve', () => {
    const divided = divide(40, 50, [createRouter('a', 100, 0), createRouter('b', 0, 0)])
    expect(sumPartner(divided, 'vrany')).to.equal(38)
  })

  it('gives slots to the routers that request them', () => {
    const divided = divide(40, 50, [createRouter('a', 100, 100), createRouter('b', 3, 0)])
    expect(divided.get('a')?.get('vrany')).to.equal(17)
    expect(divided.get('b')?.get('vrany')).to.equal(3)
  })

  it('spreads headroom over idle routers', () => {
    const divided = divide(40, 50, [createRouter('a', 0, 0), createRouter('b', 0, 0)])
    for (const counts of divided.values()) expect([...counts.values()]).to.deep.equal([10, 10])
  })

  it('divides exactly the slots of the group among the known routers', () => {
    const demand = fc.tuple(fc.nat(50), fc.nat(50))
    fc.assert(fc.property(fc.nat(100), fc.nat(100), fc.array(demand, { minLength: 1, maxLength: 12 }), (slotCount, percent, demands) => {
      const routers = demands.map(([vrany, lotus], index) => createRouter(`n${index}`, vrany, lotus))
      const divided = divide(slotCount, percent, routers)
      expect(sumPartner(divided, 'vrany') + sumPartner(divided, 'lotus')).to.equal(slotCount)
    }), { seed: 1, numRuns: 200 })
  })
})
