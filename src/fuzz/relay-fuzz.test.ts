import { expect } from 'chai'

import type { RelayResponse, RelayLink } from '../coordination/ports/relay-link.js'
import type { RevisionedStore } from '../coordination/ports/revisioned-store.js'
import { success } from '../shared/result.js'
import { runRelayHistory, type RelayHistoryOptions } from './relay-fuzz.js'

const seeds = Array.from({ length: 20 }, (_, index) => index + 1)
const stepCount = 40

/** Changes each response of a relay. */
function withResponses (change: (response: RelayResponse) => RelayResponse) {
  return (link: RelayLink): RelayLink => ({
    async fetch (address, request) {
      const response = await link.fetch(address, request)
      return response.isOk ? success(change(response.value)) : response
    }
  })
}

const reportsZeroAge = withResponses(response => ({ ...response, source: { ...response.source, age: { ...response.source.age, ageMs: 0 } } }))
const hidesOmittedKeys = withResponses(response => ({ ...response, omittedKeys: [] }))

const forgetsCarriedOverKeys = withResponses(response =>
  response.source.isWhole ? { ...response, source: { ...response.source, carriedOverKeys: [] } } : response)

/** Hides that the store came back from a copy. */
function hideEra (store: RevisionedStore): RevisionedStore {
  return {
    ...store,
    async read (prefix) {
      const result = await store.read(prefix)
      return result.isOk ? success({ ...result.value, era: 1 }) : result
    },
    async watch (prefix, afterRevision, waitMs) {
      const result = await store.watch(prefix, afterRevision, waitMs)
      return result.isOk ? success({ ...result.value, era: 1 }) : result
    }
  }
}

async function countFailures (wrappers: Pick<RelayHistoryOptions, 'wrapLink' | 'wrapStore'>): Promise<number> {
  const results = await Promise.all(seeds.map(seed => runRelayHistory({ seed, stepCount, ...wrappers })))
  return results.filter(violations => violations.length > 0).length
}

describe('relay fuzz', () => {
  for (const seed of seeds) {
    it(`never understates the age of a configuration, never goes back and converges (seed ${seed})`, async () => {
      expect(await runRelayHistory({ seed, stepCount })).to.deep.equal([])
    })
  }

  it('catches relays that report an age of zero', async () => {
    expect(await countFailures({ wrapLink: reportsZeroAge })).to.be.greaterThan(0)
  })

  it('catches gateways that do not notice that the store came back from a copy', async () => {
    expect(await countFailures({ wrapStore: hideEra })).to.be.greaterThan(0)
  })

  it('catches relays that do not name the entries of a copy', async () => {
    expect(await countFailures({ wrapLink: forgetsCarriedOverKeys })).to.be.greaterThan(0)
  })

  it('catches relays that do not list the large values they omit', async () => {
    expect(await countFailures({ wrapLink: hidesOmittedKeys })).to.be.greaterThan(0)
  })
})
