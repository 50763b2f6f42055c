import { expect } from 'chai'

import type { ReplicatedModel } from '../../state/serving-config.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { listStagingWishes } from './staging-plan.js'
import type { SupplyReplica } from './supply-plan.js'

const large: ReplicatedModel = { name: 'large', groupSize: 8, pace: 1, share: 0.5, loadMs: 16_000, warmLoadMs: 1600 }
const small: ReplicatedModel = { name: 'small', groupSize: 2, pace: 0.6, share: 0.5, loadMs: 12_000, warmLoadMs: 1100 }

function makeReplica (id: string, model: ReplicatedModel, zone: string, staged: readonly string[] = [model.name]): SupplyReplica {
  const members = Array.from({ length: model.groupSize }, (_, index) => makeBackendServer({ id: `${id}-${index}`, zone, stagedModels: staged, loadedModels: [model.name] }))
  return { id, model, domain: 'd0', members, streamCount: 0 }
}

const replicas = [
  ...['z0', 'z0', 'z0', 'z1', 'z2', 'z2'].map((zone, index) => makeReplica(`l${index}`, large, zone)),
  ...['z0', 'z1', 'z0', 'z1'].map((zone, index) => makeReplica(`s${index}`, small, zone))
]
const listReplicaIds = (wishes: ReturnType<typeof listStagingWishes>) => [...new Set(wishes.map(({ server }) => server.id.split('-')[0]))]

describe('staging plan', () => {
  it('stages on the largest groups first, in all zones alike, and on part of the replicas when a host keeps one model', () => {
    const wishes = listStagingWishes({ models: [small, large], replicas, stagedModelLimit: 1 })
    expect(listReplicaIds(wishes)).to.deep.equal(['l0', 'l3', 'l4', 's0'])
    expect(wishes.every(({ server, model }) => !server.loadedModels.includes(model))).to.equal(true)
  })

  it('stages on all replicas when a host keeps several models', () => {
    expect(listReplicaIds(listStagingWishes({ models: [small, large], replicas, stagedModelLimit: 2 }))).to.have.length(10)
  })

  // Guards against staging without end: each change of the order would replace the weights on further hosts.
  it('does not exceed the part when other replicas have begun', () => {
    const begun = [makeReplica('l8', large, 'z0', ['small']), makeReplica('l9', large, 'z0', ['small']), ...replicas.filter(({ model }) => model === large).slice(0, 4)]
    expect(listReplicaIds(listStagingWishes({ models: [small, large], replicas: begun, stagedModelLimit: 1 }))).to.deep.equal(['l0'])
  })

  // Guards against slow restarts in small deployments, where no change between models is to be expected.
  it('asks for nothing with few replicas when a host keeps one model', () => {
    const few = [...replicas.slice(0, 3), ...replicas.slice(-3)]
    expect(listStagingWishes({ models: [small, large], replicas: few, stagedModelLimit: 1 })).to.deep.equal([])
  })

  it('asks for nothing with one model', () => {
    expect(listStagingWishes({ models: [large], replicas, stagedModelLimit: 1 })).to.deep.equal([])
  })
})
