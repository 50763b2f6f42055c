import { expect } from 'chai'

import { decodeLoadReport, decodeRelayRequest, relayResponseSchema } from './relay-messages.js'

const report = { nodeId: 'n', sequence: 1, streamCounts: { r: 2 }, stalledIds: [], quietIds: [] }
const request = { after: { era: 1, revision: 5 }, waitMs: 100, wantsLargeValues: false, loads: report }
const response = { isWhole: false, era: 1, asOfRevision: 5, ageMs: 0, isStoreBack: false, items: [{ key: 'k', revision: 5, value: 'v' }], omittedKeys: [], carriedOverKeys: [], loads: report }
const nested = '['.repeat(30_000) + ']'.repeat(30_000)
const oddNumbers: readonly number[] = [1e300, 2 ** 53, -1, 0.5]

describe('relay messages', () => {
  it('are decoded', () => {
    expect(decodeLoadReport(JSON.stringify(report))).to.deep.equal(report)
    expect(decodeRelayRequest(JSON.stringify(request))).to.deep.equal(request)
    expect(relayResponseSchema.safeParse(response).success).to.equal(true)
  })

  it('are decoded with demand, and without it from gateways of earlier releases', () => {
    const demand = { gatewayCount: 3, services: { drafting: { small: { arrivalsPerSecond: 2.5, busyServerCount: 0.4 } } } }
    expect(decodeLoadReport(JSON.stringify({ ...report, demand }))).to.deep.equal({ ...report, demand })
    expect(decodeLoadReport(JSON.stringify(report))?.demand).to.equal(undefined)
  })

  // Guards against sums that are not finite, and against a demand that only a faulty gateway can state.
  for (const value of [-1, 1e300, null, 'x']) {
    it(`are rejected when they state a demand of ${value}`, () => {
      const demand = { gatewayCount: 1, services: { drafting: { small: { arrivalsPerSecond: value, busyServerCount: 1 } } } }
      expect(decodeLoadReport(JSON.stringify({ ...report, demand }))).to.equal(undefined)
    })
  }

  it('carry the uses of slots, which reports of earlier releases lack', () => {
    const withUses = { ...report, uses: { 's/m': { '1/300/a': 2.5 } } }
    expect(decodeLoadReport(JSON.stringify(withUses))).to.deep.equal(withUses)
    // Guards against a number that outweighs all other gateways' in a sum.
    for (const number of [1e300, -1]) expect(decodeLoadReport(JSON.stringify({ ...report, uses: { m: { a: number } } }))).to.equal(undefined)
  })

  it('state the pace of replicas', () => {
    const pace = { r: { limitPercent: 25, factorPercent: 150, isFallen: true } }
    expect(decodeLoadReport(JSON.stringify({ ...report, pace }))).to.deep.equal({ ...report, pace })
  })

  // Guards against one odd gateway whose stream counts would be lost with what it states of the pace.
  for (const [title, pace] of [
    ['more replicas than allowed', Object.fromEntries(Array.from({ length: 41 }, (_, index) => [`r${index}`, { limitPercent: 25, factorPercent: 150, isFallen: true }]))],
    ['a limit above 100 percent', { r: { limitPercent: 101, factorPercent: 150, isFallen: true } }],
    ['a negative factor', { r: { limitPercent: 25, factorPercent: -1, isFallen: true } }],
    ['text', 'slow']
  ] as const) {
    it(`are decoded without the pace when it has ${title}`, () => {
      expect(decodeLoadReport(JSON.stringify({ ...report, pace }))).to.deep.include(report)
      expect(decodeLoadReport(JSON.stringify({ ...report, pace }))?.pace).to.equal(undefined)
    })
  }

  it('are rejected when they are nested very deeply', () => {
    expect(decodeLoadReport(nested)).to.equal(undefined)
    expect(decodeRelayRequest(JSON.stringify({ ...request, loads: 'x' }).replace('"x"', nested))).to.equal(undefined)
    expect(relayResponseSchema.safeParse(JSON.parse(nested)).success).to.equal(false)
  })

  // Each guards against a position or a sequence that no later one exceeds, so that the gateway no longer follows the list.
  for (const number of oddNumbers) {
    it(`are rejected when they count with ${number}`, () => {
      expect(decodeLoadReport(JSON.stringify({ ...report, sequence: number }))).to.equal(undefined)
      expect(decodeLoadReport(JSON.stringify({ ...report, streamCounts: { r: number } }))).to.equal(undefined)
      expect(decodeRelayRequest(JSON.stringify({ ...request, after: { era: number, revision: 5 } }))).to.equal(undefined)
      expect(relayResponseSchema.safeParse({ ...response, asOfRevision: number }).success).to.equal(false)
      expect(relayResponseSchema.safeParse({ ...response, era: number }).success).to.equal(false)
      expect(relayResponseSchema.safeParse({ ...response, items: [{ key: 'k', revision: number, value: 'v' }] }).success).to.equal(false)
    })
  }
})
