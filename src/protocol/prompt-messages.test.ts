import { expect } from 'chai'

import { decodePromptMessage, encodePromptMessage, limitPartList, PromptMessageKind, type PromptMessage } from './prompt-messages.js'

describe('messages about the parts of prompts', () => {
  const messages: PromptMessage[] = [
    { kind: PromptMessageKind.Crash, partIds: ['p'], serverKey: 's/1', isEarly: true, sentAgoMs: 200.5, lostAgoMs: 3, isOnTrial: false },
    { kind: PromptMessageKind.Trial, partIds: ['p', 'q'] },
    { kind: PromptMessageKind.Cleared, partIds: ['p'], isCompletion: true },
    { kind: PromptMessageKind.Quarantine, partIds: ['p'], probeCount: 2 },
    { kind: PromptMessageKind.Survived, partIds: ['p'] }
  ]

  for (const message of messages) {
    it(`are decoded as they were encoded (${message.kind})`, () => {
      expect(decodePromptMessage(encodePromptMessage(message))).to.deep.equal(message)
    })
  }

  it('are rejected when they are malformed or larger than gateways send', () => {
    const parts = (count: number, length: number) => Array.from({ length: count }, () => 'x'.repeat(length))
    for (const text of [
      'no JSON',
      '{}',
      // One more than a message names, see the test below.
      JSON.stringify({ kind: PromptMessageKind.Trial, partIds: parts(15_001, 1) }),
      JSON.stringify({ kind: PromptMessageKind.Trial, partIds: parts(1, 65) }),
      JSON.stringify({ ...messages[3], partIds: [] }),
      JSON.stringify({ ...messages[3], partIds: [''] }),
      JSON.stringify({ ...messages[0], sentAgoMs: -1 }),
      JSON.stringify({ ...messages[3], probeCount: 0.5 })
    ]) expect(decodePromptMessage(text), text.slice(0, 100)).to.equal(undefined)
  })

  // Guards against a long list that no gateway hears of, as it fits into no datagram or is rejected on arrival (BUDGET).
  for (const [length, count] of [[1, 15_000], [8, 5454], [32, 1714]] as const) {
    it(`name ${count} parts of ${length} characters at most, which a datagram holds`, () => {
      const partIds = limitPartList(Array.from({ length: 20_000 }, () => 'x'.repeat(length)))
      expect(partIds.length).to.equal(count)
      const text = encodePromptMessage({ ...messages[0], partIds: [...partIds] } as PromptMessage)
      expect(Buffer.byteLength(text)).to.be.lessThan(65_507)
      expect(decodePromptMessage(text)).to.deep.include({ partIds })
    })
  }
})
