import { expect } from 'chai'

import { EngineCommandKind, type EngineCommand } from '../coordination/ports/engine-control.js'
import { createEngineStandin, type EngineStandin, type EngineStandinOptions } from './engine-standin.js'
import { getToken } from './engine-tokens.js'

interface RunningEngine {
  readonly engine: EngineStandin
  readonly vmId: string
  readonly address: string
}

const fastFaults = { loadMs: 1, tokenIntervalMs: 1, firstTokenMs: 1 }

/** Waits until the condition holds; the test's timeout limits the wait. */
async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { setTimeout(resolve, 1) })
}

describe('engine stand-in', () => {
  const engines: RunningEngine[] = []

  afterEach(() => {
    for (const { engine } of engines.splice(0)) engine.abort()
  })

  async function start (vmId: string, options: Partial<EngineStandinOptions> = {}): Promise<RunningEngine> {
    const engine = createEngineStandin({ vmId, faults: fastFaults, ...options })
    const { port } = await engine.listen()
    const running = { engine, vmId, address: `127.0.0.1:${port}` }
    engines.push(running)
    return running
  }

  async function formGroup (members: readonly RunningEngine[], epoch = 1): Promise<RunningEngine> {
    const command: EngineCommand = {
      kind: EngineCommandKind.Join,
      groupId: 'g1',
      epoch,
      deployment: 'verses',
      model: 'm',
      modelVersion: '1',
      members: members.map(({ vmId, address }) => ({ vmId, address }))
    }
    for (const { address } of members) {
      const response = await fetch(`http://${address}/orders`, { method: 'POST', body: JSON.stringify(command) })
      expect(response.status).to.equal(202)
    }
    await waitUntil(() => members.every(({ engine }) => engine.getState().isLoaded))
    return members[0]!
  }

  function post (engine: RunningEngine, body: object, init: RequestInit = {}, path = '/v1/chat/completions'): Promise<Response> {
    return fetch(`http://${engine.address}${path}`, { method: 'POST', body: JSON.stringify(body), ...init })
  }

  function createChat (changes: object = {}): object {
    return { model: 'm', messages: [{ role: 'user', content: 'a verse' }], max_tokens: 5, ...changes }
  }
  const prompt = JSON.stringify([{ role: 'user', content: 'a verse' }])

  function readChunks (text: string): Array<{ token_index: number, choices: Array<{ delta: { content: string }, finish_reason: string | null }> }> {
    const events = text.split('\n\n').filter(event => event.startsWith('data: {'))
    return events.map(event => JSON.parse(event.slice('data: '.length)))
  }

  describe('completions', () => {
    it('stream every token once and in order, with its index', async () => {
      const leader = await formGroup([await start('vm-1'), await start('vm-2')])
      const text = await (await post(leader, createChat({ stream: true }))).text()
      const chunks = readChunks(text)
      expect(chunks.map(chunk => chunk.token_index)).to.deep.equal([0, 1, 2, 3, 4])
      expect(chunks.map(chunk => chunk.choices[0]?.delta.content)).to.deep.equal([0, 1, 2, 3, 4].map(index => getToken('m', prompt, index)))
      expect(chunks.map(chunk => chunk.choices[0]?.finish_reason)).to.deep.equal([null, null, null, null, 'length'])
      expect(text.endsWith('data: [DONE]\n\n')).to.equal(true)
    })

    it('resume at a token with the text that any engine would send', async () => {
      const leader = await formGroup([await start('vm-1')])
      const chunks = readChunks(await (await post(leader, createChat({ stream: true, resume_from_token: 3 }))).text())
      expect(chunks.map(chunk => chunk.token_index)).to.deep.equal([3, 4])
      expect(chunks[0]?.choices[0]?.delta.content).to.equal(getToken('m', prompt, 3))
      expect(leader.engine.counts.resumedCount).to.equal(1)
    })

    it('are a single JSON response when no stream is requested', async () => {
      const leader = await formGroup([await start('vm-1')])
      const response = await post(leader, { model: 'm', prompt: 'p', max_tokens: 2 }, {}, '/v1/completions')
      const body = await response.json() as { choices: Array<{ text: string }>, usage: { completion_tokens: number } }
      expect(body.choices[0]?.text).to.equal(getToken('m', 'p', 0) + getToken('m', 'p', 1))
      expect(body.usage.completion_tokens).to.equal(2)
    })

    it('count a hit when the prompt prefix is cached', async () => {
      const leader = await formGroup([await start('vm-1')])
      await (await post(leader, createChat())).text()
      await (await post(leader, createChat())).text()
      expect(leader.engine.counts).to.include({ startedCount: 2, completedCount: 2, prefixHitCount: 1 })
    })
  })

  describe('refusals', () => {
    async function fetchStatus (engine: RunningEngine, headers: Record<string, string> = {}): Promise<number> {
      return (await post(engine, createChat(), { headers })).status
    }

    it('come from an engine without a group and from one that does not lead its group', async () => {
      const [first, second] = [await start('vm-1'), await start('vm-2')]
      expect(await fetchStatus(first)).to.equal(421)
      await formGroup([first, second])
      expect(await fetchStatus(second)).to.equal(421)
    })

    it('come for a stale epoch only when the engine checks epochs', async () => {
      const leader = await formGroup([await start('vm-1')], 7)
      expect(await fetchStatus(leader, { 'x-group-id': 'g1', 'x-group-epoch': '7' })).to.equal(200)
      expect(await fetchStatus(leader, { 'x-group-id': 'g1', 'x-group-epoch': '6' })).to.equal(409)
      leader.engine.faults.ignoresEpoch = true
      expect(await fetchStatus(leader, { 'x-group-id': 'g1', 'x-group-epoch': '6' })).to.equal(200)
    })

    it('come from an engine that is leaving or has the fault refuses', async () => {
      const leader = await formGroup([await start('vm-1')])
      leader.engine.faults.isLeaving = true
      expect(await fetchStatus(leader)).to.equal(503)
      Object.assign(leader.engine.faults, { isLeaving: false, refuses: true })
      expect(await fetchStatus(leader)).to.equal(503)
    })

    it('come for a malformed body', async () => {
      const leader = await formGroup([await start('vm-1')])
      expect((await post(leader, { model: 'm' })).status).to.equal(400)
    })
  })

  describe('slots', () => {
    it('are limited, and so is the queue for them', async () => {
      const leader = await formGroup([await start('vm-1', { slotCount: 1, maxQueuedCount: 1 })])
      const abort = new AbortController()
      const long = createChat({ stream: true, max_tokens: 100_000 })
      const pending = [post(leader, long, { signal: abort.signal }), post(leader, long, { signal: abort.signal })]
      const outcomes = Promise.allSettled(pending)
      await waitUntil(() => leader.engine.getState().queuedStreamCount === 1)
      expect(leader.engine.getState().activeStreamCount).to.equal(1)
      expect((await post(leader, createChat())).status).to.equal(429)
      abort.abort()
      await outcomes
    })

    it('go to the higher priority first', async () => {
      const leader = await formGroup([await start('vm-1', { slotCount: 1, maxQueuedCount: 8 })])
      const abort = new AbortController()
      const blocker = await post(leader, createChat({ stream: true, max_tokens: 100_000 }), { signal: abort.signal })
      const finished: string[] = []
      const waiting = [['low', 1], ['high', 2]].map(async ([name, priority], index) => {
        await waitUntil(() => leader.engine.getState().queuedStreamCount === index)
        await (await post(leader, createChat({ priority, max_tokens: 1 }))).text()
        finished.push(String(name))
      })
      await waitUntil(() => leader.engine.getState().queuedStreamCount === 2)
      abort.abort()
      await blocker.text().catch(() => '')
      await Promise.all(waiting)
      expect(finished).to.deep.equal(['high', 'low'])
    })

    it('are free again when the client disconnects', async () => {
      const leader = await formGroup([await start('vm-1')])
      const abort = new AbortController()
      const response = await post(leader, createChat({ stream: true, max_tokens: 100_000 }), { signal: abort.signal })
      abort.abort()
      await response.text().catch(() => '')
      await waitUntil(() => leader.engine.getState().activeStreamCount === 0)
      expect(leader.engine.counts).to.include({ startedCount: 1, cancelledCount: 1, completedCount: 0 })
    })
  })

  describe('a missing member', () => {
    it('stalls the streams of the leader until it is back', async () => {
      const [leader, member] = [await start('vm-1'), await start('vm-2')]
      await formGroup([leader, member])
      member.engine.abort()
      await waitUntil(() => leader.engine.isMemberMissing())
      const pending = post(leader, createChat())
      await waitUntil(() => leader.engine.counts.takenWhileMemberMissingCount === 1)
      const replacement = createEngineStandin({ vmId: 'vm-2', faults: fastFaults, port: Number(member.address.split(':')[1]) })
      await replacement.listen()
      engines.push({ ...member, engine: replacement })
      expect(leader.engine.counts.completedCount).to.equal(0)
      await formGroup([leader, { ...member, engine: replacement }])
      await (await pending).text()
      expect(leader.engine.counts.servedWhileMemberMissingCount).to.equal(0)
    })

    it('is counted when the engine serves regardless', async () => {
      const [leader, member] = [await start('vm-1'), await start('vm-2')]
      await formGroup([leader, member])
      leader.engine.faults.servesWithMissingMembers = true
      member.engine.abort()
      await waitUntil(() => leader.engine.isMemberMissing())
      await (await post(leader, createChat())).text()
      expect(leader.engine.counts.servedWhileMemberMissingCount).to.equal(1)
    })
  })

  describe('state reports', () => {
    it('show the load with the configured lag', async () => {
      const leader = await formGroup([await start('vm-1', { faults: { ...fastFaults, reportLagMs: 600_000 } })])
      const abort = new AbortController()
      const response = await post(leader, createChat({ stream: true, max_tokens: 100_000 }), { signal: abort.signal })
      expect(leader.engine.getState().activeStreamCount).to.equal(0)
      leader.engine.faults.reportLagMs = 0
      expect(leader.engine.getState().activeStreamCount).to.equal(1)
      abort.abort()
      await response.text().catch(() => '')
    })
  })
})
