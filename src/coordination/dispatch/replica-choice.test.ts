import { expect } from 'chai'

import { createRandomSource } from '../../shared/random-source.js'
import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { MemberState, ServerState, type BackendServer } from '../../state/backend-server.js'
import { listReplicas, type Replica } from '../../state/replica.js'
import { sampleEngine } from '../../testing/serving-samples.js'
import { BlockReason, type ServerCheck } from '../servers/server-admission.js'
import { AdmissionLimit } from '../scarcity/admission.js'
import { chooseReplica, ReplicaChoiceKind, type ReplicaChoiceInput } from './replica-choice.js'
import { createReplicaLoads, type ReplicaLoads } from './replica-loads.js'
import { computeStreamLimit, type ExpectedTimes } from './stream-limit.js'

function makeReplicaServers (name: string, zone: string, state = MemberState.Open, memberCount = 3): BackendServer[] {
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

describe('replica choice', () => {
  let loads: ReplicaLoads
  let holdsMs: Map<string, number>
  const timers = createVirtualTimerService()
  const random = createRandomSource(7)

  beforeEach(() => {
    loads = createReplicaLoads(timers)
    holdsMs = new Map()
  })

  it('skips a replica whose leader wants no requests, and states the shortest time when all do', () => {
    const servers = [...makeReplicaServers('a', 'z1'), ...makeReplicaServers('b', 'z1')]
    holdsMs.set('a-0', 700)
    const choice = choose(servers)
    expect(choice.kind === ReplicaChoiceKind.Chosen ? choice.replica.groupName : choice.kind).to.equal('small.b')
    holdsMs.set('b-0', 400)
    expect(choose(servers)).to.deep.equal({ kind: ReplicaChoiceKind.Held, holdMs: 400 })
  })

  function check ({ id }: BackendServer): ServerCheck {
    const waitMs = holdsMs.get(id) ?? 0
    return waitMs > 0 ? { isAllowed: false, reason: BlockReason.Held, waitMs } : { isAllowed: true }
  }

  function choose (servers: readonly BackendServer[], excluded: readonly string[] = [], maxOwnStreamCount = 50) {
    const replicas: Replica[] = listReplicas(servers, sampleEngine)
    return chooseReplica({ replicas, model: 'small', slotCount: 18, zone: 'z1', gatewayCount: 7, maxLocalStreamCount: maxOwnStreamCount, excludedIds: new Set(excluded), check }, loads, random)
  }

  describe('with stream limits', () => {
    const servers = [...makeReplicaServers('a', 'z1'), ...makeReplicaServers('b', 'z1')]
    const pick = (limits: Readonly<Record<string, number>>, factors: Readonly<Record<string, number>> = {}) => {
      const choice = chooseReplica({
        replicas: listReplicas(servers, sampleEngine),
        model: 'small',
        slotCount: 18,
        zone: 'z1',
        gatewayCount: 1,
        maxLocalStreamCount: 50,
        excludedIds: new Set(),
        check,
        getStreamLimit: replica => limits[replica.id] ?? 18,
        getPaceFactor: replica => factors[replica.id] ?? 1
      }, loads, random)
      return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica.id : choice.kind
    }
    const fill = (replicaId: string, count: number) => { for (let index = 0; index < count; index += 1) loads.beginStream(replicaId) }

    it('prefers a replica whose limit rises, and leaves it at its limit', () => {
      fill('small.a/1', 1)
      expect(pick({ 'small.a/1': 4 })).to.equal('small.a/1')
      fill('small.a/1', 3)
      expect(pick({ 'small.a/1': 4 })).to.equal('small.b/1')
    })

    it('refuses when the limit is reached and the sound replicas are full', () => {
      fill('small.a/1', 4)
      fill('small.b/1', 23)
      expect(pick({ 'small.a/1': 4 })).to.equal(ReplicaChoiceKind.Full)
    })

    // Guards against a fleet that has just started and refuses everything.
    it('ignores the limits when all replicas have one', () => {
      fill('small.a/1', 4)
      fill('small.b/1', 5)
      expect(pick({ 'small.a/1': 4, 'small.b/1': 4 })).to.equal('small.a/1')
    })

    it('counts the streams of a slow replica as many times as it is slower', () => {
      fill('small.a/1', 3)
      fill('small.b/1', 6)
      expect(pick({})).to.equal('small.a/1')
      expect(pick({}, { 'small.a/1': 3 })).to.equal('small.b/1')
    })

    // Pace may only take replicas out of the choice.
    it('does not choose a replica that wants no requests', () => {
      holdsMs.set('a-0', 700)
      expect(pick({ 'small.a/1': 4 })).to.equal('small.b/1')
    })
  })

  it('skips a replica that lacks a member or is not open', () => {
    expect(choose(makeReplicaServers('a', 'z1', MemberState.Open, 2)).kind).to.equal(ReplicaChoiceKind.Absent)
    expect(choose(makeReplicaServers('a', 'z1', MemberState.Ready)).kind).to.equal(ReplicaChoiceKind.Absent)
  })

  it('skips a stalled replica until one of its streams delivers an event', () => {
    const servers = makeReplicaServers('a', 'z1')
    loads.markStalled('small.a/1')
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Absent)
    loads.recordEvent('small.a/1')
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Chosen)
  })

  it('stays in the zone until its replicas are nearly full, then uses another zone', () => {
    const servers = [...makeReplicaServers('near', 'z1'), ...makeReplicaServers('far', 'z2')]
    const listNames = () => new Set(Array.from({ length: 20 }, () => {
      const choice = choose(servers)
      return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica.groupName : ''
    }))
    for (let index = 0; index < 14; index += 1) loads.beginStream('small.near/1')
    expect([...listNames()]).to.deep.equal(['small.near'])
    for (let index = 0; index < 4; index += 1) loads.beginStream('small.near/1')
    expect([...listNames()]).to.deep.equal(['small.far'])
  })

  it('uses a quiet replica only when no other has a free slot', () => {
    const servers = [...makeReplicaServers('quiet', 'z1'), ...makeReplicaServers('working', 'z2')]
    loads.applyReport({ nodeId: 'other', sequence: 1, streamCounts: {}, stalledIds: [], quietIds: ['small.quiet/1'] })
    const getName = () => {
      const choice = choose(servers)
      return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica.groupName : ''
    }
    for (let index = 0; index < 17; index += 1) {
      expect(getName()).to.equal('small.working')
      loads.beginStream('small.working/1')
    }
    for (let index = 0; index < 5; index += 1) loads.beginStream('small.working/1')
    expect(getName()).to.equal('small.quiet')
  })

  describe('queueing beyond the slots', () => {
    // A place costs 1800 ms / 18 slots = 100 ms.
    const makeExpected = (objectiveLeftMs: number): ExpectedTimes => ({
      firstEventMs: 200,
      slotTimeMs: 1800,
      ownSlotTimeMs: 1800,
      getStreamLimit: paceFactor => computeStreamLimit({ slotCount: 18, slotTimeMs: 1800, objectiveLeftMs, unknownStreamCount: 0, getFirstEventMs: () => 200 }, paceFactor)
    })
    const expected = makeExpected(350)
    const chooseWith = (servers: readonly BackendServer[], changes: Partial<ReplicaChoiceInput>) => chooseReplica({
      replicas: listReplicas(servers, sampleEngine), model: 'small', slotCount: 18, zone: 'z1', gatewayCount: 1, maxLocalStreamCount: 50, excludedIds: new Set(), check: () => ({ isAllowed: true }), ...changes
    }, loads, random)
    const fill = (name: string, count: number) => {
      for (let index = 0; index < count; index += 1) loads.beginStream(`small.${name}/1`)
    }

    it('is refused at once where the first event would come after the objective', () => {
      const servers = makeReplicaServers('a', 'z1')
      fill('a', 18)
      expect(chooseWith(servers, { expected }).kind).to.equal(ReplicaChoiceKind.Chosen)
      fill('a', 1)
      expect(chooseWith(servers, { expected })).to.deep.equal({ kind: ReplicaChoiceKind.Full, streamCount: 19, isForObjective: true, limit: AdmissionLimit.None, roomAfterMs: 1800 })
      expect(chooseWith(servers, {}).kind).to.equal(ReplicaChoiceKind.Chosen)
    })

    it('goes to a replica in another zone that has room', () => {
      fill('near', 19)
      fill('far', 16)
      const choice = chooseWith([...makeReplicaServers('near', 'z1'), ...makeReplicaServers('far', 'z2')], { expected })
      expect(choice.kind === ReplicaChoiceKind.Chosen && choice.replica.groupName).to.equal('small.far')
    })

    // Guards against a few replicas that look empty and get the streams of all gateways before the reports show it.
    it('spreads the streams by the room of the replicas when there are many gateways', () => {
      const servers = ['a', 'b', 'c', 'd'].flatMap(name => makeReplicaServers(name, 'z1'))
      fill('a', 16)
      for (const name of ['b', 'c', 'd']) fill(name, 18)
      const names = Array.from({ length: 400 }, () => {
        const choice = chooseWith(servers, { expected, gatewayCount: 66 })
        return choice.kind === ReplicaChoiceKind.Chosen ? choice.replica.groupName : choice.kind
      })
      const countOf = (name: string) => names.filter(other => other === `small.${name}`).length
      expect(countOf('a')).to.be.within(countOf('b'), 200)
      expect(Math.min(countOf('b'), countOf('c'), countOf('d'))).to.be.greaterThan(40)
    })

    it('is refused to a call that is not admitted, with the reason', () => {
      const choice = chooseWith(makeReplicaServers('a', 'z1'), { expected, admit: () => ({ limit: AdmissionLimit.Team, roomAfterMs: 400 }) })
      expect(choice).to.deep.include({ kind: ReplicaChoiceKind.Full, limit: AdmissionLimit.Team, isForObjective: false, roomAfterMs: 400 })
    })

    // Guards against clients that come back before a lost replica is replaced, and are lost with their only retry.
    it('states no time until room while a replica of the model is not in service', () => {
      const servers = [...makeReplicaServers('a', 'z1'), ...makeReplicaServers('lost', 'z1', MemberState.Open, 2)]
      const choice = chooseWith(servers, { expected, admit: () => ({ limit: AdmissionLimit.Room, roomAfterMs: 400 }) })
      expect(choice).to.deep.include({ kind: ReplicaChoiceKind.Full, roomAfterMs: undefined })
    })

    it('is given up, but free slots are used, where no replica can meet the objective', () => {
      const servers = makeReplicaServers('a', 'z1')
      fill('a', 17)
      const late = makeExpected(-100)
      expect(chooseWith(servers, { expected: late }).kind).to.equal(ReplicaChoiceKind.Chosen)
      fill('a', 1)
      expect(chooseWith(servers, { expected: late }).kind).to.equal(ReplicaChoiceKind.Full)
    })

    it('is shorter on a slow replica, and none on one whose streams are limited', () => {
      const servers = makeReplicaServers('a', 'z1')
      fill('a', 10)
      // The limit of the only replica would be ignored; this one is full.
      const withFull = [...servers, ...makeReplicaServers('full', 'z1')]
      fill('full', 25)
      const limitTo = (count: number) => ({ expected, getStreamLimit: (replica: Replica, slotCount: number) => replica.groupName === 'small.a' ? count : slotCount })
      expect(chooseWith(withFull, limitTo(11)).kind).to.equal(ReplicaChoiceKind.Chosen)
      expect(chooseWith(withFull, limitTo(10)).kind).to.equal(ReplicaChoiceKind.Full)
      fill('a', 8)
      expect(chooseWith(servers, { expected, getPaceFactor: () => 1 }).kind).to.equal(ReplicaChoiceKind.Chosen)
      expect(chooseWith(servers, { expected, getPaceFactor: () => 1.5 }).kind).to.equal(ReplicaChoiceKind.Full)
    })
  })

  it('skips a replica where this gateway has reached its own stream limit', () => {
    const servers = makeReplicaServers('a', 'z1')
    for (let index = 0; index < 3; index += 1) loads.beginStream('small.a/1')
    expect(choose(servers, [], 4).kind).to.equal(ReplicaChoiceKind.Chosen)
    expect(choose(servers, [], 3).kind).to.equal(ReplicaChoiceKind.Full)
  })

  it('counts the streams of other gateways until their reports are too old', () => {
    const servers = makeReplicaServers('a', 'z1')
    loads.applyReport({ nodeId: 'other', sequence: 1, streamCounts: { 'small.a/1': 30 }, stalledIds: [], quietIds: [] })
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Full)
    timers.advance(3000)
    expect(choose(servers).kind).to.equal(ReplicaChoiceKind.Chosen)
  })

  it('avoids a replica that is quiet at this gateway or at another', () => {
    const servers = [...makeReplicaServers('a', 'z1'), ...makeReplicaServers('b', 'z1')]
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

  it('ignores a report that arrives after a newer one', () => {
    loads.applyReport({ nodeId: 'other', sequence: 2, streamCounts: { 'small.a/1': 1 }, stalledIds: [], quietIds: [] })
    loads.applyReport({ nodeId: 'other', sequence: 1, streamCounts: { 'small.a/1': 30 }, stalledIds: [], quietIds: [] })
    expect(loads.getStreamCount('small.a/1')).to.equal(1)
  })

  it('keeps the event times of working replicas when there are many', () => {
    for (let index = 0; index < 600; index += 1) {
      loads.beginStream(`r${index}`)
      loads.beginActiveStream(`r${index}`)
      loads.recordEvent(`r${index}`)
    }
    loads.endStream('r0')
    expect(loads.listLocallyQuiet()).to.deep.equal([])
  })
})
