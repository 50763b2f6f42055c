import { expect } from 'chai'

import { defaultGroupSubsetSettings, selectGroups } from './group-subset.js'

const groups = Array.from({ length: 60 }, (_, index) => ({
  groupId: `g${index}`,
  deployment: 'drafting',
  availabilityZone: index % 3 === 0 ? 'north' : 'south'
}))

describe('group subset', () => {
  it('is bounded and prefers groups of the local zone', () => {
    const selected = selectGroups('n1', 'north', groups, defaultGroupSubsetSettings)
    expect(selected.filter(group => group.availabilityZone === 'north')).to.have.length(12)
    expect(selected).to.have.length(16)
  })

  it('fills up with groups of other zones', () => {
    expect(selectGroups('n1', 'west', groups, defaultGroupSubsetSettings)).to.have.length(16)
  })

  it('replaces only the group that was removed', () => {
    const before = selectGroups('n1', 'north', groups, defaultGroupSubsetSettings)
    const after = selectGroups('n1', 'north', groups.filter(group => group !== before[0]), defaultGroupSubsetSettings)
    expect(after.filter(group => !before.includes(group))).to.have.length(1)
  })
})
