import { expect } from 'chai'

import { getExpectedText, openClientStream, sendOrder } from '../testing/api-client.js'
import { pollUntil } from '../testing/child-program.js'
import type { FleetProgram, ProcessFleet } from '../testing/process-fleet.js'
import { useSharedFleet } from './shared-fleet.js'

const boundMs = 30_000
/** Longer than the lease of the configuration, so that the nodes have to confirm it among themselves. */
const outageMs = 4000

describe('faults of the platform and of services', () => {
  let fleet: ProcessFleet

  beforeEach(async () => {
    fleet = await useSharedFleet()
  })

  afterEach(async () => {
    await fleet.setFaults(fleet.keyValue, { isOut: false, lostReplyCount: 0, lateWriteCount: 0 })
    await fleet.setFaults(fleet.service, { dropsReplyCount: 0 })
  })

  it('an outage of the store refuses orders at once, and nothing of them runs', async () => {
    await fleet.setFaults(fleet.keyValue, { isOut: true })
    const replies = await Promise.all(fleet.entries.map(entry => sendOrder(entry.url, 'outage')))
    expect(replies.map(reply => [reply.statusCode, reply.workState])).to.deep.equal([[503, 'attempt_not_run'], [503, 'attempt_not_run']])
    expect((await fleet.fetchServiceCounts()).runs['outage']).to.equal(undefined)
    await fleet.setFaults(fleet.keyValue, { isOut: false })
    const after = await pollUntil('orders are taken again', boundMs, async () => {
      const reply = await sendOrder(fleet.entries[1]!.url, 'outage')
      return reply.statusCode === 200 && reply
    })
    expect(after.isReplayed).to.equal(false)
    expect((await fleet.fetchServiceCounts()).runs['outage']).to.equal(1)
  })

  it('an outage of the store leaves streams alone', async () => {
    await fleet.setFaults(fleet.keyValue, { isOut: true })
    await new Promise(resolve => { setTimeout(resolve, outageMs) })
    const results = await Promise.all(fleet.entries.map(entry => openClientStream(entry.url, 'outage', 10).finished))
    expect(results.map(result => [result.statusCode, result.text])).to.deep.equal(results.map(() => [200, getExpectedText('outage', 10)]))
  })

  for (const fault of ['lostReplyCount', 'lateWriteCount']) {
    it(`orders run at most once while the store has the fault ${fault}`, async () => {
      await fleet.setFaults(fleet.keyValue, { [fault]: 4 })
      const keys = Array.from({ length: 4 }, (_, index) => `${fault}-${index}`)
      const replies = await Promise.all(keys.flatMap(key => fleet.entries.map(entry => sendOrder(entry.url, key))))
      const { runs } = await fleet.fetchServiceCounts()
      keys.forEach((key, index) => {
        const ofKey = replies.slice(index * 2, index * 2 + 2)
        const runCount = runs[key] ?? 0
        expect(runCount, key).to.be.at.most(1)
        if (ofKey.some(reply => reply.statusCode === 200)) expect(runCount, key).to.equal(1)
        if (ofKey.every(reply => reply.workState === 'not_run')) expect(runCount, key).to.equal(0)
      })
    })
  }

  it('an order without an answer from the service does not run again', async () => {
    const [first, second] = fleet.entries as [FleetProgram, FleetProgram]
    await fleet.setFaults(fleet.service, { dropsReplyCount: 1 })
    const reply = await sendOrder(first.url, 'no-answer')
    const retry = await sendOrder(second.url, 'no-answer')
    expect([reply.workState, retry.workState]).to.deep.equal(['unknown', 'unknown'])
    expect((await fleet.fetchServiceCounts()).runs['no-answer']).to.equal(1)
  })
})
