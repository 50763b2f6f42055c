import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createClassUses, formatClassKey, parseClassKey, sumModelUses, sumReportedUses, type ReportedUses } from './class-uses.js'

const callClass = { priority: 1, objectiveMs: 300, teamName: 'a/b' }

describe('uses of slots by class', () => {
  it('are named by priority, objective and team', () => {
    for (const other of [callClass, { ...callClass, teamName: undefined }, { ...callClass, teamName: '' }]) expect(parseClassKey(formatClassKey(other))).to.deep.equal(other)
    for (const key of ['', '/', '1/', 'x/300', '1/x/a', '/300/a']) expect(parseClassKey(key)).to.equal(undefined)
  })

  it('approximate the slots that a steady demand needs, and are forgotten after it', () => {
    const timers = createVirtualTimerService()
    const uses = createClassUses(timers)
    for (let index = 0; index < 400; index += 1) {
      uses.recordOffered('s/m', callClass, 1000)
      timers.advance(50)
    }
    // 20 calls per second of 1 s each.
    expect(uses.createReport()['s/m']?.['1/300/a/b']).to.be.closeTo(20, 1)
    timers.advance(60_000)
    expect(uses.createReport()).to.deep.equal({})
  })

  // Guards against reports that outgrow a datagram.
  it('are reported for a bounded number of classes, those with the most demand', () => {
    const uses = createClassUses(createVirtualTimerService())
    for (let index = 0; index < 500; index += 1) uses.recordOffered('s/m', { ...callClass, teamName: `t${index}` }, 1000 + index)
    const classKeys = Object.keys(uses.createReport()['s/m'] ?? {})
    expect(classKeys.length).to.equal(40)
    expect(classKeys).to.include('1/300/t499')
  })

  it('are added up over reports, also those without uses', () => {
    const reports: Array<ReportedUses | undefined> = [{ m: { a: 1, b: 2 } }, undefined, { m: { a: 3 }, other: { a: 5 } }]
    expect(sumReportedUses(reports)).to.deep.equal({ m: { a: 4, b: 2 }, other: { a: 5 } })
    expect(sumModelUses(reports, 'm').get('a')).to.deep.equal({ offeredSlotCount: 4 })
  })
})
