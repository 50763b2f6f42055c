import { expect } from 'chai'

import { ImmediateRepair, RepairDecision, WaitForRecovery, CostBasedRepair, type BrokenGroup } from './repair-policy.js'

const silent: BrokenGroup = {
  toReplaceCount: 1,
  memberCount: 4,
  brokenForMs: 1000,
  isPermanentlyGone: false,
  isConfirmedDown: false,
  acceleratorsPerVm: 8,
  freeVmCount: 1,
  repairableGroupCount: 0,
  weights: { groupDowntimeWeight: 20, strandedAcceleratorWeight: 1 }
}

describe('repair policy', () => {
  describe('cost-based', () => {
    const policy = new CostBasedRepair()

    it('waits for a member that has just gone silent', () => {
      expect(policy.decide(silent)).to.equal(RepairDecision.Wait)
    })

    it('replaces a member that stays silent', () => {
      expect(policy.decide({ ...silent, brokenForMs: 10_000 })).to.equal(RepairDecision.Replace)
    })

    it('replaces a member immediately when it is confirmed down', () => {
      expect(policy.decide({ ...silent, isConfirmedDown: true })).to.equal(RepairDecision.Replace)
    })

    it('waits without a spare, unless another group can be repaired', () => {
      const long = { ...silent, brokenForMs: 10_000, freeVmCount: 0 }
      expect(policy.decide(long)).to.equal(RepairDecision.Wait)
      expect(policy.decide({ ...long, repairableGroupCount: 1 })).to.equal(RepairDecision.Dissolve)
    })
  })

  describe('baselines', () => {
    it('differ on a silent member', () => {
      expect(new ImmediateRepair().decide(silent)).to.equal(RepairDecision.Replace)
      expect(new WaitForRecovery().decide({ ...silent, brokenForMs: 100_000 })).to.equal(RepairDecision.Wait)
    })
  })
})
