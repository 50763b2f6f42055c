import { expect } from 'chai'

import { callEntry, getExpectedText, openClientStream, sendOrder } from '../testing/api-client.js'
import type { ProcessFleet } from '../testing/process-fleet.js'
import { fleetDeployment, fleetService } from '../testing/process-fleet-config.js'
import { useSharedFleet } from './shared-fleet.js'

describe('a fleet of real processes', () => {
  let fleet: ProcessFleet

  before(async () => {
    fleet = await useSharedFleet()
  })

  it('streams a complete response through each entry node', async () => {
    for (const entry of fleet.entries) {
      const result = await openClientStream(entry.url, 'north façade', 24).finished
      expect(result.errorMessage).to.equal(undefined)
      expect(result.isDone).to.equal(true)
      expect(result.tokenIndexes).to.deep.equal(Array.from({ length: 24 }, (_, index) => index))
      expect(result.text).to.equal(getExpectedText('north façade', 24))
    }
  })

  it('gives each of many concurrent clients the response to its own request', async () => {
    const prompts = Array.from({ length: 12 }, (_, index) => `letter ${index}`)
    const streams = prompts.map((prompt, index) => openClientStream(fleet.entries[index % 2]!.url, prompt, 10))
    const results = await Promise.all(streams.map(stream => stream.finished))
    expect(results.map(result => result.text)).to.deep.equal(prompts.map(prompt => getExpectedText(prompt, 10)))
  })

  it('serves a completion without streaming', async () => {
    const response = await callEntry(fleet.entries[0]!.url, '/v1/completions', {
      method: 'POST',
      body: JSON.stringify({ model: fleetDeployment, prompt: 'p', max_tokens: 4 })
    })
    const body = await response.json() as { choices: Array<{ text: string }> }
    expect(body.choices[0]?.text).to.equal(getExpectedText('p', 4))
  })

  it('routes a service call that may be repeated', async () => {
    const response = await callEntry(fleet.entries[1]!.url, `/services/${fleetService}/status`)
    expect(response.status).to.equal(200)
  })

  it('runs an order once when it is sent to both entry nodes in turn', async () => {
    const first = await sendOrder(fleet.entries[0]!.url, 'twice')
    const second = await sendOrder(fleet.entries[1]!.url, 'twice')
    expect([first.statusCode, second.statusCode]).to.deep.equal([200, 200])
    expect([first.isReplayed, second.isReplayed]).to.deep.equal([false, true])
    expect(second.text).to.equal(first.text)
    expect((await fleet.fetchServiceCounts()).runs['twice']).to.equal(1)
    const status = await callEntry(fleet.entries[1]!.url, `/v1/orders/${fleetService}/twice`)
    expect(await status.json()).to.include({ state: 'done' })
  })

  it('runs each order once when it is sent to both entry nodes at the same time', async () => {
    const keys = Array.from({ length: 10 }, (_, index) => `race-${index}`)
    const responses = await Promise.all(keys.flatMap(key => fleet.entries.map(entry => sendOrder(entry.url, key))))
    expect(responses.filter(response => response.statusCode !== 200 && response.workState !== 'running')).to.deep.equal([])
    const { runs } = await fleet.fetchServiceCounts()
    expect(keys.map(key => runs[key])).to.deep.equal(keys.map(() => 1))
  })
})
