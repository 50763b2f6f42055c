import { expect } from 'chai'

import type { BackendServer } from '../../state/backend-server.js'
import type { ReplicatedModel } from '../../state/serving-config.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { chooseSupplyChange, type SupplyReplica, type SupplyState } from './supply-plan.js'

const large: ReplicatedModel = { name: 'large', groupSize: 8, pace: 1, share: 0.5, loadMs: 16_000, warmLoadMs: 1600 }
const small: ReplicatedModel = { name: 'small', groupSize: 2, pace: 0.6, share: 0.5, loadMs: 12_000, warmLoadMs: 1100 }
const odd: ReplicatedModel = { ...small, name: 'odd', groupSize: 3 }

interface ReplicaChanges {
  readonly domain?: string
  readonly zone?: string
  readonly staged?: readonly string[]
  readonly streamCount?: number
}

function makeReplica (id: string, model: ReplicatedModel, { domain = 'd0', zone = 'z0', staged = ['large', 'small', 'odd'], streamCount = 0 }: ReplicaChanges = {}): SupplyReplica {
  const members: BackendServer[] = Array.from({ length: model.groupSize }, (_, index) =>
    makeBackendServer({ id: `${id}-${index}`, domain, zone, stagedModels: staged, loadedModels: [model.name] }))
  return { id, model, domain, members, streamCount }
}

function choose (replicas: readonly SupplyReplica[], demand: Readonly<Record<string, number>>, changes: Partial<SupplyState> = {}) {
  const serverCounts = new Map<string, number>()
  for (const { model } of replicas) serverCounts.set(model.name, (serverCounts.get(model.name) ?? 0) + model.groupSize)
  return chooseSupplyChange({
    models: [large, small],
    replicas,
    serverCounts,
    recoveringCounts: new Map(),
    demandSeconds: [new Map(Object.entries(demand))],
    maxChangingServerCount: 32,
    isFetching: () => false,
    ...changes
  })
}

const larges = ['l0', 'l1', 'l2'].map((id, index) => makeReplica(id, large, { streamCount: 3 - index }))
const smalls = Array.from({ length: 6 }, (_, index) => makeReplica(`s${index}`, small, { streamCount: index }))

describe('supply plan', () => {
  it('takes the replica with the fewest streams from the model with servers to spare', () => {
    const change = choose([...larges, ...smalls], { large: 4, small: 12 })
    expect(change?.replicas.map(({ id }) => id)).to.deep.equal(['l2'])
    expect(change).to.include({ from: large, to: small, isStaged: true })
  })

  it('takes as many small replicas of one domain as a large group needs', () => {
    const elsewhere = Array.from({ length: 3 }, (_, index) => makeReplica(`e${index}`, small, { domain: 'd1' }))
    const change = choose([larges[0] as SupplyReplica, ...elsewhere, ...smalls], { large: 8, small: 2 })
    expect(change?.replicas.map(({ id }) => id)).to.deep.equal(['s0', 's1', 's2', 's3'])
  })

  it('never takes the last replica of a model', () => {
    expect(choose([larges[0] as SupplyReplica, ...smalls], { small: 12 })).to.equal(undefined)
    expect(choose([larges[0] as SupplyReplica, ...smalls.slice(0, 4)], { large: 30 })).to.equal(undefined)
  })

  it('takes nothing from a model that is short itself, nor for one that is not short', () => {
    expect(choose([...larges, ...smalls], { large: 14, small: 100 })).to.equal(undefined)
    expect(choose([...larges, ...smalls], { large: 0.1, small: 5 })).to.equal(undefined)
  })

  it('asks for the imbalance in each second', () => {
    const [calm, burst] = [{ large: 9, small: 5 }, { large: 4, small: 30 }].map(demand => new Map(Object.entries(demand)))
    expect(choose([...larges, ...smalls], {}, { demandSeconds: [burst, burst, calm] as Array<Map<string, number>> })).to.equal(undefined)
    expect(choose([...larges, ...smalls], {}, { demandSeconds: [burst, burst] as Array<Map<string, number>> })).to.not.equal(undefined)
    expect(choose([...larges, ...smalls], {}, { demandSeconds: [] })).to.equal(undefined)
  })

  it('prefers replicas whose members have the weights, then those that are fetching them', () => {
    const unstaged = [0, 1, 2].map(index => makeReplica(`u${index}`, large, { staged: ['large'] }))
    const staged = makeReplica('staged', large, { streamCount: 20 })
    expect(choose([...unstaged, staged, ...smalls], { large: 4, small: 12 })?.replicas.map(({ id }) => id)).to.deep.equal(['staged'])
    const change = choose([...unstaged, ...smalls], { large: 4, small: 12 }, { isFetching: id => id.startsWith('u2') })
    expect(change?.replicas.map(({ id }) => id)).to.deep.equal(['u2'])
    expect(change).to.deep.include({ isStaged: false, unstaged: [] })
    expect(choose([...unstaged, ...smalls], { large: 4, small: 12 })?.unstaged).to.have.length(8)
  })

  it('keeps a model in all zones', () => {
    const spread = [makeReplica('a', large, { zone: 'z0', domain: 'd0' }), makeReplica('b', large, { zone: 'z1', domain: 'd1', streamCount: 9 }), makeReplica('c', large, { zone: 'z1', domain: 'd2', streamCount: 8 })]
    expect(choose([...spread, ...smalls], { large: 4, small: 12 })?.replicas.map(({ id }) => id)).to.deep.equal(['c'])
  })

  it('takes further replicas when fewer servers are left over', () => {
    const odds = ['o0', 'o1'].map(id => makeReplica(id, odd))
    const change = choose([...larges, ...odds], { large: 4, odd: 8 }, { models: [large, odd], serverCounts: new Map([['large', 24], ['odd', 6]]) })
    expect(change?.replicas).to.have.length(1)
    const five = { ...large, groupSize: 5, name: 'five' }
    const fives = ['f0', 'f1', 'f2', 'f3'].map(id => makeReplica(id, five))
    const fromFive = choose([...fives, ...odds], { five: 3, odd: 6 }, { models: [five, odd] })
    // Two replicas of five servers make three groups of three; one would leave two servers over.
    expect(fromFive?.replicas).to.have.length(2)
  })

  it('does not count replicas that are being replaced as servers to give away', () => {
    const state = { serverCounts: new Map([['large', 24], ['small', 12]]) }
    expect(choose([...larges, ...smalls], { large: 7, small: 12 }, state)).to.not.equal(undefined)
    expect(choose([...larges, ...smalls], { large: 7, small: 12 }, { ...state, recoveringCounts: new Map([['large', 8]]) })).to.equal(undefined)
  })
})
