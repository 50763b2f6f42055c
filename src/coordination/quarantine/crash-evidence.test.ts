import { expect } from 'chai'

import { createCrashEvidence, faultCrashCount, faultEarlyCrashCount, maxSuspectCount, type CrashEvidence } from './crash-evidence.js'

const stepMs = 300

/** Records crashes one after the other, each of a request that was sent after the last one, and returns the last result. */
function recordCrashes (evidence: CrashEvidence, count: number, options: { readonly partIds?: readonly string[], readonly isEarly?: boolean, readonly fromMs?: number } = {}): string[] {
  const { partIds = ['p'], isEarly = true, fromMs = 1000 } = options
  let atFault: string[] = []
  for (let index = 0; index < count; index += 1) {
    const lostAtMs = fromMs + (index + 1) * stepMs
    atFault = evidence.recordCrash({ serverKey: `s${lostAtMs}`, partIds, isEarly, sentAtMs: lostAtMs - stepMs, lostAtMs }, lostAtMs + 2)
  }
  return atFault
}

describe('crash evidence', () => {
  let evidence: CrashEvidence

  beforeEach(() => {
    evidence = createCrashEvidence()
  })

  describe('a part under which servers end in a row', () => {
    it('is at fault after three crashes before the first event, and not before', () => {
      expect(recordCrashes(evidence, faultEarlyCrashCount - 1)).to.deep.equal([])
      expect(recordCrashes(evidence, 1, { fromMs: 9000 })).to.deep.equal(['p'])
    })

    // Guards against a verdict behind the fifth crash, from which on only a few requests may arrive at servers (BUDGET).
    it('is at fault after five crashes at any point of the responses', () => {
      expect(faultCrashCount).to.be.at.most(5)
      expect(recordCrashes(evidence, faultCrashCount - 1, { isEarly: false })).to.deep.equal([])
      expect(recordCrashes(evidence, 1, { isEarly: false, fromMs: 9000 })).to.deep.equal(['p'])
    })

    it('is told apart from parts that it shares requests with', () => {
      for (let index = 0; index < 2; index += 1) recordCrashes(evidence, 1, { partIds: ['first', 'p', `own-${index}`], fromMs: 1000 * index })
      evidence.recordCompletion(['first'], 2500)
      expect(recordCrashes(evidence, 1, { partIds: ['first', 'p', 'own-2'], fromMs: 3000 })).to.deep.equal(['p'])
    })

    it('explains the crashes of the others, and not its own', () => {
      recordCrashes(evidence, 3, { partIds: ['p', 'beside'] })
      recordCrashes(evidence, 1, { partIds: ['other'], fromMs: 9000 })
      evidence.explain(['p'])
      expect(['p', 'beside', 'other'].map(evidence.countCrashes)).to.deep.equal([3, 0, 1])
    })
  })

  it('finds a part that ends each server 30 ms after the request arrives there', () => {
    const atFault = [1030, 1060, 1090].map(lostAtMs => evidence.recordCrash({ serverKey: `s${lostAtMs}`, partIds: ['p'], isEarly: true, sentAtMs: lostAtMs - 30, lostAtMs }, lostAtMs + 2))
    expect(atFault).to.deep.equal([[], [], ['p']])
  })

  describe('crashes that count once', () => {
    it('are those of one process, whoever saw them', () => {
      for (const lostAtMs of [1000, 1100, 2000]) evidence.recordCrash({ serverKey: 's', partIds: ['p'], isEarly: true, sentAtMs: lostAtMs - 50, lostAtMs }, lostAtMs)
      expect(evidence.countCrashes('p')).to.equal(1)
    })

    it('are those of servers that end together under requests that were in progress', () => {
      for (const index of [0, 1, 2]) evidence.recordCrash({ serverKey: `s${index}`, partIds: ['p'], isEarly: true, sentAtMs: 900, lostAtMs: 1000 + 20 * index }, 1100)
      expect(evidence.countCrashes('p')).to.equal(1)
    })

    it('are those of servers that end together with one to which the request was sent again', () => {
      for (const index of [0, 1, 2]) evidence.recordCrash({ serverKey: `s${index}`, partIds: ['p'], isEarly: true, sentAtMs: 1000 + index, lostAtMs: 1005 + index }, 1010)
      expect(evidence.countCrashes('p')).to.equal(1)
    })
  })

  describe('suspicion', () => {
    it('begins with the first early crash of a part that is not served otherwise', () => {
      recordCrashes(evidence, 1)
      expect(evidence.listSuspects(['p', 'q'], 1400)).to.deep.equal(['p'])
    })

    it('begins with the second one while other requests with the part are served', () => {
      evidence.recordCompletion(['p'], 1200)
      recordCrashes(evidence, 1)
      expect(evidence.listSuspects(['p'], 1400)).to.deep.equal([])
      recordCrashes(evidence, 1, { fromMs: 1500 })
      expect(evidence.listSuspects(['p'], 1900)).to.deep.equal(['p'])
    })

    it('begins with the third crash at any point of a part that is not served otherwise', () => {
      recordCrashes(evidence, 2, { isEarly: false })
      expect(evidence.listSuspects(['p'], 9000)).to.deep.equal([])
      recordCrashes(evidence, 1, { isEarly: false, fromMs: 9000 })
      expect(evidence.listSuspects(['p'], 9500)).to.deep.equal(['p'])
    })

    it('begins with the fourth one while other requests with the part are served', () => {
      evidence.recordCompletion(['p'], 8500)
      recordCrashes(evidence, 3, { isEarly: false })
      expect(evidence.listSuspects(['p'], 9000)).to.deep.equal([])
      recordCrashes(evidence, 1, { isEarly: false, fromMs: 9000 })
      expect(evidence.listSuspects(['p'], 9500)).to.deep.equal(['p'])
    })

    it('ends with a completion, and an event takes the weight of early crashes', () => {
      recordCrashes(evidence, 2)
      expect(evidence.recordProgress(['p', 'q'])).to.deep.equal(['p'])
      expect(evidence.listSuspects(['p'], 2000)).to.deep.equal([])
      expect(evidence.countCrashes('p')).to.equal(2)
      expect(evidence.recordCompletion(['p', 'q'], 2000)).to.deep.equal(['p'])
      expect(evidence.countCrashes('p')).to.equal(0)
    })

    it('ends after ten minutes without another crash', () => {
      recordCrashes(evidence, 1, { partIds: ['old'] })
      recordCrashes(evidence, 1, { partIds: ['new'], fromMs: 700_000 })
      expect(evidence.countCrashes('old')).to.equal(0)
    })

    it('keeps a bounded number of parts, whatever clients make up', () => {
      const partCount = maxSuspectCount + 1000
      for (let index = 0; index < partCount; index += 1) {
        recordCrashes(evidence, 1, { partIds: [`p${index}`], fromMs: index })
        evidence.recordCompletion([`c${index}`, `d${index}`], index)
      }
      expect(evidence.countSuspects()).to.equal(maxSuspectCount)
      expect(evidence.countCrashes(`p${partCount - 1}`)).to.equal(1)
    })

    // Guards against prompts of many parts that push the part at fault out of the bounded record (BUDGET).
    it('keeps a part under which servers end again and again, beside any number of others', () => {
      recordCrashes(evidence, 2, { partIds: ['p'], isEarly: false })
      for (let index = 0; index < 10; index += 1) recordCrashes(evidence, 1, { partIds: Array.from({ length: 4000 }, (_, part) => `${index}-${part}`), fromMs: 3000 + index })
      expect(evidence.countSuspects()).to.equal(maxSuspectCount)
      expect(evidence.countCrashes('p')).to.equal(2)
      expect(evidence.countCrashes('0-0')).to.equal(0)
    })
  })
})
