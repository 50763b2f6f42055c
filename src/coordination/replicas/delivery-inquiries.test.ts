import { expect } from 'chai'

import { createVirtualTimerService } from '../../shared/virtual-timer-service.js'
import { createReplicaLoads } from '../dispatch/replica-loads.js'
import { createDeliveryInquiries, type DeliveryInquiry } from './delivery-inquiries.js'

function createFixture () {
  const timers = createVirtualTimerService()
  const loads = createReplicaLoads(timers)
  const sent: DeliveryInquiry[] = []
  const messageSizes: number[] = []
  const inquiries = createDeliveryInquiries({
    timers,
    hasRecentEvent: loads.hasRecentEvent,
    sendInquiries: batch => {
      sent.push(...batch)
      messageSizes.push(batch.length)
    }
  })
  return { timers, loads, sent, messageSizes, inquiries }
}

describe('delivery inquiries', () => {
  it('ask nobody when they end soon', () => {
    const { timers, sent, inquiries } = createFixture()
    inquiries.begin('r').end()
    timers.advance(1000)
    expect(sent).to.deep.equal([])
  })

  it('ask twice for events since their beginning', () => {
    const { timers, sent, inquiries } = createFixture()
    const evidence = inquiries.begin('r')
    timers.advance(300)
    expect(sent.map(({ sinceMs }) => sinceMs)).to.deep.equal([130, 220])
    expect(evidence.hasDelivered()).to.equal(false)
  })

  it('take an answer as evidence and ask no more', () => {
    const { timers, sent, inquiries } = createFixture()
    const evidence = inquiries.begin('r')
    timers.advance(150)
    inquiries.applyAnswer(sent[0] as DeliveryInquiry)
    timers.advance(150)
    expect(evidence.hasDelivered()).to.equal(true)
    expect(sent).to.have.length(1)
  })

  it('take an event of this gateway as evidence unless it is from before the beginning', () => {
    const { timers, loads, sent, inquiries } = createFixture()
    loads.recordEvent('r')
    timers.advance(1)
    const evidence = inquiries.begin('r')
    timers.advance(50)
    expect(evidence.hasDelivered()).to.equal(false)
    loads.recordEvent('r')
    timers.advance(250)
    expect(evidence.hasDelivered()).to.equal(true)
    expect(sent).to.deep.equal([])
  })

  it('do not count a late answer to an inquiry before', () => {
    const { timers, sent, inquiries } = createFixture()
    const first = inquiries.begin('r')
    timers.advance(300)
    first.end()
    const second = inquiries.begin('r')
    inquiries.applyAnswer(sent[0] as DeliveryInquiry)
    expect(second.hasDelivered()).to.equal(false)
  })

  it('of one replica that overlap each get their answers', () => {
    const { timers, sent, inquiries } = createFixture()
    const first = inquiries.begin('r')
    timers.advance(100)
    const second = inquiries.begin('r')
    timers.advance(150)
    for (const inquiry of sent) inquiries.applyAnswer(inquiry)
    expect([first.hasDelivered(), second.hasDelivered()]).to.deep.equal([true, true])
  })

  it('of many replicas that are checked at once go out in few messages', () => {
    const { timers, messageSizes, inquiries } = createFixture()
    for (let index = 0; index < 40; index += 1) {
      inquiries.begin(`r${index}`)
      if (index % 10 === 9) timers.advance(2)
    }
    timers.advance(135)
    expect(messageSizes).to.deep.equal([12, 12, 12, 4])
  })

  it('are shared by the members of a replica that are checked together', () => {
    const { timers, sent, inquiries } = createFixture()
    const all = [inquiries.begin('r'), inquiries.begin('r'), inquiries.begin('r')]
    all[0]?.end()
    timers.advance(150)
    expect(sent).to.have.length(1)
    inquiries.applyAnswer(sent[0] as DeliveryInquiry)
    expect(all.map(evidence => evidence.hasDelivered())).to.deep.equal([true, true, true])
  })
})
