import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { ServerState } from '../../state/backend-server.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { BlockReason, type ServerCheck } from '../servers/server-admission.js'
import { chooseServer, findShortestBlock } from './server-choice.js'

const near = makeBackendServer({ id: 'near', zone: 'z1' })
const far = makeBackendServer({ id: 'far', zone: 'z2' })
const leaving = makeBackendServer({ id: 'leaving', zone: 'z1', state: ServerState.Draining })
const costs: Readonly<Record<string, number>> = { near: 20, far: 20 }

function choose (checks: Readonly<Record<string, ServerCheck>> = {}, { triedIds = [], cost = costs, inFlightCount = 0 }: { readonly triedIds?: string[], readonly cost?: typeof costs, readonly inFlightCount?: number } = {}) {
  const { server, limitedServers } = chooseServer({
    servers: [leaving, far, near], triedServerIds: new Set(triedIds), zone: 'z1', maxInFlightCount: 5, check: ({ id }) => checks[id] ?? { isAllowed: true }
  }, { countInFlight: id => id === 'near' ? inFlightCount : 0, getCost: id => cost[id] ?? 0 }, createRandomSource(1))
  return { id: server?.id, limitedIds: limitedServers.map(({ id }) => id) }
}

const limited: ServerCheck = { isAllowed: false, reason: BlockReason.Limited, waitMs: 0 }
const held: ServerCheck = { isAllowed: false, reason: BlockReason.Held, waitMs: 700 }
const evacuated: ServerCheck = { isAllowed: false, reason: BlockReason.Evacuated, waitMs: Infinity }

describe('the choice of a server of a plain service', () => {
  it('takes a ready server of the zone while it is not much slower', () => {
    expect(choose().id).to.equal('near')
    expect(choose({}, { cost: { near: 60, far: 20 } }).id).to.equal('far')
  })

  // Guards against a second attempt at the same server, and against more requests than a server takes.
  it('leaves out servers that were tried, or have as many requests as this gateway may send', () => {
    expect(choose({}, { triedIds: ['near'] }).id).to.equal('far')
    expect(choose({}, { triedIds: ['near', 'far'] }).id).to.equal(undefined)
    expect(choose({}, { inFlightCount: 5 }).id).to.equal('far')
  })

  it('leaves out blocked servers, and tells those that need a permit', () => {
    expect(choose({ near: held })).to.deep.equal({ id: 'far', limitedIds: [] })
    expect(choose({ near: limited })).to.deep.equal({ id: 'far', limitedIds: ['near'] })
    expect(choose({ near: limited, far: limited })).to.deep.equal({ id: undefined, limitedIds: ['near', 'far'] })
  })

  it('finds the block that ends first only when no ready server may get a request', () => {
    const check = (checks: Readonly<Record<string, ServerCheck>>) => findShortestBlock([leaving, near, far], ({ id }) => checks[id] ?? { isAllowed: true })
    expect(check({ near: evacuated, far: held })).to.equal(held)
    expect(check({ near: held })).to.equal(undefined)
    expect(check({ near: held, far: limited })).to.equal(undefined)
    expect(findShortestBlock([leaving], () => held)).to.equal(undefined)
  })
})
