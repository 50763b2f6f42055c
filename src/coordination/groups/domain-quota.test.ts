import { expect } from 'chai'

import { createDeployment, createSampleFleetConfig, createListedVm, createPartner } from '../../testing/group-samples.js'
import { VmLifecycle } from '../ports/vm-list.js'
import { listDomains } from './domain-ownership.js'
import { computeQuotas } from './domain-quota.js'
import { computeSpareCount } from './spare-count.js'

function createVms (zone: string, count: number) {
  return Array.from({ length: count }, (_, index) => createListedVm(`${zone}-${index}`, `domain-${zone}`, zone))
}

const zones = ['zone-a', 'zone-b']
const vms = zones.flatMap(zone => createVms(zone, 4))

function countByDomain (groupCount: number, listed = vms, drainingVmIds: readonly string[] = []) {
  const config = { ...createSampleFleetConfig([createDeployment({ groupCount, availabilityZones: zones })]), drainingVmIds }
  const quotas = computeQuotas(listDomains(listed), config, () => 0)
  return [...quotas.values()].map(quota => quota.get('drafts') ?? 0)
}

describe('domain quota', () => {
  describe('computeQuotas', () => {
    it('spreads groups over the availability zones', () => {
      expect(countByDomain(2)).to.deep.equal([1, 1])
    })

    it('never assigns more groups to a domain than its VMs can form', () => {
      expect(countByDomain(10)).to.deep.equal([2, 2])
    })

    it('excludes drained and leaving VMs', () => {
      const leaving = vms.map(vm => vm.vmId === 'zone-b-0' ? { ...vm, lifecycle: VmLifecycle.Leaving } : vm)
      expect(countByDomain(10, leaving, ['zone-a-0'])).to.deep.equal([1, 1])
    })

    it('does not depend on the order of the VM list', () => {
      expect(countByDomain(3, [...vms].reverse())).to.deep.equal(countByDomain(3))
    })
  })

  describe('computeSpareCount', () => {
    it('reserves spares only for a partner with a high downtime weight', () => {
      const deployment = createDeployment({ membersPerGroup: 4 })
      const count = (downtimeWeight: number) => computeSpareCount({
        vmCount: 16,
        acceleratorsPerVm: 8,
        deployment,
        partner: createPartner('vrany', downtimeWeight, 1)
      })
      expect(count(20)).to.equal(0)
      expect(count(20_000)).to.be.above(0)
    })
  })
})
