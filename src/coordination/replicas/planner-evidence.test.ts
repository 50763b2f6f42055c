import { expect } from 'chai'

import { failure } from '../../shared/result.js'
import { ServerState } from '../../state/backend-server.js'
import type { Replica } from '../../state/replica.js'
import { createFormedFixture } from '../../testing/planner-fixture.js'
import { ReportErrorKind, ServerCommandKind, type ServerControl } from '../ports/server-control.js'

type Fixture = Awaited<ReturnType<typeof createFormedFixture>>

/** A check fails after 403 ms in the fixture; the planner then plans at once. */
const lossSeenMs = 410
/** Below the pause after which a replica counts as quiet. */
const longestPauseMs = 215

async function createStreamingFixture () {
  const fixture = await createFormedFixture(3)
  fixture.beginTraffic()
  const large = fixture.listOpen().find(replica => replica.model?.name === 'large') as Replica
  return { fixture, large, sentBefore: fixture.servers.sent.length }
}

/** Runs the time while quiet replicas are reported to the planner, as gateways on its side of the cut do. */
async function advanceWithChecks ({ timers, check }: Fixture, replicaId: string, spanMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < spanMs; elapsedMs += 10) {
    if (elapsedMs % 100 === 0) check(replicaId)
    await timers.advanceAsync(10)
  }
}

/** Changes what the planner's reads of a server's report give. */
function interceptReports ({ servers: { serverControl } }: Fixture, serverId: string, intercept: (readReport: () => ReturnType<ServerControl['readReport']>) => ReturnType<ServerControl['readReport']>): void {
  const { readReport } = serverControl
  Object.assign(serverControl, {
    readReport: async (server: Parameters<typeof readReport>[0]) => server.id === serverId ? await intercept(() => readReport(server)) : await readReport(server)
  })
}

describe('planner that cannot reach a server whose replica goes on', () => {
  for (const memberRank of [0, 3]) {
    it(`keeps the replica while other gateways get its events (rank ${memberRank})`, async () => {
      const { fixture, large, sentBefore } = await createStreamingFixture()
      fixture.streamElsewhere(large.id)
      await fixture.timers.advanceAsync(500)
      fixture.servers.cutPath(large.members[memberRank]?.id as string, 1000)
      await advanceWithChecks(fixture, large.id, 10_000)
      expect(fixture.servers.sent.slice(sentBefore)).to.deep.equal([])
      expect(fixture.servers.isDelivering(large.id)).to.equal(true)
    })
  }

  it('keeps the replica while it pauses for as long as a working one may', async () => {
    const { fixture, large, sentBefore } = await createStreamingFixture()
    fixture.streamElsewhere(large.id, longestPauseMs)
    await fixture.timers.advanceAsync(500)
    fixture.servers.cutPath(large.members[3]?.id as string, 20_000)
    await advanceWithChecks(fixture, large.id, 25_000)
    expect(fixture.servers.sent.slice(sentBefore)).to.deep.equal([])
  })

  it('keeps the replica when its last stream elsewhere ends before a cut of 1.2 s does', async () => {
    const { fixture, large, sentBefore } = await createStreamingFixture()
    const streams = fixture.streamElsewhere(large.id)
    await fixture.timers.advanceAsync(500)
    fixture.servers.cutPath(large.members[3]?.id as string, 1200)
    await advanceWithChecks(fixture, large.id, 400)
    streams.cancel()
    await advanceWithChecks(fixture, large.id, 10_000)
    expect(fixture.servers.sent.slice(sentBefore)).to.deep.equal([])
  })

  it('keeps the replica when connections to a sound member are reset', async () => {
    const { fixture, large, sentBefore } = await createStreamingFixture()
    fixture.streamElsewhere(large.id)
    await fixture.timers.advanceAsync(500)
    let resetCount = 0
    interceptReports(fixture, large.members[3]?.id as string, async readReport => {
      if (resetCount === 2) return await readReport()
      resetCount += 1
      return failure({ kind: ReportErrorKind.Failed, reason: 'read ECONNRESET' })
    })
    await advanceWithChecks(fixture, large.id, 5000)
    expect(resetCount).to.equal(2)
    expect(fixture.servers.sent.slice(sentBefore)).to.deep.equal([])
  })

  it('asks no member any more once it has lost its lease', async () => {
    const { fixture, large } = await createStreamingFixture()
    fixture.streamElsewhere(large.id)
    await fixture.timers.advanceAsync(500)
    const memberId = large.members[3]?.id as string
    fixture.servers.cutPath(memberId, 20_000)
    fixture.check(large.id)
    await fixture.timers.advanceAsync(1500)
    fixture.takeOver()
    let askedCount = 0
    interceptReports(fixture, memberId, async readReport => {
      askedCount += 1
      return await readReport()
    })
    await fixture.timers.advanceAsync(10_000)
    expect(askedCount).to.be.at.most(1)
  })

  it('keeps the replica when the path to all of its members is cut for long', async () => {
    const { fixture, large, sentBefore } = await createStreamingFixture()
    fixture.streamElsewhere(large.id)
    await fixture.timers.advanceAsync(500)
    for (const member of large.members) fixture.servers.cutPath(member.id, 20_000)
    await advanceWithChecks(fixture, large.id, 25_000)
    expect(fixture.servers.sent.slice(sentBefore)).to.deep.equal([])
    expect(fixture.servers.isDelivering(large.id)).to.equal(true)
  })
})

describe('planner whose command reaches no connection', () => {
  it('has no member leave a replica that is being drained and goes on', async () => {
    const { fixture, large, sentBefore } = await createStreamingFixture()
    fixture.streamElsewhere(large.id)
    await fixture.timers.advanceAsync(500)
    fixture.servers.cutPath(large.leader?.id as string, 1000)
    fixture.servers.setState(large.members[3]?.id as string, ServerState.Draining)
    await advanceWithChecks(fixture, large.id, 1500)
    const kinds = fixture.servers.sent.slice(sentBefore).filter(({ serverId }) => large.members.some(member => member.id === serverId)).map(({ command }) => command.kind)
    expect(kinds).to.not.include(ServerCommandKind.Leave)
  })
})

describe('planner beside a host that lost power', () => {
  for (const isHeld of [false, true]) {
    it(`has a member leave within 2 s when the lost leader ${isHeld ? 'wanted no requests' : 'took requests'}`, async () => {
      const { fixture, large, sentBefore } = await createStreamingFixture()
      const leaderId = large.leader?.id as string
      if (isHeld) fixture.heldIds.add(leaderId)
      fixture.servers.kill(leaderId)
      fixture.servers.setState(large.members[3]?.id as string, ServerState.Draining)
      await advanceWithChecks(fixture, large.id, 2000)
      expect(fixture.servers.sent.slice(sentBefore).map(({ command }) => command.kind)).to.include(ServerCommandKind.Leave)
    })
  }

  for (const sinceMs of [0, 220]) {
    it(`replaces it as soon as a check has failed, although other gateways had events until then (checked after ${sinceMs} ms)`, async () => {
      const { fixture, large, sentBefore } = await createStreamingFixture()
      fixture.streamElsewhere(large.id)
      await fixture.timers.advanceAsync(500)
      fixture.servers.kill(large.members[3]?.id as string)
      await fixture.timers.advanceAsync(sinceMs)
      fixture.check(large.id)
      await fixture.timers.advanceAsync(lossSeenMs)
      expect(fixture.servers.sent.slice(sentBefore).map(({ command }) => command.kind)).to.include(ServerCommandKind.Close)
    })
  }

  it('replaces it within 1.7 s when it is lost while its path is cut', async () => {
    const { fixture, large, sentBefore } = await createStreamingFixture()
    fixture.streamElsewhere(large.id)
    await fixture.timers.advanceAsync(500)
    const lost = large.members[3]?.id as string
    fixture.servers.cutPath(lost, 60_000)
    await advanceWithChecks(fixture, large.id, 3000)
    expect(fixture.servers.sent.slice(sentBefore)).to.deep.equal([])
    fixture.servers.kill(lost)
    await advanceWithChecks(fixture, large.id, 1700)
    expect(fixture.servers.sent.slice(sentBefore).map(({ command }) => command.kind)).to.include(ServerCommandKind.Close)
  })

  it('replaces a replica without streams as soon as a check has failed', async () => {
    const { fixture, large, sentBefore } = await createStreamingFixture()
    fixture.servers.cutPath(large.members[3]?.id as string, 1000)
    fixture.check(large.id)
    await fixture.timers.advanceAsync(lossSeenMs)
    expect(fixture.servers.sent.slice(sentBefore).map(({ command }) => command.kind)).to.include(ServerCommandKind.Close)
  })
})
