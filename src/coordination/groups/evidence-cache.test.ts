import { expect } from 'chai'

import type { GroupEvidence } from '../../protocol/generated/egretpaddle/peer/v1/peer.js'
import { drainMicrotasks, createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createEvidenceCache, EvidenceLossReason, type EvidenceLoss } from './evidence-cache.js'
import { defaultGroupSettings } from './group-settings.js'

const groupId = 'domain-1/drafts/1'
const { evidenceMaxAgeMs, leavingHoldMs } = defaultGroupSettings

function createEvidence (fields: Partial<GroupEvidence>): GroupEvidence {
  return {
    groupId,
    epoch: 3,
    isComplete: true,
    ageMs: 0,
    activeStreamCount: 0,
    queuedStreamCount: 0,
    tokenIntervalUs: 20_000,
    credits: [],
    deployment: 'drafts',
    leaderAddress: 'vm-1:9000',
    availabilityZone: 'zone-a',
    ...fields
  }
}

describe('evidence cache', () => {
  function setUp () {
    const timers = createVirtualTimerService(10_000)
    const cache = createEvidenceCache(timers, defaultGroupSettings)
    const losses: EvidenceLoss[] = []
    void cache.losses.observe(loss => { losses.push(loss) })
    return { timers, cache, losses }
  }

  describe('canRouteTo', () => {
    it('counts the age from the send time of the poll', () => {
      const { timers, cache } = setUp()
      cache.applyResponse([createEvidence({ ageMs: 500 })], 9000)
      expect(cache.canRouteTo(groupId, 3, timers.nowMs())).to.equal(true)
      expect(cache.canRouteTo(groupId, 3, 9000 - 500 + evidenceMaxAgeMs)).to.equal(true)
      expect(cache.canRouteTo(groupId, 3, 9001 - 500 + evidenceMaxAgeMs)).to.equal(false)
    })

    it('rejects an epoch other than the newest and ignores responses about an older one', () => {
      const { timers, cache } = setUp()
      cache.applyResponse([createEvidence({})], 9900)
      cache.applyResponse([createEvidence({ epoch: 2 })], 9950)
      expect(cache.getEpoch(groupId)).to.equal(3)
      expect(cache.canRouteTo(groupId, 2, timers.nowMs())).to.equal(false)
    })

    it('keeps the newest evidence when responses arrive out of order', () => {
      const { cache } = setUp()
      cache.applyResponse([createEvidence({ ageMs: 100 })], 9900)
      cache.applyResponse([createEvidence({ ageMs: 1000 })], 9000)
      expect(cache.canRouteTo(groupId, 3, 9800 + evidenceMaxAgeMs)).to.equal(true)
    })

    it('rejects a refuted group until newer evidence arrives', () => {
      const { timers, cache } = setUp()
      cache.applyResponse([createEvidence({})], 9900)
      cache.applyResponse([createEvidence({ isComplete: false, isRefuted: true })], 9950)
      expect(cache.canRouteTo(groupId, 3, timers.nowMs())).to.equal(false)
      cache.applyResponse([createEvidence({ ageMs: 10 })], 9970)
      expect(cache.canRouteTo(groupId, 3, timers.nowMs())).to.equal(true)
    })

    it('rejects a leaving group although another owner reports it as complete', () => {
      const { timers, cache } = setUp()
      cache.applyResponse([createEvidence({ isComplete: false, isLeaving: true })], 9900)
      cache.applyResponse([createEvidence({})], 9950)
      expect(cache.canRouteTo(groupId, 3, timers.nowMs())).to.equal(false)
      expect(cache.getFreshGroups('drafts', timers.nowMs())).to.deep.equal([])
      cache.applyResponse([createEvidence({})], 9900 + leavingHoldMs)
      expect(cache.canRouteTo(groupId, 3, 9900 + leavingHoldMs)).to.equal(true)
    })
  })

  describe('losses', () => {
    it('are reported once each, with the reason', async () => {
      const { timers, cache, losses } = setUp()
      await drainMicrotasks()
      cache.applyResponse([createEvidence({})], 9950)
      cache.applyResponse([createEvidence({ epoch: 4 })], 9960)
      cache.applyResponse([createEvidence({ epoch: 4, isComplete: false, isRefuted: true })], 9970)
      cache.applyResponse([createEvidence({ epoch: 4 })], 9980)
      await timers.advanceAsync(2 * evidenceMaxAgeMs)
      expect(losses).to.deep.equal([
        { groupId, epoch: 3, reason: EvidenceLossReason.Superseded },
        { groupId, epoch: 4, reason: EvidenceLossReason.Refuted },
        { groupId, epoch: 4, reason: EvidenceLossReason.Expired }
      ])
    })

    it('are not reported for a leaving group', async () => {
      const { timers, cache, losses } = setUp()
      await drainMicrotasks()
      cache.applyResponse([createEvidence({})], 9950)
      cache.applyResponse([createEvidence({ isComplete: false, isLeaving: true })], 9990)
      await timers.advanceAsync(1000)
      expect(losses).to.deep.equal([])
    })
  })
})
