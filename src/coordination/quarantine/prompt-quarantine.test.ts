import { expect } from 'chai'

import { AdmissionKind, createPromptQuarantine, formatEntryKey, maxEntryCount, trialTimeMs, type PromptQuarantine } from './prompt-quarantine.js'

function recordCrash (quarantine: PromptQuarantine, partIds: readonly string[], lostAtMs: number) {
  return quarantine.recordCrash({ serverKey: `s${lostAtMs}`, partIds, isEarly: true, sentAtMs: lostAtMs - 100, lostAtMs }, lostAtMs)
}

describe('quarantine of prompts', () => {
  let quarantine: PromptQuarantine

  beforeEach(() => {
    quarantine = createPromptQuarantine()
  })

  describe('requests under suspicion', () => {
    beforeEach(() => { recordCrash(quarantine, ['p'], 1000) })

    it('go to servers one at a time', () => {
      expect(quarantine.check(['p'], 1100).kind).to.equal(AdmissionKind.Admitted)
      expect(quarantine.begin(['p', 'q'], 1100)).to.deep.equal(['p'])
      expect(quarantine.check(['p'], 1200)).to.deep.equal({ kind: AdmissionKind.OnTrial, partIds: ['p'], waitMs: trialTimeMs - 100 })
      expect(quarantine.check(['q'], 1200).kind).to.equal(AdmissionKind.Admitted)
    })

    for (const [name, end] of [
      ['an event', () => quarantine.recordProgress(['p'])],
      ['a completion', () => quarantine.recordCompletion(['p'], 1200)],
      ['the next crash', () => recordCrash(quarantine, ['p'], 1200)],
      ['another end', () => quarantine.endTrial(['p'], 1100)]
    ] as const) {
      it(`let the next one through after ${name}`, () => {
        quarantine.begin(['p'], 1100)
        end()
        expect(quarantine.check(['p'], 1201).kind).to.equal(AdmissionKind.Admitted)
      })
    }

    it('wait on when one that was sent before the trial ends', () => {
      quarantine.begin(['p'], 1100)
      recordCrash(quarantine, ['p'], 1150)
      quarantine.endTrial(['p'], 1050)
      expect(quarantine.check(['p'], 1201).kind).to.equal(AdmissionKind.OnTrial)
    })

    it('wait for those of other gateways', () => {
      quarantine.recordTrial(['p', 'unknown'], 1100)
      expect(quarantine.check(['p'], 1200).kind).to.equal(AdmissionKind.OnTrial)
      expect(quarantine.check(['unknown'], 1200).kind).to.equal(AdmissionKind.Admitted)
    })
  })

  describe('an entry', () => {
    it('is made by the third crash in a row, and refuses requests with the part until the next probe', () => {
      expect([1000, 2000].map(atMs => recordCrash(quarantine, ['a', 'p', `own-${atMs}`], atMs))).to.deep.equal([undefined, undefined])
      quarantine.recordCompletion(['a'], 2500)
      expect(recordCrash(quarantine, ['a', 'p', 'own'], 3000)).to.deep.equal({ partIds: ['p'], probeCount: 0 })
      expect(quarantine.check(['a', 'p'], 13_000)).to.deep.equal({ kind: AdmissionKind.Quarantined, partIds: ['p'], waitMs: 50_000 })
      expect(quarantine.check(['a', 'own'], 13_000).kind).to.equal(AdmissionKind.Admitted)
    })

    it('names all parts that cannot be told apart, and the one at fault once they can', () => {
      for (const atMs of [1000, 2000, 3000]) recordCrash(quarantine, ['p', 'session'], atMs)
      expect(quarantine.listEntries()).to.deep.equal([{ partIds: ['p', 'session'], probeCount: 0 }])
      expect(quarantine.check(['session'], 9000).kind).to.equal(AdmissionKind.Admitted)
      expect(recordCrash(quarantine, ['p', 'other'], 9000)).to.deep.equal({ partIds: ['p'], probeCount: 0 })
    })

    it('is not made again by requests that were sent before it', () => {
      for (const atMs of [1000, 2000, 3000]) recordCrash(quarantine, ['p'], atMs)
      expect(recordCrash(quarantine, ['p', 'beside'], 3500)).to.equal(undefined)
      expect(quarantine.countCrashes('beside')).to.equal(0)
    })

    it('is probed at growing intervals, three times a day', () => {
      quarantine.add({ partIds: ['p'], probeCount: 0 }, 0)
      const probesMs: number[] = []
      for (let nowMs = 0; nowMs < 86_400_000; nowMs += 10_000) {
        const entry = quarantine.findDueProbe(['p', 'q'], nowMs)
        if (entry === undefined) continue
        probesMs.push(nowMs)
        quarantine.add({ ...entry, probeCount: entry.probeCount + 1 }, nowMs)
      }
      expect(probesMs).to.deep.equal([60_000, 660_000, 7_860_000])
    })

    it('with more probes replaces one with fewer, and not the other way round', () => {
      expect(quarantine.add({ partIds: ['p'], probeCount: 2 }, 0)).to.equal(true)
      expect(quarantine.add({ partIds: ['p'], probeCount: 1 }, 0)).to.equal(false)
      expect(quarantine.add({ partIds: ['p'], probeCount: 3 }, 0)).to.equal(false)
      expect(quarantine.listEntries()).to.deep.equal([{ partIds: ['p'], probeCount: 3 }])
    })

    it('starts from nothing after its removal', () => {
      for (const atMs of [1000, 2000, 3000]) recordCrash(quarantine, ['p'], atMs)
      expect(quarantine.remove(formatEntryKey(['p']))).to.equal(true)
      expect(recordCrash(quarantine, ['p'], 4000)).to.equal(undefined)
    })

    it('does not probe a request that other entries match too', () => {
      quarantine.add({ partIds: ['p'], probeCount: 0 }, 0)
      quarantine.add({ partIds: ['q'], probeCount: 0 }, 0)
      expect(quarantine.findDueProbe(['p', 'q'], 100_000)).to.equal(undefined)
    })

    it('is not made above the limit', () => {
      const isNew = Array.from({ length: maxEntryCount + 1 }, (_, index) => quarantine.add({ partIds: [`p${index}`], probeCount: 0 }, 0))
      expect(isNew.lastIndexOf(true)).to.equal(maxEntryCount - 1)
      expect(quarantine.listEntries().length).to.equal(maxEntryCount)
      for (const atMs of [1000, 2000, 3000]) expect(recordCrash(quarantine, ['p'], atMs)).to.equal(undefined)
    })
  })
})
