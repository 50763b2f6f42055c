import { expect } from 'chai'

import { decodePromptMessage, encodePromptMessage, PromptMessageKind, type PromptMessage } from '../../protocol/prompt-messages.js'
import { createVirtualTimerService, type VirtualTimerService } from '../../shared/virtual-timer-service.js'
import { makeBackendServer } from '../../testing/serving-samples.js'
import { ServerFate } from '../ports/server-fate.js'
import { createPromptGuard, type PromptGuard } from './prompt-guard.js'
import { AdmissionKind, type QuarantineEntry } from './prompt-quarantine.js'

const requestMs = 200

/** Creates a guard whose messages are kept, before servers that end with each lost connection unless stated otherwise. */
function createSample (options: { readonly isListening?: boolean, readonly isEndPlanned?: boolean, readonly name?: string, readonly timers?: VirtualTimerService, onMessage? (message: PromptMessage): void } = {}) {
  const { name = 'gateway', timers = createVirtualTimerService(1000) } = options
  const messages: PromptMessage[] = []
  const entries: QuarantineEntry[] = []
  const refuted: QuarantineEntry[] = []
  /** Tells the guard what became of the servers of abandoned requests, in their order. */
  const endWatches: Array<(fate: ServerFate) => void> = []
  let serverCount = 0
  const guard = createPromptGuard({
    timers,
    logger: { debug () {}, info () {}, warn () {}, error () {} },
    metrics: { countEvent () {} },
    isListening: () => Promise.resolve(options.isListening === true),
    watchEnd: () => new Promise(resolve => { endWatches.push(resolve) }),
    isEndUnplanned: () => options.isEndPlanned !== true,
    sendMessage (message) {
      messages.push(message)
      options.onMessage?.(message)
    },
    onEntry: entry => { entries.push(entry) },
    onRefuted: entry => { refuted.push(entry) }
  })

  function begin (partIds: readonly string[]) {
    serverCount += 1
    return guard.begin(partIds, makeBackendServer({ id: `${name}-${serverCount}` }))
  }

  async function lose (partIds: readonly string[], hasHead = true): Promise<void> {
    const attempt = begin(partIds)
    await timers.advanceAsync(requestMs)
    attempt.recordLoss(hasHead)
    await timers.advanceAsync(1)
  }

  /** A client leaves, and the server ends or lives on. */
  async function abandon (partIds: readonly string[], fate: ServerFate, hasEvents = false): Promise<void> {
    const attempt = begin(partIds)
    await timers.advanceAsync(requestMs)
    if (hasEvents) attempt.recordProgress()
    attempt.abandon('the client disconnected')
    endWatches.shift()?.(fate)
    await timers.advanceAsync(1)
  }

  return { guard, timers, messages, entries, refuted, begin, lose, abandon }
}

function countKind (messages: readonly PromptMessage[], kind: PromptMessageKind): number {
  return messages.filter(message => message.kind === kind).length
}

describe('prompt guard', () => {
  it('makes an entry of a part under which three servers ended, and tells of each crash', async () => {
    const { guard, entries, messages, lose } = createSample()
    for (let index = 0; index < 3; index += 1) {
      expect(entries).to.deep.equal([])
      await lose(['p', `own-${index}`])
    }
    expect(entries).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.Quarantined)
    const crashes = messages.flatMap(message => message.kind === PromptMessageKind.Crash ? [message.serverKey] : [])
    expect(new Set(crashes).size).to.equal(3)
  })

  // Guards against a part that is never found since it stands behind many others that no other request has (BUDGET).
  for (const otherCount of [17, 200, 2000]) {
    it(`finds a part behind ${otherCount} others by crashes that another gateway tells of`, async () => {
      const timers = createVirtualTimerService(1000)
      const own = createSample({ name: 'own', timers })
      const other = createSample({
        name: 'other',
        timers,
        onMessage (message) {
          const text = encodePromptMessage(message)
          expect(Buffer.byteLength(text)).to.be.lessThan(65_507)
          own.guard.applyMessage(decodePromptMessage(text) as PromptMessage)
        }
      })
      for (let index = 0; index < 3; index += 1) {
        await other.lose([...Array.from({ length: otherCount }, (_, part) => `${index}-${part}`), 'p'])
        await timers.advanceAsync(2000)
      }
      expect(other.entries).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
      expect(own.guard.check(['q', 'p']).kind).to.equal(AdmissionKind.Quarantined)
      expect(own.guard.check(['0-0']).kind).to.equal(AdmissionKind.Admitted)
    })
  }

  it('takes the end of a connection to a server that still listens for no crash', async () => {
    const { guard, entries, messages, lose } = createSample({ isListening: true })
    for (let index = 0; index < 9; index += 1) await lose(['p'])
    expect({ entries, messages, suspects: guard.countSuspects() }).to.deep.equal({ entries: [], messages: [], suspects: 0 })
  })

  it('ends the trial of a request that only lost its connection', async () => {
    const { guard, lose, begin } = createSample()
    await lose(['p'])
    const attempt = begin(['p'])
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.OnTrial)
    attempt.end()
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.Admitted)
  })

  it('keeps the trial of a request with events while its part has ended servers after their first events', async () => {
    const { guard, timers, lose, begin } = createSample()
    for (let index = 0; index < 3; index += 1) await lose(['p'], false)
    const attempt = begin(['p'])
    attempt.recordProgress()
    await timers.advanceAsync(100)
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.OnTrial)
    attempt.complete()
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.Admitted)
  })

  it('lets a lost request with a suspected part wait until it is known whether its server has ended', async () => {
    const { guard, timers, begin } = createSample({ isListening: true })
    const other = createSample({ name: 'other', timers, onMessage: message => guard.applyMessage(message) })
    for (let index = 0; index < 3; index += 1) await other.lose(['p'], false)
    const attempt = begin(['p'])
    await timers.advanceAsync(requestMs)
    attempt.recordLoss(true)
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.OnTrial)
    await timers.advanceAsync(1)
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.Admitted)
  })

  it('counts a request that was sent again before the crash was confirmed as the trial', async () => {
    const { guard, messages, timers, begin } = createSample()
    const first = begin(['p'])
    await timers.advanceAsync(requestMs)
    first.recordLoss(true)
    begin(['p'])
    await timers.advanceAsync(1)
    expect(guard.check(['p']).kind).to.equal(AdmissionKind.OnTrial)
    expect(messages[0]).to.include({ kind: PromptMessageKind.Crash, isOnTrial: true, sentAgoMs: requestMs, lostAgoMs: 0 })
  })

  it('repeats the message on a crash while the part is suspected, and not after', async () => {
    const { messages, timers, lose, begin } = createSample()
    await lose(['p'])
    await timers.advanceAsync(500)
    expect(countKind(messages, PromptMessageKind.Crash)).to.equal(2)
    await lose(['q'])
    begin(['q']).complete()
    await timers.advanceAsync(500)
    expect(countKind(messages, PromptMessageKind.Crash)).to.equal(3)
  })

  it('tells once that a suspected part is cleared, and nothing of parts that no gateway suspected', async () => {
    const { messages, lose, begin } = createSample()
    await lose(['p'])
    for (let index = 0; index < 3; index += 1) {
      const attempt = begin(['p', 'q'])
      attempt.recordProgress()
      attempt.complete()
    }
    const cleared = messages.filter(({ kind }) => kind === PromptMessageKind.Cleared)
    expect(cleared).to.deep.equal([
      { kind: PromptMessageKind.Cleared, partIds: ['p'], isCompletion: false },
      { kind: PromptMessageKind.Cleared, partIds: ['p'], isCompletion: true }
    ])
  })

  describe('a server that ends after the attempt was ended', () => {
    it('is a crash, and five of them in a row are the fault of a part', async () => {
      const { guard, entries, abandon, messages } = createSample()
      for (let index = 0; index < 5; index += 1) {
        expect(entries).to.deep.equal([])
        await abandon(['p', `own-${index}`], ServerFate.Ended)
      }
      expect(entries).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
      expect(guard.check(['p']).kind).to.equal(AdmissionKind.Quarantined)
      expect(messages.find(({ kind }) => kind === PromptMessageKind.Crash)).to.include({ isEarly: false })
    })

    it('counts beside those that end the connection', async () => {
      const { entries, abandon, lose } = createSample()
      for (let index = 0; index < 2; index += 1) {
        await lose(['p'], false)
        await abandon(['p'], ServerFate.Ended)
      }
      expect(entries).to.deep.equal([])
      await lose(['p'], false)
      expect(entries).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
    })

    it('is no crash when its end was planned, or nothing is known of it', async () => {
      const planned = createSample({ isEndPlanned: true })
      const unknown = createSample()
      for (let index = 0; index < 9; index += 1) {
        await planned.abandon(['p'], ServerFate.Ended)
        await unknown.abandon(['p'], ServerFate.Unknown)
      }
      expect([planned.guard.countSuspects(), unknown.guard.countSuspects()]).to.deep.equal([0, 0])
    })

    it('is by chance when many more servers outlive such requests, at any gateway', async () => {
      const { entries, abandon, messages } = createSample()
      const other = createSample({ name: 'other' })
      await abandon(['p'], ServerFate.Ended)
      for (let index = 0; index < 12; index += 1) await abandon(['p'], ServerFate.Alive, true)
      for (const message of messages) other.guard.applyMessage(message)
      for (let index = 0; index < 4; index += 1) {
        await abandon(['p'], ServerFate.Ended)
        await other.abandon(['p'], ServerFate.Ended)
      }
      expect([entries, other.entries]).to.deep.equal([[], []])
    })

    it('is not excused by servers that outlive every other request, or never wrote an event', async () => {
      const { entries, abandon } = createSample()
      for (let index = 0; index < 5; index += 1) {
        await abandon(['p'], ServerFate.Alive, true)
        for (let unwritten = 0; unwritten < 9; unwritten += 1) await abandon(['p'], ServerFate.Alive)
        await abandon(['p'], ServerFate.Ended)
      }
      expect(entries).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
    })

    it('does not excuse early crashes of connections that ended first', async () => {
      const { entries, abandon, lose } = createSample()
      for (let index = 0; index < 9; index += 1) await abandon(['p'], ServerFate.Alive, true)
      for (let index = 0; index < 3; index += 1) await lose(['p'])
      expect(entries).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
    })
  })

  describe('a response that ended with its connection', () => {
    // Guards against counting the end of a process as a served request, which clears the part and lifts its entry (BUDGET).
    it('is a crash when its server has ended', async () => {
      const { guard, entries, refuted, begin, timers } = createSample()
      for (let index = 0; index < 3; index += 1) {
        const attempt = begin(['p', `own-${index}`])
        await timers.advanceAsync(requestMs)
        attempt.recordProgress()
        await timers.advanceAsync(2)
        expect(await attempt.confirmEnd(true)).to.equal(false)
      }
      expect(entries).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
      expect(await begin(['p']).confirmEnd(true)).to.equal(false)
      expect(refuted).to.deep.equal([])
      expect(guard.check(['p']).kind).to.equal(AdmissionKind.Quarantined)
    })

    it('serves its request when the server lives, and nothing counts twice', async () => {
      const { guard, messages, refuted, begin } = createSample({ isListening: true })
      guard.addEntry({ partIds: ['p'], probeCount: 1 }, 'the store')
      const attempt = begin(['p', 'q'])
      expect(await attempt.confirmEnd(true)).to.equal(true)
      attempt.complete()
      attempt.recordLoss(true)
      expect(refuted.length).to.equal(1)
      expect(messages).to.deep.equal([{ kind: PromptMessageKind.Cleared, partIds: ['p'], isCompletion: true }])
    })

    it('lifts nothing when it does not serve its request', async () => {
      const { guard, refuted, begin } = createSample({ isListening: true })
      guard.addEntry({ partIds: ['p'], probeCount: 1 }, 'the store')
      expect(await begin(['p']).confirmEnd(false)).to.equal(true)
      expect(refuted).to.deep.equal([])
    })

    it('is asked for without parts of a prompt too', async () => {
      expect(await createSample().begin([]).confirmEnd(true)).to.equal(false)
      expect(await createSample({ isListening: true }).begin([]).confirmEnd(true)).to.equal(true)
    })
  })

  it('takes a first event for progress once the server has outlived it', async () => {
    const { messages, lose, begin, timers } = createSample()
    await lose(['p'])
    const attempt = begin(['p'])
    attempt.recordProgress()
    await timers.advanceAsync(10)
    expect(countKind(messages, PromptMessageKind.Cleared)).to.equal(0)
    await timers.advanceAsync(20)
    expect(countKind(messages, PromptMessageKind.Cleared)).to.equal(1)
  })

  it('lifts an entry when a request with its parts is served', async () => {
    const { guard, refuted, begin } = createSample()
    guard.addEntry({ partIds: ['p'], probeCount: 1 }, 'the store')
    begin(['p', 'q']).complete()
    expect(refuted).to.deep.equal([{ partIds: ['p'], probeCount: 1 }])
  })

  it('does nothing for requests whose prompts share no part', async () => {
    const { guard, entries, messages, lose } = createSample()
    for (let index = 0; index < 9; index += 1) await lose([])
    expect({ entries, messages, kind: guard.check([]).kind }).to.deep.equal({ entries: [], messages: [], kind: AdmissionKind.Admitted })
  })

  describe('messages of other gateways', () => {
    function createPair () {
      const guards: PromptGuard[] = []
      const timers = createVirtualTimerService(1000)
      const left = createSample({ name: 'left', timers, onMessage: message => guards[1]?.applyMessage(message) })
      const right = createSample({ name: 'right', timers, onMessage: message => guards[0]?.applyMessage(message) })
      guards.push(left.guard, right.guard)
      return { left, right, timers }
    }

    it('add to the evidence of the own requests', async () => {
      const { left, right } = createPair()
      await left.lose(['p', 'a'])
      await right.lose(['p', 'b'])
      await left.lose(['p', 'c'])
      expect([left, right].map(({ guard }) => guard.check(['p']).kind)).to.deep.equal([AdmissionKind.Quarantined, AdmissionKind.Quarantined])
      expect([left, right].flatMap(({ entries }) => entries).length).to.equal(1)
    })

    it('hold requests while another gateway tries one, and clear the part when it is served there', async () => {
      const { left, right } = createPair()
      await left.lose(['p'])
      const attempt = left.begin(['p'])
      expect(right.guard.check(['p']).kind).to.equal(AdmissionKind.OnTrial)
      attempt.recordProgress()
      attempt.complete()
      expect(right.guard.check(['p']).kind).to.equal(AdmissionKind.Admitted)
      expect(right.guard.countSuspects()).to.equal(0)
    })

    // Guards against gateways that go on refusing for an entry that another one has refuted (LOST).
    it('lift an entry that a served request refuted there', async () => {
      const { left, right } = createPair()
      for (const { guard } of [left, right]) guard.addEntry({ partIds: ['p'], probeCount: 0 }, 'the store')
      left.begin(['p', 'q']).complete()
      expect(right.refuted).to.deep.equal([{ partIds: ['p'], probeCount: 0 }])
    })

    it('bring entries that the store does not hold yet', async () => {
      const { guard } = createSample()
      guard.applyMessage({ kind: PromptMessageKind.Quarantine, partIds: ['p'], probeCount: 0 })
      expect(guard.check(['p']).kind).to.equal(AdmissionKind.Quarantined)
    })
  })
})
