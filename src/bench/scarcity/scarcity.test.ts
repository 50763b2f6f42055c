import { expect } from 'chai'

import { deploymentA, type Deployment, type ScarcityCase } from './scarcity-cases.js'
import { sumResults, type ResultSum } from './scarcity-results.js'
import { runScarcity, ScarcityPolicy, type KindResult } from './scarcity-run.js'

/** Fraction of the worth by which two runs may differ by chance. */
const tolerance = 0.02
/** Deployment A with a third of its gateways and replicas, so that a run takes seconds. */
const smallDeployment: Deployment = { ...deploymentA, gatewaysPerZone: 7, replicasPerZone: { m0: 1, m1: 3 } }

function makeCase (demand: number): ScarcityCase {
  return { name: `demand ${demand}`, deployment: smallDeployment, demand }
}

function sumOf (results: readonly KindResult[], kindName: string, teamName?: string): ResultSum {
  return sumResults(results.filter(result => result.kindName === kindName && (teamName === undefined || result.teamName === teamName)))
}

describe('a scarce model', () => {
  // Guards against calls that are refused for others while there is room for all.
  it('has no effect while there is room', async () => {
    const product = await runScarcity(makeCase(0.6), ScarcityPolicy.Product, 1)
    const baseline = await runScarcity(makeCase(0.6), ScarcityPolicy.FirstComeFirstServed, 1)
    expect(sumResults(product).refused).to.be.lessThan(tolerance)
    expect(sumResults(product).worth).to.be.at.least(sumResults(baseline).worth - tolerance)
  })

  describe('at 1.5 times the demand that its engines carry', () => {
    let product: readonly KindResult[]
    let baseline: readonly KindResult[]

    before(async function () {
      this.timeout(120_000)
      product = await runScarcity(makeCase(1.5), ScarcityPolicy.Product, 1)
      baseline = await runScarcity(makeCase(1.5), ScarcityPolicy.FirstComeFirstServed, 1)
    })

    // Guards against replicas that are filled beyond their slots, so that every stream is late.
    it('earns more than first come, first served, since streams begin in time or are refused', () => {
      expect(sumResults(product).worth).to.be.greaterThan(2 * sumResults(baseline).worth)
      expect(sumOf(product, 'draft').late).to.be.lessThan(0.1)
    })

    it('serves the more urgent of two kinds more often, and both of them', () => {
      const [urgent, other] = [sumOf(product, 'clause'), sumOf(product, 'digest')]
      expect(urgent.inTime + urgent.late).to.be.greaterThan(other.inTime + other.late)
      expect(other.inTime).to.be.greaterThan(0)
    })

    // Guards against a team that loses its share to one that asks for more.
    it('serves a team that asks for less than its share', () => {
      for (const kindName of ['draft', 'clause']) {
        const small = sumOf(product, kindName, 'small')
        expect(small.inTime + small.late, kindName).to.be.at.least(0.9)
      }
    })
  })
})
