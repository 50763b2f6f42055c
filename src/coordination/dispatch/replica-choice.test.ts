import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { MemberState, ServerState, type BackendServer } from '../../state/backend-server.js'
import { listReplicas, type Replica } from '../../state/replica.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import { chooseReplica, ReplicaChoiceKind } from './replica-choice.js'
import { createReplicaLoads, type ReplicaLoads } from './replica-loads.js'

function makeGroup (name: string, zone: string, state = MemberState.Open, memberCount = 3): BackendServer[] {
  return Array.from({ length: memberCount }, (_, rank) => ({
    id: `${name}-${rank}`,
    serviceName: 'drafting',
    host: '10.0.0.1',
    port: 80,
    zone,
    state: ServerState.Ready,
    slotCount: 18,
    startedAtMs: 1,
    domain: 'd0',
    stagedModels: ['small'],
    loadedModels: ['small'],
    group: { groupName: `small.${name}`, epoch: 1, rank, state: rank === 0 ? state : MemberState.Ready }
  }))
}

describe('choice of a group', () => {
  let loads: ReplicaLoads
  const timers = createVirtualTimerService()
  const random = createRandomSource(7)

  beforeEach(() => {
    loads = createReplicaLoads(timers)
  })

  function choose (servers: readonly BackendServer[], excluded: readonly string[] = [], maxOwnStreamCount = 50) {
    const replicas: Replica[] = listReplicas(servers, sampleEngine)
    return chooseReplica({ replicas, model: 'small', slotCount: 18, zone: 'z1', gatewayCount: 7, maxOwnStreamCount, excludedIds: new Set(excluded) }, loads, random)
  }

  it('takes no group that lacks a member or is not open', () => {
    expect(choose(makeGroup('a', 'z1', MemberState.Open, 2)).kind).to.equal(ReplicaChoiceKind.Absent)
    expect(choose(makeGroup('a', 'z1', MemberState.Ready)).kind).to.equal(ReplicaChoiceKind.Absent)
  })

  it('takes no group that stands still, until one of its streams goes on', () => {
    const servers = makeGroup('a', 'z1')
    loads.markStalled('small.a/1')
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Absent)
    loads.recordEvent('small.a/1')
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Chosen)
  })

  it('keeps to the zone until its groups are nearly full, then takes the far one', () => {
    const servers = [...makeGroup('near', 'z1'), ...makeGroup('far', 'z2')]
    const listNames = () => new Set(Array.from({ length: 20 }, () => {
      const choice = choose(servers)
      return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica.groupName : ''
    }))
    for (let index = 0; index < 14; index += 1) loads.beginStream('small.near/1')
    expect([...listNames()]).to.deep.equal(['small.near'])
    for (let index = 0; index < 4; index += 1) loads.beginStream('small.near/1')
    expect([...listNames()]).to.deep.equal(['small.far'])
  })

  it('takes a group that gives no events only when no other has a free slot', () => {
    const servers = [...makeGroup('quiet', 'z1'), ...makeGroup('calm', 'z2')]
    loads.applyReport({ nodeId: 'other', sequence: 1, streamCounts: {}, stalledIds: [], quietIds: ['small.quiet/1'] })
    const getName = () => {
      const choice = choose(servers)
      return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica.groupName : ''
    }
    for (let index = 0; index < 17; index += 1) {
      expect(getName()).to.equal('small.calm')
      loads.beginStream('small.calm/1')
    }
    for (let index = 0; index < 5; index += 1) loads.beginStream('small.calm/1')
    expect(getName()).to.equal('small.quiet')
  })

  it('takes no group where this gateway has as many streams as the server accepts from it', () => {
    const servers = makeGroup('a', 'z1')
    for (let index = 0; index < 3; index += 1) loads.beginStream('small.a/1')
    expect(choose(servers, [], 4).kind).to.equal(ReplicaChoiceKind.Chosen)
    expect(choose(servers, [], 3).kind).to.equal(ReplicaChoiceKind.Full)
  })

  it('counts the streams of other gateways, and forgets them when they fall silent', () => {
    const servers = makeGroup('a', 'z1')
    loads.applyReport({ nodeId: 'other', sequence: 1, streamCounts: { 'small.a/1': 30 }, stalledIds: [], quietIds: [] })
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Full)
    timers.advance(3000)
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Chosen)
  })

  it('avoids a group whose streams have given no event for a while, here or elsewhere', () => {
    const servers = [...makeGroup('a', 'z1'), ...makeGroup('b', 'z1')]
    loads.beginStream('small.a/1')
    loads.beginActiveStream('small.a/1')
    loads.recordEvent('small.a/1')
    timers.advance(300)
    expect(loads.isQuiet('small.a/1')).to.equal(true)
    for (let index = 0; index < 5; index += 1) loads.beginStream('small.b/1')
    const choice = choose(servers)
    expect(choice.kind === ReplicaChoiceKind.Chosen && choice.replica.groupName).to.equal('small.b')
    loads.recordEvent('small.a/1')
    expect(loads.isQuiet('small.a/1')).to.equal(false)
    loads.applyReport({ nodeId: 'other', sequence: 1, streamCounts: {}, stalledIds: [], quietIds: ['small.b/1'] })
    expect(loads.isQuiet('small.b/1')).to.equal(true)
  })

  it('ignores a report that was overtaken by a newer one', () => {
    loads.applyReport({ nodeId: 'other', sequence: 2, streamCounts: { 'small.a/1': 1 }, stalledIds: [], quietIds: [] })
    loads.applyReport({ nodeId: 'other', sequence: 1, streamCounts: { 'small.a/1': 30 }, stalledIds: [], quietIds: [] })
    expect(loads.getStreamCount('small.a/1')).to.equal(1)
  })
})
