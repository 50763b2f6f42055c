import { expect } from 'chai'

import { StatementSource } from '../coordination/limits/server-limits.js'
import type { BackendServer } from '../state/backend-server.js'
import type { Route } from '../state/serving-config.js'
import { createStreamHarness, type ReceivedAttempt } from '../testing/stream-harness.js'

type Harness = ReturnType<typeof createStreamHarness>

/** Longer than two pause objectives, after which a silent replica gets a replacement. */
const silenceMs = 600

describe('forwardStream', () => {
  describe('an evacuated zone', () => {
    // Guards against requests to evacuated servers: new ones, further attempts and probes of the quarantine (EVAC).
    for (const isProbe of [false, true]) {
      it(`gets no ${isProbe ? 'probe' : 'new stream'}: it is refused at once with a time to retry`, () => {
        const harness = createStreamHarness({ serverIds: ['a'] })
        harness.evacuatedZones.add('z1')
        expect(harness.start({ isProbe })).to.equal(undefined)
        expect(harness.response).to.include({ isEnded: true, statusCode: 503, endedAtMs: harness.timers.nowMs() })
        expect(harness.logLines.at(-1)?.fields.reason).to.contain('evacuated')
      })
    }

    it('does not end a stream in progress, and does not resume one', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { pauseObjectiveMs: 500 } })
      const first = harness.start()
      first.sendEvent(1)
      harness.evacuatedZones.add('z1')
      harness.timers.advance(100)
      first.sendEvent(2)
      expect(harness.response.body).to.contain('id: 2')
      first.reset()
      harness.timers.advance(3000)
      expect(harness.attempts).to.have.length(1)
    })

    it('gets no replacement for a silent attempt', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { pauseObjectiveMs: 500 } })
      harness.start().sendEvent(1)
      harness.evacuatedZones.add('z1')
      harness.timers.advance(silenceMs + 2000)
      expect(harness.attempts).to.have.length(1)
    })
  })

  describe('the IDs of events', () => {
    // Guards against streams that break at their first or second event, since the IDs, of 64 bits, are compared as doubles or have too many digits.
    it('may be numbers of any size, also where a stream is resumed', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { pauseObjectiveMs: 500 } })
      const first = harness.start()
      first.sendEvent('9223372036854775806')
      first.sendEvent('9223372036854775807')
      first.reset()
      harness.timers.advance(100)
      const resumed = harness.attempts[1]
      expect(resumed?.lastEventId).to.equal('9223372036854775807')
      resumed?.sendEvent('9223372036854775808')
      resumed?.sendEvent('10000000000000000000')
      resumed?.end()
      expect(harness.response).to.include({ isEnded: true, destroyed: false })
      expect(harness.response.body.match(/^id: .*$/gm)).to.deep.equal(['9223372036854775806', '9223372036854775807', '9223372036854775808', '10000000000000000000'].map(id => `id: ${id}`))
    })

    for (const id of ['9007199254740992', '9007199254740991', '00009007199254740992', '1'.repeat(40), 'a', '-1', '']) {
      it(`may not be ${JSON.stringify(id)} after 9007199254740992`, () => {
        const harness = createStreamHarness({ serverIds: ['a'], route: { pauseObjectiveMs: 500 } })
        const first = harness.start()
        first.sendEvent('9007199254740992')
        first.sendEvent(id)
        expect(first.isAborted).to.equal(true)
      })
    }
  })

  describe('a refusal of another request', () => {
    // Guards against telling a client "not run" for a stream that a server may be running (REFUSED).
    it('is no refusal of the stream', () => {
      const harness = createStreamHarness({ serverIds: ['a'] })
      harness.start().refuse('another request')
      harness.timers.advance(3000)
      expect(harness.attempts[0]?.isAborted).to.equal(true)
      expect(harness.response).to.include({ isEnded: true, statusCode: 502 })
    })
  })

  describe('the wait of a stream in progress for a replica', () => {
    it('begins when the last attempt fails, not at the last event before a silence', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { pauseObjectiveMs: 500 } })
      const other = harness.servers.get('b') as BackendServer
      harness.servers.delete('b')
      const first = harness.start()
      first.sendEvent(1)
      harness.timers.advance(1700)
      first.reset()
      harness.timers.advance(1000)
      expect(harness.response.destroyed).to.equal(false)
      harness.servers.set('b', other)
      harness.timers.advance(100)
      const [resumed] = harness.listAttempts('b')
      expect(resumed?.lastEventId).to.equal('1')
      resumed?.sendEvent(2)
      resumed?.end()
      expect(harness.response).to.include({ isEnded: true, destroyed: false })
    })

    it('does not count the time in which the client did not read', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'] })
      const first = harness.start()
      harness.response.isReading = false
      first.sendEvent(1)
      harness.timers.advance(2500)
      harness.drain()
      harness.servers.delete(first.serverId === 'a' ? 'b' : 'a')
      first.reset()
      expect(harness.response.destroyed).to.equal(false)
      harness.timers.advance(1400)
      expect(harness.response.destroyed).to.equal(false)
      harness.timers.advance(400)
      expect(harness.response.destroyed).to.equal(true)
    })

    it('begins when the next replica refuses the stream after a long queue', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { objectiveMs: 2000, maxAttempts: 3 } })
      harness.timers.subscribeEvery(100, () => {
        for (const id of ['a', 'b']) harness.loads.recordEvent(harness.formatReplicaId(id))
      })
      const first = harness.start()
      first.sendEvent(1)
      first.reset()
      const second = harness.attempts[1]
      harness.timers.advance(1550)
      harness.servers.delete(first.serverId)
      harness.timers.advance(100)
      second?.refuse()
      expect(harness.response.destroyed).to.equal(false)
      harness.timers.advance(600)
      expect(harness.listAttempts(second?.serverId as string).length).to.equal(2)
    })

    it('ends before its client gives up, also after a silence', () => {
      const harness = createStreamHarness({ serverIds: ['a'] })
      const first = harness.start()
      first.sendEvent(1)
      harness.timers.advance(1000)
      first.reset()
      harness.timers.advance(1000)
      expect(harness.response.destroyed).to.equal(true)
      expect(harness.response.endedAtMs).to.be.within(1600, 1999)
    })
  })

  describe('servers that state a limit', () => {
    function stateLimit (harness: Harness, serverId: string, limitPerSecond: number): void {
      harness.limits.record(harness.servers.get(serverId) as BackendServer, limitPerSecond, harness.timers.nowMs(), StatementSource.Response)
    }

    it('get no stream while another server takes it', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'] })
      stateLimit(harness, 'a', 5)
      expect(harness.start().serverId).to.equal('b')
    })

    it('get a stream that has waited for a permit', () => {
      const harness = createStreamHarness({ serverIds: ['a'] })
      stateLimit(harness, 'a', 5)
      harness.start()
      expect(harness.attempts).to.have.length(0)
      harness.timers.advance(500)
      expect(harness.attempts).to.have.length(1)
    })

    it('refuse a stream at once that no permit can serve in time', () => {
      const harness = createStreamHarness({ serverIds: ['a'] })
      stateLimit(harness, 'a', 0)
      harness.start()
      expect(harness.response).to.include({ isEnded: true, statusCode: 503 })
    })

    // Guards against streams that break off beside servers that could take them a moment later (seed 3 of the soak).
    it('take over a stream that was silent for long before its server was lost', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { objectiveMs: 600, pauseObjectiveMs: 300 } })
      const other = harness.servers.get('b') as BackendServer
      harness.servers.delete('b')
      const first = harness.start()
      first.sendEvent(1)
      harness.timers.advance(2500)
      harness.servers.set('b', other)
      stateLimit(harness, 'b', 5)
      first.reset()
      expect(harness.response.destroyed).to.equal(false)
      harness.timers.advance(700)
      expect(harness.listAttempts('b').map(({ lastEventId }) => lastEventId)).to.deep.equal(['1'])
    })
  })

  describe('the return to a silent replica that was replaced', () => {
    /** Starts a stream whose first replica falls silent after an event, and whose replacement delivers one. */
    function playReplacement (harness: Harness): { readonly first: ReceivedAttempt, readonly replacement: ReceivedAttempt } {
      const first = harness.start()
      first.sendEvent(1)
      harness.timers.advance(silenceMs)
      const replacement = harness.attempts[1] as ReceivedAttempt
      replacement.sendEvent(2)
      return { first, replacement }
    }

    it('happens when the replacement is lost, though its route allows no further server', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b', 'c'] })
      const { first, replacement } = playReplacement(harness)
      expect(first.isAborted).to.equal(true)
      replacement.reset()
      harness.timers.advance(100)
      const resumed = harness.attempts[2] as ReceivedAttempt
      expect(resumed).to.include({ serverId: first.serverId, lastEventId: '2' })
      resumed.sendEvent(3)
      resumed.end()
      expect(harness.response).to.include({ isEnded: true, destroyed: false })
      expect(harness.response.body.match(/id: \d+/g)).to.deep.equal(['id: 1', 'id: 2', 'id: 3'])
    })

    it('happens when its route allows another server, but there is none', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { maxAttempts: 3 } })
      const { first, replacement } = playReplacement(harness)
      replacement.reset()
      harness.timers.advance(100)
      expect(harness.attempts[2]?.serverId).to.equal(first.serverId)
    })

    it('does not happen while another server is allowed and free', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b', 'c'], route: { maxAttempts: 3 } })
      const { first, replacement } = playReplacement(harness)
      replacement.reset()
      harness.timers.advance(100)
      expect(harness.attempts[2]?.serverId).to.not.be.oneOf([first.serverId, replacement.serverId])
    })

    it('draws on the retry budget', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], retrySlackCount: 3 })
      const { replacement } = playReplacement(harness)
      replacement.reset()
      harness.timers.advance(1000)
      expect(harness.attempts.length).to.equal(2)
    })

    it('does not happen at a server that has restarted or lost the stream', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'] })
      const { first, replacement } = playReplacement(harness)
      const server = harness.servers.get(first.serverId) as BackendServer
      harness.servers.set(first.serverId, { ...server, startedAtMs: 2 })
      replacement.reset()
      harness.timers.advance(1000)
      expect(harness.attempts.length).to.equal(2)
    })
  })

  describe('a silent replica with a silent replacement', () => {
    /** Lets the first replica fall silent after an event; no replacement delivers. */
    function playSilence (harness: Harness): void {
      harness.start().sendEvent(1)
      harness.timers.advance(silenceMs)
      expect(harness.attempts.length).to.equal(2)
      harness.timers.advance(1250)
    }

    it('gets a third replica where the route allows a further server', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b', 'c', 'd'], route: { maxAttempts: 4 } })
      playSilence(harness)
      expect(new Set(harness.attempts.map(({ serverId }) => serverId)).size).to.equal(3)
      expect(harness.attempts.every(({ isAborted }) => !isAborted)).to.equal(true)
      harness.attempts[2]?.sendEvent(2)
      expect(harness.attempts.map(({ isAborted }) => isAborted)).to.deep.equal([true, true, false])
    })

    it('gets none where the route allows no further server', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b', 'c'], route: { maxAttempts: 2 } })
      playSilence(harness)
      expect(harness.attempts.length).to.equal(2)
    })

    it('gets none while the replacement has time for its first event', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b', 'c'], route: { maxAttempts: 3 } })
      harness.start().sendEvent(1)
      harness.timers.advance(silenceMs + 500)
      expect(harness.attempts.length).to.equal(2)
    })

    it('gets none beyond the retry budget', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b', 'c'], route: { maxAttempts: 3 }, retrySlackCount: 3 })
      playSilence(harness)
      expect(harness.attempts.length).to.equal(2)
    })
  })

  describe('a stream without an event whose replica was lost', () => {
    /** Loses the only replica of a stream; another one is listed after `unavailableMs`. */
    function playLoss (unavailableMs: number, route: Partial<Route> = {}): Harness {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route })
      const other = harness.servers.get('b') as BackendServer
      harness.servers.delete('b')
      harness.start().reset()
      harness.timers.advance(unavailableMs)
      harness.servers.set('b', other)
      harness.timers.advance(100)
      return harness
    }

    it('waits for a replica, since it may have run and is not refused', () => {
      const harness = playLoss(300)
      expect(harness.response.headersSent).to.equal(false)
      harness.listAttempts('b')[0]?.sendEvent(1)
      harness.attempts[1]?.end()
      expect(harness.response).to.include({ statusCode: 200, isEnded: true })
    })

    it('gets 502 after its latency objective, long before its deadline', () => {
      const harness = playLoss(600)
      expect(harness.attempts.length).to.equal(1)
      expect(harness.response).to.include({ statusCode: 502, isEnded: true })
      expect(harness.response.endedAtMs).to.be.within(400, 500)
    })

    it('gets 502 at once when it may not be resumed', () => {
      const harness = playLoss(300, { isResumable: false })
      expect(harness.attempts.length).to.equal(1)
      expect(harness.response).to.include({ statusCode: 502, endedAtMs: 0 })
    })

    it('gets 502 at once when it may run at no further server', () => {
      const harness = playLoss(300, { maxAttempts: 1 })
      expect(harness.attempts.length).to.equal(1)
      expect(harness.response).to.include({ statusCode: 502, endedAtMs: 0 })
    })

    it('is refused at once when it is known not to have run', () => {
      const harness = createStreamHarness({ serverIds: ['a'] })
      harness.start().refuse()
      expect(harness.response).to.include({ statusCode: 503, endedAtMs: 0 })
    })
  })

  describe('a replica that refused the stream', () => {
    it('is not asked a third time while it runs the stream, silent here and delivering to others', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { maxAttempts: 3 } })
      harness.timers.subscribeEvery(100, () => { for (const id of ['a', 'b']) harness.loads.recordEvent(harness.formatReplicaId(id)) })
      const first = harness.start()
      first.sendEvent(1)
      harness.servers.delete(first.serverId)
      const otherId = first.serverId === 'a' ? 'b' : 'a'
      first.reset()
      harness.attempts[1]?.refuse()
      harness.timers.advance(700)
      expect(harness.listAttempts(otherId).length).to.equal(2)
      harness.timers.advance(2500)
      expect(harness.listAttempts(otherId).length).to.equal(2)
    })
  })

  it('sends a stream that may not be resumed to one server, whatever that does', () => {
    for (const hasEvent of [true, false]) {
      const harness = createStreamHarness({ serverIds: ['a', 'b', 'c'], route: { isResumable: false, maxAttempts: 3 } })
      const first = harness.start()
      if (hasEvent) first.sendEvent(1)
      harness.timers.advance(3000)
      first.reset()
      harness.timers.advance(1000)
      expect(harness.attempts.length).to.equal(1)
      expect(hasEvent ? harness.response.destroyed : harness.response.statusCode === 502).to.equal(true)
    }
  })

  describe('a response that ends in order inside an event', () => {
    it('is resumed after the last whole event', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'] })
      const first = harness.start()
      first.sendEvent(1)
      first.sendBytes('id: 2\nda')
      first.end()
      expect(harness.attempts[1]?.lastEventId).to.equal('1')
      harness.attempts[1]?.sendEvent(2)
      harness.attempts[1]?.end()
      expect(harness.response).to.include({ isEnded: true, destroyed: false, body: 'id: 1\ndata: token\n\nid: 2\ndata: token\n\n' })
    })

    it('is broken off for the client when it cannot be resumed', () => {
      const harness = createStreamHarness({ serverIds: ['a', 'b'], route: { isResumable: false } })
      const first = harness.start()
      first.sendEvent(1)
      first.sendBytes('id: 2\nda')
      first.end()
      expect(harness.response).to.include({ isEnded: false, destroyed: true, body: 'id: 1\ndata: token\n\n' })
    })
  })

  describe('a stream whose prompt has a part under which servers ended', () => {
    const serverIds = ['a', 'b', 'c', 'd', 'e', 'f']
    const route = { maxAttempts: 3, objectiveMs: 2000 }

    function createHarness (partIds: readonly string[] = ['p', 'own']): Harness {
      return createStreamHarness({ serverIds, route, partIds })
    }

    /** Ends the server of an attempt before its first event. */
    async function endServer (harness: Harness, attempt: ReceivedAttempt | undefined): Promise<void> {
      harness.timers.advance(200)
      attempt?.sendHead()
      attempt?.reset()
      await harness.timers.advanceAsync(100)
    }

    it('goes to no fourth server when it has ended three', async () => {
      const harness = createStreamHarness({ serverIds, route: { ...route, maxAttempts: 5 }, partIds: ['p'] })
      harness.start()
      for (const index of [0, 1, 2]) await endServer(harness, harness.attempts[index])
      await harness.timers.advanceAsync(3000)
      expect(harness.attempts.length).to.equal(3)
      expect(harness.response).to.include({ isEnded: true, statusCode: 502 })
    })

    it('is refused at once with a reason while the part is in quarantine, and goes to no server', () => {
      const harness = createHarness()
      harness.promptGuard.addEntry({ partIds: ['p'], probeCount: 0 }, 'the store')
      harness.start()
      expect(harness.attempts.length).to.equal(0)
      expect(harness.response).to.include({ isEnded: true, statusCode: 503, endedAtMs: 0 })
    })

    it('runs as before when it shares other parts with such streams', () => {
      const harness = createHarness(['q', 'own'])
      harness.promptGuard.addEntry({ partIds: ['p'], probeCount: 0 }, 'the store')
      harness.start().sendEvent(1)
      harness.attempts[0]?.end()
      expect(harness.response).to.include({ isEnded: true, statusCode: 200 })
    })

    it('goes to one server as a probe, and to no second one when that ends', async () => {
      const harness = createHarness()
      harness.promptGuard.addEntry({ partIds: ['p'], probeCount: 1 }, 'the store')
      harness.start({ isProbe: true })
      await endServer(harness, harness.attempts[0])
      await harness.timers.advanceAsync(3000)
      expect(harness.attempts.length).to.equal(1)
      expect(harness.response).to.include({ isEnded: true, statusCode: 502 })
    })

    it('is served by another server when its first one ended by chance', async () => {
      const harness = createHarness()
      const first = harness.start()
      await endServer(harness, first)
      harness.attempts[1]?.sendEvent(1)
      harness.attempts[1]?.end()
      expect(harness.response).to.include({ isEnded: true, statusCode: 200 })
    })

    it('goes on at once when the connection ends after an event, as streams of a server that ends do', async () => {
      const harness = createHarness()
      const first = harness.start()
      first.sendEvent(1)
      first.reset()
      expect(harness.attempts[1]?.lastEventId).to.equal('1')
      harness.attempts[1]?.sendEvent(2)
      harness.attempts[1]?.end()
      await harness.timers.advanceAsync(100)
      expect(harness.response).to.include({ isEnded: true, destroyed: false })
    })
  })
})
