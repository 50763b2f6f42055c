import { expect } from 'chai'

import { AdmissionLimit, computeAdmission, listObjectivesMs } from './admission.js'
import { formatClassKey, type CallClass, type ModelUses } from './class-uses.js'

const makeClass = (priority: number, teamName?: string, objectiveMs = 300): CallClass => ({ priority, teamName, objectiveMs })
const makeUses = (...uses: ReadonlyArray<readonly [CallClass, number]>): ModelUses =>
  new Map(uses.map(([callClass, offeredSlotCount]) => [formatClassKey(callClass), { offeredSlotCount }]))

describe('admission of calls to a model', () => {
  it('admits all calls while the model has room', () => {
    const uses = makeUses([makeClass(1), 30], [makeClass(2), 20])
    for (const priority of [1, 2, 3]) expect(computeAdmission(makeClass(priority), uses, 60)).to.deep.equal({ fraction: 1, limit: AdmissionLimit.None })
  })

  it('gives the room to more urgent calls first', () => {
    const uses = makeUses([makeClass(1), 30], [makeClass(2), 20])
    expect(computeAdmission(makeClass(1), uses, 40).fraction).to.equal(1)
    expect(computeAdmission(makeClass(2), uses, 40)).to.deep.equal({ fraction: 0.5, limit: AdmissionLimit.Priority })
  })

  // Guards against a priority that is never served while more urgent calls fill the model.
  it('leaves a twentieth of the room to the least urgent', () => {
    const uses = makeUses([makeClass(1), 80], [makeClass(2), 20])
    expect(computeAdmission(makeClass(2), uses, 40).fraction).to.be.closeTo(0.1, 0.001)
  })

  it('is first come, first served among calls of one priority and team', () => {
    const uses = makeUses([makeClass(0), 80])
    expect(computeAdmission(makeClass(0), uses, 40)).to.deep.equal({ fraction: 0.5, limit: AdmissionLimit.Room })
  })

  // Guards against a team that takes the room of a smaller one by asking for more.
  it('divides the room of a priority among its teams by max-min fairness', () => {
    const uses = makeUses([makeClass(1, 'big'), 60], [makeClass(1, 'big', 900), 30], [makeClass(1, 'small'), 10])
    expect(computeAdmission(makeClass(1, 'small'), uses, 40).fraction).to.equal(1)
    const { fraction, limit } = computeAdmission(makeClass(1, 'big'), uses, 40)
    expect(fraction).to.be.closeTo(30 / 90, 0.001)
    expect(limit).to.equal(AdmissionLimit.Team)
    const floods = makeUses([makeClass(1, 'big'), 1000], [makeClass(1, 'small'), 30])
    expect(computeAdmission(makeClass(1, 'small'), floods, 40).fraction).to.be.closeTo(20 / 30, 0.001)
  })

  it('ignores classes that can\'t be read', () => {
    const uses = new Map([...makeUses([makeClass(1), 30]), ['nonsense', { offeredSlotCount: 1e6 }], ['', { offeredSlotCount: 1e6 }]])
    expect(computeAdmission(makeClass(1), uses, 40).fraction).to.equal(1)
  })

  it('looks at the objectives of calls that are as urgent or more, and not rare', () => {
    const uses = makeUses([makeClass(1, 'a', 300), 30], [makeClass(1, 'a', 400), 20], [makeClass(1, 'b', 100), 1], [makeClass(2, 'a', 200), 30])
    expect(listObjectivesMs(uses, makeClass(1, 'a', 1000))).to.have.members([1000, 300, 400])
    expect(listObjectivesMs(uses, makeClass(0, 'a', 1000))).to.have.members([1000])
  })
})
