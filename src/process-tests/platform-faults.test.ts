import { expect } from 'chai'

import { getExpectedText, openClientStream, sendOrder } from '../testing/api-client.js'
import { pollUntil } from '../testing/child-program.js'
import type { FleetProgram, ProcessFleet } from '../testing/process-fleet.js'
import { useSharedFleet } from './shared-fleet.js'

const waitTimeoutMs = 30_000
/** Longer than the configuration's lease (3000 ms), so that the entry nodes have to confirm the configuration with each other. */
const outageMs = 4000

describe('a fleet with faults of its store or services', () => {
  let fleet: ProcessFleet

  beforeEach(async () => {
    fleet = await useSharedFleet()
  })

  afterEach(async () => {
    await fleet.setFaults(fleet.keyValue, { isOut: false, lostReplyCount: 0, lateWriteCount: 0 })
    await fleet.setFaults(fleet.service, { dropsReplyCount: 0 })
  })

  it('refuses orders at once during a store outage and runs none of them', async () => {
    await fleet.setFaults(fleet.keyValue, { isOut: true })
    const responses = await Promise.all(fleet.entries.map(entry => sendOrder(entry.url, 'outage')))
    expect(responses.map(response => [response.statusCode, response.workState])).to.deep.equal([[503, 'attempt_not_run'], [503, 'attempt_not_run']])
    expect((await fleet.fetchServiceCounts()).runs['outage']).to.equal(undefined)
    await fleet.setFaults(fleet.keyValue, { isOut: false })
    const after = await pollUntil('orders are accepted again', waitTimeoutMs, async () => {
      const response = await sendOrder(fleet.entries[1]!.url, 'outage')
      return response.statusCode === 200 && response
    })
    expect(after.isReplayed).to.equal(false)
    expect((await fleet.fetchServiceCounts()).runs['outage']).to.equal(1)
  })

  it('serves streams during a store outage', async () => {
    await fleet.setFaults(fleet.keyValue, { isOut: true })
    await new Promise(resolve => { setTimeout(resolve, outageMs) })
    const results = await Promise.all(fleet.entries.map(entry => openClientStream(entry.url, 'outage', 10).finished))
    expect(results.map(result => [result.statusCode, result.text])).to.deep.equal(results.map(() => [200, getExpectedText('outage', 10)]))
  })

  for (const fault of ['lostReplyCount', 'lateWriteCount']) {
    it(`runs each order at most once while the store has the fault ${fault}`, async () => {
      await fleet.setFaults(fleet.keyValue, { [fault]: 4 })
      const keys = Array.from({ length: 4 }, (_, index) => `${fault}-${index}`)
      const responses = await Promise.all(keys.flatMap(key => fleet.entries.map(entry => sendOrder(entry.url, key))))
      const { runs } = await fleet.fetchServiceCounts()
      keys.forEach((key, index) => {
        const responsesForKey = responses.slice(index * 2, index * 2 + 2)
        const runCount = runs[key] ?? 0
        expect(runCount, key).to.be.at.most(1)
        if (responsesForKey.some(response => response.statusCode === 200)) expect(runCount, key).to.equal(1)
        if (responsesForKey.every(response => response.workState === 'not_run')) expect(runCount, key).to.equal(0)
      })
    })
  }

  it('does not repeat an order that the service ran without responding', async () => {
    const [first, second] = fleet.entries as [FleetProgram, FleetProgram]
    await fleet.setFaults(fleet.service, { dropsReplyCount: 1 })
    const response = await sendOrder(first.url, 'no-answer')
    const retry = await sendOrder(second.url, 'no-answer')
    expect([response.workState, retry.workState]).to.deep.equal(['unknown', 'unknown'])
    expect((await fleet.fetchServiceCounts()).runs['no-answer']).to.equal(1)
  })
})
