import { expect } from 'chai'

import { MemberState } from '../../state/backend-server.js'
import { listReplicas } from '../../state/replica.js'
import { makeBackendServer, sampleEngine } from '../../testing/serving-samples.js'
import { createAttemptRecord, type AttemptRecord } from './attempt-record.js'

describe('the record of the attempts of a stream', () => {
  const leader = makeBackendServer({ id: 'a', group: { groupName: 'small.a', epoch: 1, rank: 0, state: MemberState.Open } })
  const [replica] = listReplicas([leader], sampleEngine)
  const id = 'small.a/1'
  let record: AttemptRecord

  function listReturnable (nowMs = 0, servers = [leader]): string[] {
    return record.filterReturnable(listReplicas(servers, sampleEngine), nowMs).map(({ id }) => id)
  }

  beforeEach(() => {
    record = createAttemptRecord()
    record.start(id, leader)
  })

  it('lets a stream return to a replica that was replaced, as long as the same process runs', () => {
    expect(replica?.id).to.equal(id)
    expect(listReturnable()).to.deep.equal([])
    record.replace(id)
    expect(listReturnable()).to.deep.equal([id])
    expect(listReturnable(0, [{ ...leader, startedAtMs: 2 }])).to.deep.equal([])
    expect(record.listExcludedIds(0)).to.have.keys([id])
  })

  it('lets none return to a replica that lost the stream, or runs it again', () => {
    record.replace(id)
    record.start(id, leader)
    expect(listReturnable()).to.deep.equal([])
    record.lose(id)
    expect(listReturnable()).to.deep.equal([])
    expect(record.listExecutions().length).to.equal(2)
  })

  it('lets it return once the pause after a refusal is over', () => {
    record.replace(id)
    record.start(id, leader)
    record.refuse(id, 1000)
    expect([listReturnable(1499), listReturnable(1500)]).to.deep.equal([[], [id]])
    expect(record.mayReturn(listReplicas([leader], sampleEngine))).to.equal(true)
  })

  it('excludes a replica for half a second more after each refusal', () => {
    record.refuse(id, 1000)
    expect([record.listExcludedIds(1499).size, record.listExcludedIds(1500).size]).to.deep.equal([1, 0])
    record.start(id, leader)
    record.refuse(id, 2000)
    expect([record.listExcludedIds(2999).size, record.listExcludedIds(3000).size]).to.deep.equal([1, 0])
    expect(record.listExecutions()).to.deep.equal([])
    expect(record.countRefusals()).to.equal(2)
  })

  it('excludes a replica while it runs the stream after a refusal', () => {
    record.refuse(id, 1000)
    record.start(id, leader)
    expect(record.listExcludedIds(5000)).to.have.keys([id])
  })
})
