import { expect } from 'chai'

import type { RelayResponse, RelayLink } from '../coordination/ports/relay-link.js'
import { success } from '../shared/result.js'
import { runRelayFuzz } from './relay-fuzz.js'

const seeds = Array.from({ length: 20 }, (_, index) => index + 1)
const stepCount = 40

/** Changes each answer of a relay. */
function withAnswers (change: (answer: RelayResponse) => RelayResponse) {
  return (link: RelayLink): RelayLink => ({
    async fetch (address, question) {
      const answer = await link.fetch(address, question)
      return answer.isOk ? success(change(answer.value)) : answer
    }
  })
}

const isYoung = withAnswers(answer => ({ ...answer, source: { ...answer.source, age: { ...answer.source.age, ageMs: 0 } } }))
const losesLargeValues = withAnswers(answer => ({ ...answer, omittedKeys: [] }))

async function countFailures (wrapLink: (link: RelayLink) => RelayLink): Promise<number> {
  const results = await Promise.all(seeds.map(seed => runRelayFuzz({ seed, stepCount, wrapLink })))
  return results.filter(violations => violations.length > 0).length
}

describe('relay fuzz', () => {
  for (const seed of seeds) {
    it(`never states a configuration younger than it is, nor goes back, and converges (seed ${seed})`, async () => {
      expect(await runRelayFuzz({ seed, stepCount })).to.deep.equal([])
    })
  }

  it('catches relays that state no age', async () => {
    expect(await countFailures(isYoung)).to.be.greaterThan(0)
  })

  it('catches relays that lose large values', async () => {
    expect(await countFailures(losesLargeValues)).to.be.greaterThan(0)
  })
})
